package model

import "time"

// Segment is one packet from a caller in a flow whose upstream answers the caller directly (direct server return), parsed as far as the
// decision packages need it.
type Segment struct {
	Flow FlowKey
	// Syn is true for a SYN, the packet that opens a flow.
	Syn bool
	// Retransmission is the number of earlier transmissions of a SYN; zero for all other packets.
	Retransmission uint32
	// HasAck is true if AckSeq is valid.
	HasAck bool
	// Fin is true if the caller sends no more data.
	Fin bool
	// Reset is true if the caller aborts the flow.
	Reset bool
	// Tag is the routing tag or the opening tag of the last packet that the caller received in the flow, which the caller echoes.
	Tag RoutingTag
	// Seq is the sequence number of the first data byte.
	Seq uint32
	// AckSeq is the sequence number up to which the caller has received the upstream's data.
	AckSeq uint32
	// Size is the number of data bytes.
	Size int
	// Arrived is when the packet was read from the socket.
	Arrived Instant
	// Delay is how long the packet was queued or held before it was handled.
	Delay time.Duration
	// Raw is the packet as received; it must not be modified.
	Raw []byte
}
