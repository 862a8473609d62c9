package model

import "net/netip"

// ReaderRecord names the instance that reads the platform's store for its failure domain.
type ReaderRecord struct {
	Domain DomainID
	// Holder is empty while nobody has taken the seat.
	Holder InstanceID
	// Control is the holder's address for calls between instances.
	Control netip.AddrPort
	// Revision is that of the seat's last change; zero while it does not exist.
	Revision Revision
}

// Ordinal is the number of one instance among those of its failure domain; its zero value is none.
type Ordinal struct {
	// Index is below Of.
	Index int
	// Count is one more than the highest number that is taken.
	Count int
}
