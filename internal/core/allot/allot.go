// Package allot divides the capacity of an upstream in its cold start among the instances that may use it. Instances compute their shares
// independently, from the ordinals that an Allocator assigns within each failure domain.
package allot

import (
	"github.com/cespare/xxhash/v2"

	"hawthorncourse/internal/core/model"
)

// ColdUpstream is an upstream in its cold start, as seen by one instance.
type ColdUpstream struct {
	Upstream model.UpstreamID
	// Capacity is the maximum number of new flows in one time window, over all instances.
	Capacity int
	// Local is true if the upstream is in the instance's own failure domain.
	Local bool
	// Domains is the number of failure domains; at least one. It must be the same on all instances.
	Domains int
	// Ordinal is the ordinal of the instance within its failure domain.
	Ordinal model.Ordinal
}

// Share returns the number of new flows that this instance may send to the upstream in one window. Instances of the upstream's own failure
// domain get half of the capacity, those of other domains divide the rest. An instance without an ordinal gets none.
func (c ColdUpstream) Share() int {
	capacity := c.domainCapacity()
	switch {
	case c.Ordinal.Count == 0 || capacity <= 0:
		return 0
	case capacity >= c.Ordinal.Count:
		return capacity / c.Ordinal.Count
	case c.rank() < capacity:
		return 1
	default:
		return 0
	}
}

// domainCapacity returns the part of the capacity for all instances of the instance's failure domain.
func (c ColdUpstream) domainCapacity() int {
	local := c.Capacity
	if c.Domains > 1 {
		local = (c.Capacity + 1) / 2
	}
	switch {
	case c.Local:
		return local
	case c.Domains > 1:
		return (c.Capacity - local) / (c.Domains - 1)
	default:
		return 0
	}
}

// rank returns the position of the instance's ordinal in an order of all ordinals of the failure domain that is specific to this upstream.
// An additional ordinal displaces at most one instance from the first positions.
func (c ColdUpstream) rank() (before int) {
	key := xxhash.Sum64String(string(c.Upstream))
	own := priority(key, c.Ordinal.Index)
	for n := range c.Ordinal.Count {
		if n != c.Ordinal.Index && priority(key, n) < own {
			before++
		}
	}
	return before
}

// priority is the sort key of ordinal n in the order that is specific to the upstream with the hash key.
func priority(key uint64, n int) uint64 {
	x := key + uint64(n+1)*0x9e3779b97f4a7c15
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
