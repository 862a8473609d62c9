package model

import (
	"net/netip"
	"time"
)

// Verb says what an action does.
type Verb uint8

// The verbs of actions.
const (
	// VerbForward sends Raw to the upstream.
	VerbForward Verb = iota + 1
	// VerbHandOff hands the packet to a peer.
	VerbHandOff
	// VerbHandOffAnswer hands the answer to a peer, which delivers it and awaits its acknowledgement.
	VerbHandOffAnswer
	// VerbDeliver sends Raw to the caller.
	VerbDeliver
	// VerbChallenge asks the caller to repeat its request with Binding.
	VerbChallenge
	// VerbRefuse tells the caller that its request was not run.
	VerbRefuse
	// VerbOutcomeUnknown tells the caller that the outcome of its request is unknown.
	VerbOutcomeUnknown
	// VerbDrop only counts.
	VerbDrop
	// VerbReset ends a flow towards its caller.
	VerbReset
	// VerbProbe asks whether an upstream can be reached.
	VerbProbe
)

// Action is one decision to carry out.
type Action struct {
	Verb   Verb
	Reason Reason
	// Packet is the caller's packet; nil for answers.
	Packet *Packet
	// Answer is the upstream's answer; nil for packets.
	Answer *Answer
	// Upstream and Address are set for VerbForward.
	Upstream UpstreamID
	Address  netip.AddrPort
	// Peer is set for VerbHand and VerbHandAnswer.
	Peer InstanceID
	// Binding is set for VerbChallenge, and for VerbDeliver when a stream's binding is renewed.
	Binding []byte
	// RetryAfter is set for VerbRefuse.
	RetryAfter time.Duration
	// Raw is set for VerbDeliver.
	Raw []byte
}
