package entry

import (
	"net"
	"net/netip"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/wire/coap"
	"hawthorncourse/internal/wire/frame"
)

// datagram is an outgoing UDP datagram; a nil conn means that there is nothing to send.
type datagram struct {
	conn *net.UDPConn
	to   netip.AddrPort
	raw  []byte
}

// datagram encodes the packet that an action sends, if any.
func (e *Entry) datagram(a *model.Action) (datagram, error) {
	switch a.Verb {
	case model.VerbForward:
		return e.wrap(e.back, a.Address, callerFrame(a.Packet))
	case model.VerbHandOff:
		f := callerFrame(a.Packet)
		f.Hops, f.Upstream = a.Packet.Hops+1, a.Packet.Upstream
		return e.wrap(e.handOff, e.handOffAddrs[a.Peer], f)
	case model.VerbHandOffAnswer:
		raw, err := renewBinding(a.Answer.Raw, a.Binding)
		if err != nil {
			return datagram{}, err
		}
		f := answerFrame(a.Answer.Flow, raw)
		f.From, f.Boot = a.Answer.From, a.Answer.Boot
		return e.wrap(e.handOff, e.handOffAddrs[a.Peer], f)
	case model.VerbDeliver:
		return e.deliver(a)
	case model.VerbChallenge, model.VerbRefuse, model.VerbOutcomeUnknown:
		return e.reply(a)
	default:
		return datagram{}, nil
	}
}

func callerFrame(p *model.Packet) frame.Frame {
	return frame.Frame{Source: p.Flow.Caller, Dest: p.Flow.Service, Payload: p.Raw}
}

func answerFrame(flow model.FlowKey, raw []byte) frame.Frame {
	return frame.Frame{Source: flow.Service, Dest: flow.Caller, Payload: raw}
}

// wrap encodes a frame for an address; a packet without a valid address is counted as a failed send.
func (e *Entry) wrap(conn *net.UDPConn, to netip.AddrPort, f frame.Frame) (datagram, error) {
	if !to.IsValid() {
		e.counters.drop(model.ReasonSendFailed)
		return datagram{}, nil
	}
	raw, err := frame.Format(f)
	return datagram{conn: conn, to: to, raw: raw}, err
}

// deliver encodes an answer for its caller. An action with a packet repeats a stored answer for a retransmitted request; one with a binding
// replaces the binding in the answer.
func (e *Entry) deliver(a *model.Action) (d datagram, err error) {
	if a.Packet != nil {
		raw, err := coap.Readdress(a.Raw, a.Packet)
		if err != nil {
			return d, err
		}
		return e.wrap(e.front, e.cfg.Fabric, answerFrame(a.Packet.Flow, raw))
	}
	raw, err := renewBinding(a.Raw, a.Binding)
	if err != nil {
		return d, err
	}
	return e.wrap(e.front, e.cfg.Fabric, answerFrame(a.Answer.Flow, raw))
}

// renewBinding replaces the binding in an answer; it returns the answer unchanged if there is no new binding.
func renewBinding(raw, binding []byte) ([]byte, error) {
	if len(binding) == 0 {
		return raw, nil
	}
	return coap.RenewBinding(raw, binding)
}

// reply encodes an answer that this instance generates itself. Opaque datagrams and callers' acknowledgements and rejections get none.
func (e *Entry) reply(a *model.Action) (d datagram, err error) {
	if a.Packet.Class == model.ClassFlow || a.Packet.Class == model.ClassReply {
		return d, nil
	}
	var raw []byte
	switch a.Verb {
	case model.VerbChallenge:
		raw, err = coap.Challenge(a.Packet, a.Binding)
	case model.VerbRefuse:
		raw, err = coap.Reject(a.Packet, a.Reason, a.RetryAfter)
	default:
		raw, err = coap.OutcomeUnknown(a.Packet, a.Reason)
	}
	if err != nil {
		return d, err
	}
	return e.wrap(e.front, e.cfg.Fabric, answerFrame(a.Packet.Flow, raw))
}
