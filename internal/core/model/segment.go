package model

// RoutingTag names one start of one upstream inside the packets of a flow; zero names none.
type RoutingTag uint32

// Segment is what the decision packages know of one packet of a flow whose upstream answers its caller directly.
type Segment struct {
	Flow FlowKey
	// Open is set on the packet that opens a flow.
	Open bool
	// Copy counts how often an opening packet was sent before; zero on all others.
	Copy uint32
	// Answers is set when Received is valid.
	Answers bool
	// Ends is set when the caller sends nothing more.
	Ends bool
	// Aborts is set when the caller gives the flow up.
	Aborts bool
	// Tag is the one that the flow's last packet from the upstream carried.
	Tag RoutingTag
	// Position is the sequence number of the first byte of data.
	Position uint32
	// Received is the position up to which the caller has the upstream's bytes.
	Received uint32
	// Size is the number of bytes of data.
	Size int
	// Raw is the packet as received; it is never changed.
	Raw []byte
}
