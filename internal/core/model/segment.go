package model

// RoutingTag names one start of one upstream inside the packets of a flow; zero names none.
type RoutingTag uint32

// Segment is what the decision packages know of one packet of a flow whose upstream answers its caller directly.
type Segment struct {
	Flow FlowKey
	// Syn is set on the packet that opens a flow.
	Syn bool
	// Retransmission counts how often an opening packet was sent before; zero on all others.
	Retransmission uint32
	// HasAck is set when Received is valid.
	HasAck bool
	// Fin is set when the caller sends nothing more.
	Fin bool
	// Reset is set when the caller gives the flow up.
	Reset bool
	// Tag is the one that the flow's last packet from the upstream carried.
	Tag RoutingTag
	// Seq is the sequence number of the first byte of data.
	Seq uint32
	// AckSeq is the position up to which the caller has the upstream's bytes.
	AckSeq uint32
	// Size is the number of bytes of data.
	Size int
	// Raw is the packet as received; it is never changed.
	Raw []byte
}
