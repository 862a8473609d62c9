package model

import "net/netip"

// Class is what a packet asks of the instances; each class has its own rule of forwarding.
type Class uint8

// The classes of packets from callers.
const (
	// ClassIdempotent is an idempotent request that any upstream of the service may answer.
	ClassIdempotent Class = iota + 1
	// ClassSticky opens or refreshes a stream, or carries one block of an idempotent transfer.
	ClassSticky
	// ClassOnce is a request that is not idempotent.
	ClassOnce
	// ClassReply acknowledges or rejects a message of an upstream.
	ClassReply
	// ClassFlow is an opaque datagram of a flow.
	ClassFlow
)

// Token is the caller's name for one exchange, of at most eight bytes.
type Token struct {
	Len   uint8
	Bytes [8]byte
}

// NewToken returns the token with the bytes of b, of which it keeps eight.
func NewToken(b []byte) Token {
	var t Token
	t.Len = uint8(copy(t.Bytes[:], b))
	return t
}

// ExchangeKey tells one exchange of one caller from all others.
type ExchangeKey struct {
	Flow  FlowKey
	Token Token
}

// Packet is what the decision packages know of one datagram from a caller.
type Packet struct {
	Flow      FlowKey
	Class     Class
	Token     Token
	MessageID uint16
	// Confirmable is set when the caller waits for an acknowledgement.
	Confirmable bool
	// Binding is the binding as the caller sent it; empty for none.
	Binding []byte
	// Digest covers the request without its token, message ID and binding.
	Digest uint64
	// Block numbers the block of a transfer in parts, from zero.
	Block uint32
	// Hops counts the instances that handed the packet on; at most MaxHops.
	Hops uint8
	// Upstream is the upstream that a peer found for the packet's flow; empty for none.
	Upstream UpstreamID
	// Raw is the datagram as received; it is never changed.
	Raw []byte
}

// MaxHops is how often a packet is handed from instance to instance.
const MaxHops = 1

// Exchange returns the key of the packet's exchange.
func (p *Packet) Exchange() ExchangeKey {
	return ExchangeKey{Flow: p.Flow, Token: p.Token}
}

// Outcome is what an upstream's answer says of the request.
type Outcome uint8

// The outcomes of answers.
const (
	// OutcomeDone ends an exchange.
	OutcomeDone Outcome = iota + 1
	// OutcomeNotRun is the upstream's own word that the request was not run.
	OutcomeNotRun
	// OutcomeNotification is one notification of a stream, which stays open.
	OutcomeNotification
	// OutcomeControl is a message without a token, such as an empty acknowledgement.
	OutcomeControl
)

// Answer is what the decision packages know of one datagram from an upstream.
type Answer struct {
	Flow        FlowKey
	Token       Token
	MessageID   uint16
	Confirmable bool
	Outcome     Outcome
	// Piggybacked is set when MessageID is that of the request.
	Piggybacked bool
	// From is the address of the upstream.
	From netip.AddrPort
	// Boot is the upstream's start, or zero if it does not tell.
	Boot BootID
	// HandedOff is set on an answer that another instance handed here for its acknowledgement.
	HandedOff bool
	Raw       []byte
}

// Exchange returns the key of the answer's exchange.
func (a *Answer) Exchange() ExchangeKey {
	return ExchangeKey{Flow: a.Flow, Token: a.Token}
}
