package model

import "net/netip"

// MemberState is what is believed of an instance.
type MemberState uint8

// The states of members, from best to worst.
const (
	MemberAlive MemberState = iota + 1
	// MemberLeaving is an instance in planned stop: it takes no new work.
	MemberLeaving
	// MemberSuspect is an instance that did not answer; it keeps its work until it is dead.
	MemberSuspect
	MemberDead
)

var memberStateNames = map[MemberState]string{
	MemberAlive:   "alive",
	MemberLeaving: "leaving",
	MemberSuspect: "suspect",
	MemberDead:    "dead",
}

// String returns the state's name.
func (s MemberState) String() string {
	return memberStateNames[s]
}

// Member is one instance as its peers know it.
type Member struct {
	ID     InstanceID
	Domain DomainID
	// Boot tells a restarted instance from its earlier start; a higher one is newer.
	Boot BootID
	// Incarnation grows each time the member contradicts a report about itself.
	Incarnation uint32
	State       MemberState
	// Control is the address for calls between instances.
	Control netip.AddrPort
	// HandOff is the address for packets handed between instances.
	HandOff netip.AddrPort
}

// Tag returns the name of the member's present start inside bindings.
func (m Member) Tag() IssuerTag {
	return NewIssuerTag(m.ID, m.Boot)
}
