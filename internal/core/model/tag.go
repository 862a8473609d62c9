package model

// RoutingTag identifies one run of an upstream inside the packets of a flow; zero means none. A run has one tag for the packets of its open flows and, derived
// from that, one opening tag for the SYN of each flow.
//
// A packet with the tag of a run proves that its flow is open there: instances write the tag only into packets that follow the SYN, and an upstream echoes
// what it has received. A packet with an opening tag proves that the run got the SYN. If it is the first packet of its flow, and the lease of the tag lasts, it
// also proves that the flow is open there.
type RoutingTag uint32

// Lease is the time of an opening tag, by the clock that the instances share. The instance that has sent the SYN sends it to no other upstream until the lease
// is over. NoLease is the lease of a SYN that another upstream may have received as well.
type Lease uint64

// NoLease is no time at all.
const NoLease Lease = 0

// TagPrefix is the part of the tag of a run that its opening tags have as well, in the high bits; the low ones are zero.
type TagPrefix RoutingTag

// openingBits is the number of low bits in which opening tags differ from the tag of their run. An opening tag of one flow passes for that of another with a
// probability of 1 in 4096 for each lease that it is compared with, and of a service with 2,200 runs, the tags of two share a prefix in 2 of 1000 cases for each.
const openingBits = 12

// openingMask selects these bits.
const openingMask = 1<<openingBits - 1

// Prefix returns the prefix of a tag or an opening tag.
func (t RoutingTag) Prefix() TagPrefix {
	return TagPrefix(t &^ openingMask)
}

// Opening returns the opening tag of a flow whose SYN goes to the run with the tag t; t must not be zero. The argument seq is the sequence number of the
// first byte of data, so that a caller that has sent more than its first packets cannot pass an opening tag off for a new one. The result is never zero or t.
func (t RoutingTag) Opening(flow FlowKey, seq uint32, lease Lease) RoutingTag {
	// Odd constants spread the bits that differ over the high bits of the product.
	const mixFlow, mixSeq, mixTag, mixLease = 0x9e3779b97f4a7c15, 0xc2b2ae3d27d4eb4f, 0x165667b19e3779f9, 0xd6e8feb86659fd93
	h := flow.Hash() ^ uint64(seq)*mixSeq ^ uint64(t)*mixTag ^ uint64(lease)*mixLease
	check := RoutingTag(h * mixFlow >> (64 - openingBits))
	opening := t&^openingMask | check
	for opening == 0 || opening == t {
		opening = t&^openingMask | (opening+1)&openingMask
	}
	return opening
}
