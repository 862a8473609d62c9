package model

import "net/netip"

// Class determines how the instances forward a packet.
type Class uint8

// Classes of packets from callers.
const (
	// ClassIdempotent is an idempotent request that any upstream of the service may answer.
	ClassIdempotent Class = iota + 1
	// ClassSticky is a packet that opens or refreshes a stream, or that carries one block of an idempotent block-wise transfer. All such
	// packets of a stream or transfer go to the same upstream.
	ClassSticky
	// ClassOnce is a non-idempotent request, which must be executed at most once.
	ClassOnce
	// ClassReply is the caller's acknowledgement or rejection of a message from an upstream.
	ClassReply
	// ClassFlow is an opaque datagram of a service of KindDatagram.
	ClassFlow
)

// Token is the CoAP token by which a caller identifies one exchange, of at most eight bytes.
type Token struct {
	Len   uint8
	Bytes [8]byte
}

// NewToken returns the token with the bytes of b, truncated to eight bytes.
func NewToken(b []byte) Token {
	var t Token
	t.Len = uint8(copy(t.Bytes[:], b))
	return t
}

// ExchangeKey identifies one request-response exchange of one caller.
type ExchangeKey struct {
	Flow  FlowKey
	Token Token
}

// Packet is one datagram from a caller, parsed as far as the decision packages need it.
type Packet struct {
	Flow      FlowKey
	Class     Class
	Token     Token
	MessageID uint16
	// Confirmable is true if the caller waits for an acknowledgement.
	Confirmable bool
	// Binding is the encoded binding that the caller attached; empty if there is none.
	Binding []byte
	// Digest is a hash of the request without its token, message ID and binding; it is equal for retransmissions.
	Digest uint64
	// Block is the block number in a block-wise transfer, starting at zero.
	Block uint32
	// Hops is the number of times that the packet was handed off between instances.
	Hops uint8
	// Upstream is the upstream that the instance which handed the packet off selected for its flow; empty if there is none.
	Upstream UpstreamID
	// Raw is the datagram as received; it must not be modified.
	Raw []byte
}

// MaxHops is the maximum number of hand-offs of a request between instances.
const MaxHops = 1

// Exchange returns the key of the packet's exchange.
func (p *Packet) Exchange() ExchangeKey {
	return ExchangeKey{Flow: p.Flow, Token: p.Token}
}

// Outcome is what an upstream's answer means for the request.
type Outcome uint8

// Outcomes of answers.
const (
	// OutcomeDone is the final response of an exchange.
	OutcomeDone Outcome = iota + 1
	// OutcomeNotRun is a response by which the upstream states that it did not execute the request.
	OutcomeNotRun
	// OutcomeNotification is a notification on a stream, which stays open.
	OutcomeNotification
	// OutcomeControl is a message without a token, such as an empty acknowledgement; it is delivered as it is.
	OutcomeControl
)

// Answer is one datagram from an upstream, parsed as far as the decision packages need it.
type Answer struct {
	Flow        FlowKey
	Token       Token
	MessageID   uint16
	Confirmable bool
	Outcome     Outcome
	// Piggybacked is true if the response is carried in the acknowledgement of the request, so that MessageID is that of the request.
	Piggybacked bool
	// From is the address of the upstream.
	From netip.AddrPort
	// Boot identifies the current run of the upstream; zero if the answer does not carry it.
	Boot BootID
	// HandedOff is true if another instance handed the answer off to this one, which is to receive its acknowledgement.
	HandedOff bool
	// Raw is the datagram as received; it must not be modified.
	Raw []byte
}

// Exchange returns the key of the answer's exchange.
func (a *Answer) Exchange() ExchangeKey {
	return ExchangeKey{Flow: a.Flow, Token: a.Token}
}
