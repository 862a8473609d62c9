package model

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Snapshot is all that an instance knows from the platform.
type Snapshot struct {
	// Revision is the store's up to which every part is complete; parts may hold later changes, too.
	Revision  Revision
	Upstreams Listing[Registration]
	Routes    RouteTable
	// Out holds the failure domains that operators have taken out.
	Out []DomainID
	// OutRevision is the revision up to which Out is complete.
	OutRevision Revision
	// Age is how long ago the store confirmed that nothing is newer.
	Age time.Duration
	// GraceLeft is for how much longer a missing upstream proves nothing, since the store was away.
	GraceLeft time.Duration
	// Ordinal is the number of the instance that is told.
	Ordinal Ordinal
}

// KeepNewer returns the knowledge with the parts of an earlier one in place of those that it held at a later revision: a part that goes
// back would bring ended upstreams to life and end new ones.
func (k Snapshot) KeepNewer(known Snapshot) Snapshot {
	if k.Upstreams.Revision < known.Upstreams.Revision {
		k.Upstreams = known.Upstreams
	}
	if k.Routes.Revision < known.Routes.Revision {
		k.Routes = known.Routes
	}
	if k.OutRevision < known.OutRevision {
		k.Out, k.OutRevision = known.Out, known.OutRevision
	}
	return k
}

// Digest tells two states of knowledge apart that bear the same revision; it is zero for nothing known.
func (k *Snapshot) Digest() uint64 {
	if k.Revision == 0 {
		return 0
	}
	sum := mix(uint64(k.Routes.Revision), 1)
	for i := range k.Upstreams.Items {
		u := &k.Upstreams.Items[i]
		sum ^= mix(xxhash.Sum64String(string(u.ID)), uint64(u.Revision)+2)
	}
	for _, name := range k.Upstreams.Unreadable {
		sum ^= mix(xxhash.Sum64String(name), 3)
	}
	for _, d := range k.Out {
		sum ^= mix(xxhash.Sum64String(string(d)), 4)
	}
	return max(sum, 1)
}

// mix joins two numbers; the sum of several mixes does not depend on their order.
func mix(a, b uint64) uint64 {
	x := a ^ b*0x9e3779b97f4a7c15
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
