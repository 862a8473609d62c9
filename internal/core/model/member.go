package model

import "net/netip"

// MemberState is the state of an instance as seen by another one.
type MemberState uint8

// States of members, from best to worst.
const (
	// MemberAlive is an instance that answers probes.
	MemberAlive MemberState = iota + 1
	// MemberLeaving is an instance in a graceful shutdown: it takes no new work.
	MemberLeaving
	// MemberSuspect is an instance that did not answer; it keeps its slots until it is declared dead.
	MemberSuspect
	// MemberDead is an instance that did not answer within the detection time; its slots go to other instances.
	MemberDead
)

var memberStateNames = map[MemberState]string{
	MemberAlive:   "alive",
	MemberLeaving: "leaving",
	MemberSuspect: "suspect",
	MemberDead:    "dead",
}

// String returns the name of the state as used in reports and logs.
func (s MemberState) String() string {
	return memberStateNames[s]
}

// Member is one instance as seen by another one.
type Member struct {
	ID     InstanceID
	Domain DomainID
	// Boot identifies the current run of the instance; a higher value is newer.
	Boot BootID
	// Incarnation is incremented by the member each time it refutes a report about its own state, as in SWIM.
	Incarnation uint32
	State       MemberState
	// Control is the address for RPCs between instances.
	Control netip.AddrPort
	// HandOff is the address for packets that are handed off between instances.
	HandOff netip.AddrPort
}

// Tag returns the tag that identifies the current run of the member inside bindings.
func (m Member) Tag() IssuerTag {
	return NewIssuerTag(m.ID, m.Boot)
}
