package model

import (
	"net/netip"
	"time"
)

// Verb is the kind of an Action.
type Verb uint8

// Verbs of Action. VerbForward, VerbReset, VerbDrop, VerbProbe and VerbHold are also the verbs of direct.Action, which has fields of its own.
const (
	// VerbForward forwards Packet to Upstream at Address.
	VerbForward Verb = iota + 1
	// VerbHandOff hands Packet off to the instance Peer.
	VerbHandOff
	// VerbHandOffAnswer hands Answer off to the instance Peer, which delivers it and receives the caller's acknowledgement.
	VerbHandOffAnswer
	// VerbDeliver sends Raw to the caller; if Binding is set, it replaces the binding of the caller's stream.
	VerbDeliver
	// VerbChallenge asks the caller to resend its request with Binding attached.
	VerbChallenge
	// VerbRefuse tells the caller that its request was not executed and may be retried after RetryAfter.
	VerbRefuse
	// VerbOutcomeUnknown tells the caller that its request may or may not have been executed.
	VerbOutcomeUnknown
	// VerbDrop discards the packet or answer, if any, and increments the counter of Reason.
	VerbDrop
	// VerbReset sends a reset to the caller of a flow.
	VerbReset
	// VerbProbe probes whether an upstream is reachable.
	VerbProbe
	// VerbHold keeps a packet for a short time, until it can be decided upon.
	VerbHold
)

// Action is one step that a decision engine asks its caller to carry out.
type Action struct {
	Verb   Verb
	Reason Reason
	// Packet is the packet that the action applies to; nil if it applies to an answer.
	Packet *Packet
	// Answer is the upstream's answer that the action applies to; nil if it applies to a packet.
	Answer *Answer
	// Upstream and Address are set for VerbForward.
	Upstream UpstreamID
	Address  netip.AddrPort
	// Peer is set for VerbHandOff and VerbHandOffAnswer.
	Peer InstanceID
	// Binding is the encoded binding. It is set for VerbChallenge, and for VerbDeliver and VerbHandOffAnswer when a stream's binding is renewed.
	Binding []byte
	// RetryAfter is how long the caller should wait before it retries; set for VerbRefuse.
	RetryAfter time.Duration
	// Raw is the datagram to send; set for VerbDeliver.
	Raw []byte
}
