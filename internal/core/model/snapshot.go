package model

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Snapshot is the state of the platform's store as known to one instance.
type Snapshot struct {
	// Revision is the store revision up to which every part is complete; a part may also contain later changes.
	Revision Revision
	// Era is the era of Revision.
	Era Era
	// Upstreams holds the registrations of all upstreams.
	Upstreams Listing[Registration]
	Routes    RouteTable
	// Out lists the failure domains that operators have taken out of service.
	Out []DomainID
	// OutRevision is the revision up to which Out is complete, in the era of the snapshot.
	OutRevision Revision
	// Readers holds the reader records of all failure domains as of the last confirmation; empty in snapshots for instances that are no readers.
	Readers []ReaderRecord
	// Age is the time since the store last confirmed that the snapshot was current.
	Age time.Duration
	// GraceLeft is the rest of the grace period after an outage of the store, during which a missing registration does not mean that
	// the upstream has ended.
	GraceLeft time.Duration
	// Ordinal is the ordinal assigned to the instance that receives the snapshot.
	Ordinal Ordinal
}

// At returns the state of the store that the snapshot shows.
func (s *Snapshot) At() Position {
	return Position{Era: s.Era, Revision: s.Revision}
}

// KeepNewer returns s with each part that prev holds of a later state taken from prev. Reverting a part to an earlier state would resurrect
// upstreams that have ended and remove new ones. Between snapshots of different eras, only the routes have an order.
func (s Snapshot) KeepNewer(prev Snapshot) Snapshot {
	if prev.Routes.NewerThan(&s.Routes) {
		s.Routes = prev.Routes
	}
	if s.Era != prev.Era {
		return s
	}
	if s.Upstreams.Revision < prev.Upstreams.Revision {
		s.Upstreams = prev.Upstreams
	}
	if s.OutRevision < prev.OutRevision {
		s.Out, s.OutRevision = prev.Out, prev.OutRevision
	}
	return s
}

// Digest returns a hash of the content, which distinguishes snapshots of equal revision. Objects are hashed by their revisions, which stand for
// their contents within one era. The digest does not depend on the order of the items and is zero if and only if the snapshot is empty (its
// revision is zero).
func (s *Snapshot) Digest() uint64 {
	if s.Revision == 0 {
		return 0
	}
	sum := mix(uint64(s.Routes.Revision), 1) ^ mix(uint64(s.Routes.Era), 2) ^ mix(uint64(s.Era), 5)
	for i := range s.Upstreams.Items {
		u := &s.Upstreams.Items[i]
		sum ^= mix(xxhash.Sum64String(string(u.ID)), uint64(u.Revision)+6)
	}
	for _, name := range s.Upstreams.Unreadable {
		sum ^= mix(xxhash.Sum64String(name), 3)
	}
	for _, d := range s.Out {
		sum ^= mix(xxhash.Sum64String(string(d)), 4)
	}
	return max(sum, 1)
}

// mix hashes two numbers into one with the finalizer of splitmix64. Digest combines the results by XOR, so that their order is irrelevant.
func mix(a, b uint64) uint64 {
	x := a ^ b*0x9e3779b97f4a7c15
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
