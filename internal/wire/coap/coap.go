// Package coap classifies CoAP datagrams and encodes the responses that instances generate themselves. The Echo option carries bindings.
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
	// maxOptions is the capacity of the option list for decoding.
	maxOptions = 64
	// block1NumberShift shifts out the block size and the more flag of a Block1 option (RFC 7959).
	block1NumberShift = 4
)

// ErrNotRequest is returned for a datagram from a caller that is neither a request nor an acknowledgement or reset.
var ErrNotRequest = eris.New("message is neither a request nor an acknowledgement or reset")

func decode(raw []byte) (m message.Message, err error) {
	m.Options = make(message.Options, 0, maxOptions)
	_, err = coder.DefaultCoder.Decode(raw, &m)
	return m, err
}

// ParsePacket decodes and classifies a caller's datagram; the packet references raw.
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

// The methods of RFC 8132, for which the codec has no constants.
const (
	codeFETCH  codes.Code = 5
	codeIPATCH codes.Code = 7
)

// idempotent holds the methods whose requests may run more than once.
var idempotent = map[codes.Code]bool{
	codes.GET:    true,
	codes.PUT:    true,
	codes.DELETE: true,
	codeFETCH:    true,
	codeIPATCH:   true,
}

// classify returns the class of a request, and the number of the block that it carries in a block-wise transfer.
func classify(m message.Message) (model.Class, uint32) {
	option, err := m.Options.GetUint32(message.Block1)
	transfer := err == nil
	number := option >> block1NumberShift
	switch {
	case !idempotent[m.Code]:
		return model.ClassOnce, number
	case transfer || m.Options.HasOption(message.Observe):
		return model.ClassSticky, number
	default:
		return model.ClassIdempotent, 0
	}
}

// digest returns a hash by which copies of a request are recognised. It covers all but the message type, the message ID, the token and the
// Echo option, which may differ between copies.
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

// ParseAnswer decodes and classifies an upstream's datagram; the answer references raw.
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

// The prefixes of the diagnostic payloads, which callers may compare; a colon and the reason follow. TextNotRun and TextRejected belong to
// response code 5.03, TextUnknown to 5.04.
const (
	TextNotRun   = "not run"
	TextRejected = "refused"
	TextUnknown  = "outcome unknown"
)

// Challenge returns a 4.01 response with a binding, with which the caller must repeat the request.
func Challenge(p *model.Packet, binding []byte) ([]byte, error) {
	opts := message.Options{{ID: message.Echo, Value: binding}}
	return reply(p, codes.Unauthorized, opts, "")
}

// Reject returns a 5.03 response for a request that is not forwarded, with Max-Age as the time after which the caller may try again. The text
// is TextNotRun if the request is not idempotent, because then no copy of it has run; a copy of an idempotent request may have.
func Reject(p *model.Packet, reason model.Reason, retryAfter time.Duration) ([]byte, error) {
	var buf [4]byte
	opts, _, err := message.Options{}.SetUint32(buf[:], message.MaxAge, uint32(retryAfter/time.Second))
	if err != nil {
		return nil, eris.Wrap(err, "coap: reject")
	}
	text := TextRejected
	if p.Class == model.ClassOnce {
		text = TextNotRun
	}
	return reply(p, codes.ServiceUnavailable, opts, text+": "+reason.String())
}

// OutcomeUnknown returns a 5.04 response for a request that may or may not have run.
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

// Readdress returns a stored answer with the token, message ID and type that match another copy of its request.
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

// RenewBinding returns an answer with its binding replaced by a new one.
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
