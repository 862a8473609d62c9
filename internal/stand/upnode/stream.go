package upnode

import (
	"context"
	"encoding/binary"
	"fmt"
	"net/netip"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/wire/frame"
)

const (
	notificationTick  = 20 * time.Millisecond
	retransmitTimeout = time.Second
	maxRetransmits    = 30
	observeDeregister = 1
	streamIDRange     = 1_000_000
)

type streamKey struct {
	caller netip.AddrPort
	token  model.Token
}

// stream is one open stream; its notifications are confirmable and in order.
type stream struct {
	token message.Token
	// instance is the instance that spoke last for the caller.
	instance netip.AddrPort
	id       string
	seq      uint32
	nextAt   time.Time
	// unacknowledged is set while a notification is not acknowledged.
	unacknowledged bool
	messageID      uint16
	sentAt         time.Time
	retransmits    int
}

// handleObserve opens, refreshes or ends a stream.
func (n *Node) handleObserve(caller netip.AddrPort, m message.Message, from netip.AddrPort) {
	key := streamKey{caller: caller, token: model.NewToken(m.Token)}
	observe, _ := m.Options.Observe()
	n.mu.Lock()
	boot := n.boot
	s := n.streams[key]
	if observe == observeDeregister {
		delete(n.streams, key)
		n.mu.Unlock()
		n.respond(caller, m, codes.Content, "closed", from, boot)
		return
	}
	if s == nil {
		if s = n.openStream(key, m); s == nil {
			n.mu.Unlock()
			n.respond(caller, m, codes.ServiceUnavailable, "shed", from, boot)
			return
		}
	}
	s.instance = from
	text := fmt.Sprintf("%s %d", s.id, s.seq)
	n.mu.Unlock()
	n.respondObserve(caller, m, text, from, boot)
}

// openStream adds a stream, or returns nil when it is one too many; mu must be held.
func (n *Node) openStream(key streamKey, m message.Message) *stream {
	limit := n.cfg.Connections
	n.stats.LastArrival = time.Now()
	if n.cold() {
		n.openedWhileCold++
		n.stats.MaxColdOpened = max(n.stats.MaxColdOpened, n.openedWhileCold)
	}
	if len(n.streams) >= limit {
		n.stats.Shed++
		return nil
	}
	n.stats.StreamsOpened++
	s := &stream{
		token:  append(message.Token{}, m.Token...),
		id:     fmt.Sprintf("%s/%d", n.cfg.Name, n.rng.IntN(streamIDRange)),
		nextAt: time.Now().Add(n.cfg.NotificationInterval),
	}
	n.streams[key] = s
	return s
}

func (n *Node) respondObserve(caller netip.AddrPort, m message.Message, text string, to netip.AddrPort, boot uint64) {
	typ := message.NonConfirmable
	if m.Type == message.Confirmable {
		typ = message.Acknowledgement
	}
	n.send(caller, encode(message.Message{
		Token:     m.Token,
		Options:   observeOption(0),
		Code:      codes.Content,
		Payload:   []byte(text),
		MessageID: m.MessageID,
		Type:      typ,
	}), to, boot)
}

func observeOption(seq uint32) message.Options {
	return message.Options{{ID: message.Observe, Value: []byte{byte(seq >> 16), byte(seq >> 8), byte(seq)}}}
}

// runNotifications sends due notifications and repeats unacknowledged ones.
func (n *Node) runNotifications(ctx context.Context) {
	tick := time.NewTicker(notificationTick)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			n.sendDueNotifications(now)
		case <-ctx.Done():
			return
		}
	}
}

type outgoing struct {
	caller, to netip.AddrPort
	raw        []byte
}

func (n *Node) sendDueNotifications(now time.Time) {
	n.mu.Lock()
	boot := n.boot
	var due []outgoing
	for key, s := range n.streams {
		switch {
		case s.unacknowledged && now.Sub(s.sentAt) >= retransmitTimeout:
			s.retransmits++
			if s.retransmits > maxRetransmits {
				delete(n.streams, key)
				continue
			}
		case !s.unacknowledged && now.After(s.nextAt):
			s.seq++
			n.messageID++
			s.messageID, s.unacknowledged, s.retransmits = n.messageID, true, 0
			s.nextAt = s.nextAt.Add(n.cfg.NotificationInterval)
		default:
			continue
		}
		s.sentAt = now
		due = append(due, outgoing{caller: key.caller, to: s.instance, raw: s.notification()})
	}
	n.mu.Unlock()
	for _, d := range due {
		n.send(d.caller, d.raw, d.to, boot)
	}
}

func (s *stream) notification() []byte {
	return encode(message.Message{
		Token:     s.token,
		Options:   observeOption(s.seq),
		Code:      codes.Content,
		Payload:   fmt.Appendf(nil, "%s %d", s.id, s.seq),
		MessageID: int32(s.messageID),
		Type:      message.Confirmable,
	})
}

// handleAck takes a caller's word that a notification arrived.
func (n *Node) handleAck(caller netip.AddrPort, messageID uint16) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for key, s := range n.streams {
		if key.caller == caller && s.unacknowledged && s.messageID == messageID {
			s.unacknowledged = false
			return
		}
	}
}

// handleReset ends the stream whose notification a caller did not want.
func (n *Node) handleReset(caller netip.AddrPort, messageID uint16) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for key, s := range n.streams {
		if key.caller == caller && s.unacknowledged && s.messageID == messageID {
			delete(n.streams, key)
			return
		}
	}
}

// echo answers an opaque datagram with this start of the node before its bytes.
func (n *Node) echo(f frame.Frame, from netip.AddrPort) {
	n.mu.Lock()
	boot := n.boot
	key := streamKey{caller: f.Source}
	if n.streams[key] == nil {
		n.stats.StreamsOpened++
		n.stats.LastArrival = time.Now()
		if n.cold() {
			n.openedWhileCold++
			n.stats.MaxColdOpened = max(n.stats.MaxColdOpened, n.openedWhileCold)
		}
		n.streams[key] = &stream{unacknowledged: true, sentAt: time.Now().Add(time.Hour)}
	}
	n.mu.Unlock()
	payload := binary.BigEndian.AppendUint64(nil, boot)
	n.send(f.Source, append(payload, f.Payload...), from, boot)
}
