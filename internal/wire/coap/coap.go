// Package coap classifies CoAP datagrams and writes the answers that instances give by themselves.
package coap

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"
	"github.com/rotisserie/eris"

	"hawthorncourse/internal/core/model"
)

const (
	optionLimit = 64
	// blockShift drops the size and the more bit of a Block1 option.
	blockShift = 4
)

// ErrNotRequest is returned for a datagram that no caller sends.
var ErrNotRequest = eris.New("not a request and not a reply to a message")

func decode(raw []byte) (m message.Message, err error) {
	m.Options = make(message.Options, 0, optionLimit)
	_, err = coder.DefaultCoder.Decode(raw, &m)
	return m, err
}

// ParsePacket returns what the decision packages must know of a caller's datagram.
func ParsePacket(flow model.FlowKey, raw []byte) (p model.Packet, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "coap: classify packet")
		}
	}()
	m, err := decode(raw)
	if err != nil {
		return p, err
	}
	p = model.Packet{
		Flow:        flow,
		Token:       model.NewToken(m.Token),
		MessageID:   uint16(m.MessageID),
		Confirmable: m.Type == message.Confirmable,
		Raw:         raw,
	}
	if m.Type == message.Acknowledgement || m.Type == message.Reset {
		p.Class = model.ClassReply
		return p, nil
	}
	if m.Code < codes.GET || m.Code > codeIPATCH {
		return p, ErrNotRequest
	}
	p.Binding, _ = m.Options.GetBytes(message.Echo)
	p.Digest = digest(m)
	p.Class, p.Block = classify(m)
	return p, nil
}

// The methods of RFC 8132, which the codec does not name.
const (
	codeFETCH  codes.Code = 5
	codeIPATCH codes.Code = 7
)

// idempotent holds the methods that may run twice.
var idempotent = map[codes.Code]bool{
	codes.GET:    true,
	codes.PUT:    true,
	codes.DELETE: true,
	codeFETCH:    true,
	codeIPATCH:   true,
}

func classify(m message.Message) (model.Class, uint32) {
	block, err := m.Options.GetUint32(message.Block1)
	transfer := err == nil
	part := block >> blockShift
	switch {
	case !idempotent[m.Code]:
		return model.ClassOnce, part
	case transfer || m.Options.HasOption(message.Observe):
		return model.ClassSticky, part
	default:
		return model.ClassIdempotent, 0
	}
}

// digest covers what makes a request the same request: all but its token, message ID and binding.
func digest(m message.Message) uint64 {
	var h xxhash.Digest
	h.Reset()
	var head [4]byte
	head[0] = byte(m.Code)
	_, _ = h.Write(head[:1])
	for _, opt := range m.Options {
		if opt.ID == message.Echo {
			continue
		}
		binary.BigEndian.PutUint16(head[:], uint16(opt.ID))
		binary.BigEndian.PutUint16(head[2:], uint16(len(opt.Value)))
		_, _ = h.Write(head[:])
		_, _ = h.Write(opt.Value)
	}
	_, _ = h.Write(m.Payload)
	return h.Sum64()
}

// ParseAnswer returns what the decision packages must know of an upstream's datagram.
func ParseAnswer(flow model.FlowKey, raw []byte) (a model.Answer, err error) {
	m, err := decode(raw)
	if err != nil {
		return a, eris.Wrap(err, "coap: classify answer")
	}
	return model.Answer{
		Flow:        flow,
		Token:       model.NewToken(m.Token),
		MessageID:   uint16(m.MessageID),
		Confirmable: m.Type == message.Confirmable && m.Code != codes.Empty,
		Piggybacked: m.Type == message.Acknowledgement,
		Outcome:     outcome(m),
		Raw:         raw,
	}, nil
}

func outcome(m message.Message) model.Outcome {
	switch {
	case m.Code == codes.Empty:
		return model.OutcomeControl
	case m.Code == codes.ServiceUnavailable:
		return model.OutcomeNotRun
	case m.Options.HasOption(message.Observe):
		return model.OutcomeNotification
	default:
		return model.OutcomeDone
	}
}

// The diagnostic texts that callers may compare.
const (
	TextNotRun   = "not run"
	TextRejected = "refused"
	TextUnknown  = "outcome unknown"
)

// Challenge answers a request with the binding to repeat it with.
func Challenge(p *model.Packet, binding []byte) ([]byte, error) {
	opts := message.Options{{ID: message.Echo, Value: binding}}
	return reply(p, codes.Unauthorized, opts, "")
}

// Reject answers a request that is turned away. Only of one that is not idempotent it is known that no copy was run.
func Reject(p *model.Packet, reason model.Reason, after time.Duration) ([]byte, error) {
	var buf [4]byte
	opts, _, err := message.Options{}.SetUint32(buf[:], message.MaxAge, uint32(after/time.Second))
	if err != nil {
		return nil, eris.Wrap(err, "coap: refuse")
	}
	text := TextRejected
	if p.Class == model.ClassOnce {
		text = TextNotRun
	}
	return reply(p, codes.ServiceUnavailable, opts, text+": "+reason.String())
}

// OutcomeUnknown answers a request whose outcome is not known.
func OutcomeUnknown(p *model.Packet, reason model.Reason) ([]byte, error) {
	return reply(p, codes.GatewayTimeout, nil, TextUnknown+": "+reason.String())
}

func reply(p *model.Packet, code codes.Code, opts message.Options, text string) ([]byte, error) {
	return encode(message.Message{
		Token:     p.Token.Bytes[:p.Token.Len],
		Options:   opts,
		Code:      code,
		Payload:   []byte(text),
		MessageID: int32(p.MessageID),
		Type:      replyType(p),
	})
}

func replyType(p *model.Packet) message.Type {
	if p.Confirmable {
		return message.Acknowledgement
	}
	return message.NonConfirmable
}

// Readdress returns a kept answer as the answer to another copy of its request.
func Readdress(raw []byte, p *model.Packet) ([]byte, error) {
	m, err := decode(raw)
	if err != nil {
		return nil, eris.Wrap(err, "coap: readdress answer")
	}
	m.Token = p.Token.Bytes[:p.Token.Len]
	m.MessageID = int32(p.MessageID)
	m.Type = replyType(p)
	return encode(m)
}

// RenewBinding returns an answer with a fresh binding for its stream.
func RenewBinding(raw, binding []byte) ([]byte, error) {
	m, err := decode(raw)
	if err != nil {
		return nil, eris.Wrap(err, "coap: renew binding")
	}
	m.Options = m.Options.Set(message.Option{ID: message.Echo, Value: binding})
	return encode(m)
}

func encode(m message.Message) (raw []byte, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "coap: encode")
		}
	}()
	size, err := coder.DefaultCoder.Size(m)
	if err != nil {
		return nil, err
	}
	raw = make([]byte, size)
	n, err := coder.DefaultCoder.Encode(m, raw)
	if err != nil {
		return nil, err
	}
	return raw[:n], nil
}
