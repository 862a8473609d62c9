package model

import "net/netip"

// ReaderRecord is the leader election record of a failure domain. The elected instance, the reader, reads the platform's store and
// passes the result on to the other instances of the failure domain.
type ReaderRecord struct {
	Domain DomainID
	// Holder is the elected instance; empty if none has been elected.
	Holder InstanceID
	// Control is the holder's address for RPCs between instances.
	Control netip.AddrPort
	// Revision is the store revision of the record's last change; zero if the record does not exist.
	Revision Revision
	// Era is the era in which the record was read.
	Era Era
}

// At returns the state of the store in which the record was written. Of a record that does not exist, it is before any other state of its era.
func (r *ReaderRecord) At() Position {
	return Position{Era: r.Era, Revision: r.Revision}
}

// Ordinal is the number of an instance among the instances of its failure domain. The zero value means that none is assigned.
type Ordinal struct {
	// Index is the ordinal itself, in the range [0, Count).
	Index int
	// Count is one more than the highest ordinal that is assigned in the failure domain.
	Count int
}
