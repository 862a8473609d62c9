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
	// RefreshInterval is how often the stream is refreshed.
	RefreshInterval time.Duration
	// StallTimeout is how long a stream may bring nothing before it counts as broken.
	StallTimeout time.Duration
}

// StreamReport is what happened to one stream.
type StreamReport struct {
	// Notifications counts notifications in sequence.
	Notifications int
	// Gaps counts breaks of the sequence, Moves other upstreams than before, Silences too long times without word.
	Gaps, UpstreamChanges, Stalls int
	// Refusals counts registrations that were refused.
	Refusals int
	// Opened is set when the stream was ever open.
	Opened bool
	// StreamID is where it is open.
	StreamID string
}

// Breaks returns how often the flow broke.
func (r StreamReport) Breaks() int {
	return r.Gaps + r.UpstreamChanges + r.Stalls
}

// stream is the state of one open stream.
type stream struct {
	c            *Caller
	cfg          StreamConfig
	token        message.Token
	inbox        chan message.Message
	binding      []byte
	id           string
	seq          int
	lastMessage  time.Time
	lastResponse time.Time
	// registrationID is the message ID of the registration that waits for its answer; an answer to an earlier one is a double.
	registrationID int32
	report         StreamReport
}

// RunStream keeps a stream open until ctx ends and reports what happened; watch, if given, sees each change.
func (c *Caller) RunStream(ctx context.Context, cfg StreamConfig, watch func(StreamReport)) StreamReport {
	s := &stream{c: c, cfg: cfg, lastMessage: time.Now()}
	s.token, s.inbox = c.openInbox()
	defer c.closeInbox(s.token)
	refresh := time.NewTicker(cfg.RefreshInterval)
	defer refresh.Stop()
	resend := time.NewTicker(retransmitTimeout)
	defer resend.Stop()
	sent := s.register()
	for {
		select {
		case m := <-s.inbox:
			s.handle(m)
		case <-refresh.C:
			sent = s.register()
		case <-resend.C:
			if s.lastResponse.Before(sent) && time.Since(sent) >= retransmitTimeout {
				s.register()
			}
			s.checkStall()
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
	opts := Request{Path: s.cfg.Path}.options(s.binding)
	opts = opts.Add(message.Option{ID: message.Observe, Value: []byte{}})
	s.registrationID = s.c.nextMessageID()
	s.c.send(message.Message{
		Token:     s.token,
		Code:      codes.GET,
		Options:   opts,
		MessageID: s.registrationID,
		Type:      message.Confirmable,
	})
	return time.Now()
}

func (s *stream) handle(m message.Message) {
	if m.Type == message.Acknowledgement && m.MessageID != s.registrationID {
		return
	}
	if echo, err := m.Options.GetBytes(message.Echo); err == nil {
		s.binding = append([]byte{}, echo...)
	}
	switch m.Code {
	case codes.Unauthorized:
		s.register()
	case codes.ServiceUnavailable:
		s.report.Refusals++
		if s.report.Opened {
			s.lastResponse = time.Now()
		}
	case codes.Content:
		s.handleContent(m)
	}
}

// handleContent checks one notification or the answer to a registration.
func (s *stream) handleContent(m message.Message) {
	var id string
	var seq int
	if _, err := fmt.Sscanf(string(m.Payload), "%s %d", &id, &seq); err != nil {
		return
	}
	s.lastMessage = time.Now()
	registered := m.Type == message.Acknowledgement
	if registered {
		s.lastResponse = s.lastMessage
	}
	switch {
	case id != s.id && s.id != "" && !registered:
		return
	case id != s.id:
		if s.id != "" {
			s.report.UpstreamChanges++
		}
		s.id, s.seq = id, seq
		s.report.Opened, s.report.StreamID = true, id
	case registered || seq <= s.seq:
	case seq == s.seq+1:
		s.seq = seq
		s.report.Notifications++
	default:
		s.report.Gaps++
		s.seq = seq
	}
}

func (s *stream) checkStall() {
	if time.Since(s.lastMessage) > s.cfg.StallTimeout && s.report.Opened {
		s.report.Stalls++
		s.lastMessage = time.Now()
	}
}
