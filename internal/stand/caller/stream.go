package caller

import (
	"context"
	"fmt"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
)

// StreamConfig configures a stream.
type StreamConfig struct {
	// Path is the path of the observed resource.
	Path string
	// RefreshInterval is the time between two registrations of the stream.
	RefreshInterval time.Duration
	// StallTimeout is the time without a message after which the stream counts as stalled.
	StallTimeout time.Duration
}

// StreamReport holds the results of one stream.
type StreamReport struct {
	// Notifications counts the notifications that arrived in sequence.
	Notifications int
	// Gaps counts jumps in the sequence, UpstreamChanges counts how often an upstream opened the stream anew under another ID, and Stalls counts
	// periods of StallTimeout without a message.
	Gaps, UpstreamChanges, Stalls int
	// Refusals counts registrations that were refused.
	Refusals int
	// Opened is set once the stream has been open.
	Opened bool
	// StreamID is the ID that the upstream gave the stream: the upstream's name and a number, separated by a slash.
	StreamID string
}

// Breaks returns the number of interruptions of all kinds.
func (r StreamReport) Breaks() int {
	return r.Gaps + r.UpstreamChanges + r.Stalls
}

// stream is the caller's state of one stream.
type stream struct {
	c     *Caller
	cfg   StreamConfig
	token message.Token
	inbox chan message.Message
	// binding is the last binding that the load balancer issued; it is sent with every registration.
	binding []byte
	// id and seq are the stream ID and the sequence number of the last notification.
	id  string
	seq int
	// lastMessage is when the last notification or successful response arrived, or when the last stall was counted. lastResponse is when the last
	// registration succeeded, or was refused after the stream had been open.
	lastMessage  time.Time
	lastResponse time.Time
	// registrationID is the message ID of the last registration; acknowledgements of earlier ones are duplicates and are ignored.
	registrationID int32
	report         StreamReport
}

// RunStream keeps a stream open until ctx ends and returns its report. After every event, watch is called with the report so far; it may be nil.
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

// register sends a registration, which opens or refreshes the stream, and returns the time of sending.
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

// handle handles one message of the stream. Until the stream has been open, a refused registration is retransmitted; a refused refresh is not, as
// the next refresh follows after RefreshInterval.
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

// handleContent checks one notification or response to a registration. A notification with another stream ID than the current one is ignored: it
// belongs to a stream that was replaced.
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

// checkStall counts a stall if no message has arrived for StallTimeout, and starts a new period.
func (s *stream) checkStall() {
	if time.Since(s.lastMessage) > s.cfg.StallTimeout && s.report.Opened {
		s.report.Stalls++
		s.lastMessage = time.Now()
	}
}
