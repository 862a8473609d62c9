package caller

import (
	"context"
	"fmt"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
)

// StreamConfig is what a stream is opened with.
type StreamConfig struct {
	Path string
	// Refresh is how often the stream is refreshed.
	Refresh time.Duration
	// Silence is how long a stream may bring nothing before it counts as broken.
	Silence time.Duration
}

// StreamReport is what happened to one stream.
type StreamReport struct {
	// Notices counts notifications in sequence.
	Notices int
	// Gaps counts breaks of the sequence, Moves other upstreams than before, Silences too long times without word.
	Gaps, Moves, Silences int
	// Refusals counts registrations that were refused.
	Refusals int
	// Opened is set when the stream was ever open.
	Opened bool
	// Upstream is where it is open.
	Upstream string
}

// Broken returns how often the flow broke.
func (r StreamReport) Broken() int {
	return r.Gaps + r.Moves + r.Silences
}

// stream is the state of one open stream.
type stream struct {
	c      *Caller
	cfg    StreamConfig
	token  message.Token
	box    chan message.Message
	bound  []byte
	id     string
	seq    int
	heard  time.Time
	answer time.Time
	// asked is the message ID of the registration that waits for its answer; an answer to an earlier one is a double.
	asked  int32
	report StreamReport
}

// Stream keeps a stream open until ctx ends and reports what happened; watch, if given, sees each change.
func (c *Caller) Stream(ctx context.Context, cfg StreamConfig, watch func(StreamReport)) StreamReport {
	s := &stream{c: c, cfg: cfg, heard: time.Now()}
	s.token, s.box = c.open()
	defer c.close(s.token)
	refresh := time.NewTicker(cfg.Refresh)
	defer refresh.Stop()
	resend := time.NewTicker(resendAfter)
	defer resend.Stop()
	sent := s.register()
	for {
		select {
		case m := <-s.box:
			s.take(m)
		case <-refresh.C:
			sent = s.register()
		case <-resend.C:
			if s.answer.Before(sent) && time.Since(sent) >= resendAfter {
				s.register()
			}
			s.checkSilence()
		case <-ctx.Done():
			return s.report
		}
		if watch != nil {
			watch(s.report)
		}
	}
}

// register opens or refreshes the stream.
func (s *stream) register() time.Time {
	opts := Request{Path: s.cfg.Path}.options(s.bound)
	opts = opts.Add(message.Option{ID: message.Observe, Value: []byte{}})
	s.asked = s.c.nextID()
	s.c.send(message.Message{
		Token:     s.token,
		Code:      codes.GET,
		Options:   opts,
		MessageID: s.asked,
		Type:      message.Confirmable,
	})
	return time.Now()
}

func (s *stream) take(m message.Message) {
	if m.Type == message.Acknowledgement && m.MessageID != s.asked {
		return
	}
	if echo, err := m.Options.GetBytes(message.Echo); err == nil {
		s.bound = append([]byte{}, echo...)
	}
	switch m.Code {
	case codes.Unauthorized:
		s.register()
	case codes.ServiceUnavailable:
		s.report.Refusals++
		if s.report.Opened {
			s.answer = time.Now()
		}
	case codes.Content:
		s.notice(m)
	}
}

// notice checks one notification or the answer to a registration.
func (s *stream) notice(m message.Message) {
	var id string
	var seq int
	if _, err := fmt.Sscanf(string(m.Payload), "%s %d", &id, &seq); err != nil {
		return
	}
	s.heard = time.Now()
	registered := m.Type == message.Acknowledgement
	if registered {
		s.answer = s.heard
	}
	switch {
	case id != s.id && s.id != "" && !registered:
		return
	case id != s.id:
		if s.id != "" {
			s.report.Moves++
		}
		s.id, s.seq = id, seq
		s.report.Opened, s.report.Upstream = true, id
	case registered || seq <= s.seq:
	case seq == s.seq+1:
		s.seq = seq
		s.report.Notices++
	default:
		s.report.Gaps++
		s.seq = seq
	}
}

func (s *stream) checkSilence() {
	if time.Since(s.heard) > s.cfg.Silence && s.report.Opened {
		s.report.Silences++
		s.heard = time.Now()
	}
}
