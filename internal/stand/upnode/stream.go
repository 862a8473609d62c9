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
	// notificationTick is the time between two checks for notifications to send.
	notificationTick = 20 * time.Millisecond
	// retransmitTimeout is the time after which an unacknowledged notification is sent again.
	retransmitTimeout = time.Second
	// maxRetransmits is the number of retransmissions after which a stream is closed.
	maxRetransmits = 30
	// observeDeregister is the value of the Observe option that cancels a registration (RFC 7641).
	observeDeregister = 1
	// streamIDRange is the number of different stream IDs of a node.
	streamIDRange = 1_000_000
)

// streamKey identifies a stream by its caller and CoAP token. Opaque flows have no token.
type streamKey struct {
	caller netip.AddrPort
	token  model.Token
}

// stream is one open stream. Its notifications are confirmable and are sent one at a time, in sequence.
type stream struct {
	token message.Token
	// instance is the address of the instance that forwarded the caller's last registration; notifications are sent through it.
	instance netip.AddrPort
	// id is the node's name and a random number, separated by a slash.
	id string
	// seq is the sequence number of the last notification.
	seq uint32
	// nextAt is when the next notification is due.
	nextAt time.Time
	// unacknowledged is set while the last notification waits for its acknowledgement.
	unacknowledged bool
	// messageID is the message ID of the last notification.
	messageID uint16
	// sentAt is when the last notification was sent, retransmissions included.
	sentAt      time.Time
	retransmits int
}

// handleObserve opens, refreshes or closes a stream.
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

// openStream opens a stream, or returns nil if the limit of open streams is reached; mu must be held.
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

// respondObserve responds to a registration, with zero as the Observe sequence number.
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

// observeOption returns the Observe option with the low 24 bits of seq.
func observeOption(seq uint32) message.Options {
	return message.Options{{ID: message.Observe, Value: []byte{byte(seq >> 16), byte(seq >> 8), byte(seq)}}}
}

// runNotifications sends and retransmits notifications until ctx ends.
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

// outgoing is an encoded notification to a caller, which is sent through the instance at to.
type outgoing struct {
	caller, to netip.AddrPort
	raw        []byte
}

// sendDueNotifications sends the notifications that are due and retransmits those that were not acknowledged in time. It closes streams
// without an acknowledgement after maxRetransmits retransmissions.
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

// notification returns the encoded notification with the current sequence number.
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

// handleAck marks the notification that a caller acknowledged, so that it is not retransmitted.
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

// handleReset closes the stream of a notification that a caller rejected with a CoAP reset.
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

// echo returns an opaque datagram to its caller, preceded by the node's boot ID. The flow of a caller is counted as a stream.
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
		// No notification is ever due on this stream: it waits for an acknowledgement, and its retransmission is not due within the hour.
		n.streams[key] = &stream{unacknowledged: true, sentAt: time.Now().Add(time.Hour)}
	}
	n.mu.Unlock()
	payload := binary.BigEndian.AppendUint64(nil, boot)
	n.send(f.Source, append(payload, f.Payload...), from, boot)
}
