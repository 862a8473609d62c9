// Package allot divides what a cold upstream bears among the instances that may use it, without talk between them.
package allot

import (
	"github.com/cespare/xxhash/v2"

	"hawthorncourse/internal/core/model"
)

// ColdUpstream is one cold upstream as one instance sees it.
type ColdUpstream struct {
	Upstream model.UpstreamID
	// Capacity is how many flows it may get in one window, over all instances.
	Capacity int
	// Local is set if it is in the instance's own failure domain.
	Local bool
	// Domains is the number of failure domains, which every instance counts alike; at least one.
	Domains int
	// Ordinal is the number of the instance among those of its failure domain.
	Ordinal model.Ordinal
}

// Share returns how many flows this instance may send to the upstream in one window. Instances of the upstream's failure
// domain get half of what it bears, those of the others divide the rest; an instance without a number gets none.
func (c ColdUpstream) Share() int {
	budget := c.budget()
	switch {
	case c.Ordinal.Count == 0 || budget <= 0:
		return 0
	case budget >= c.Ordinal.Count:
		return budget / c.Ordinal.Count
	case c.rank() < budget:
		return 1
	default:
		return 0
	}
}

// budget returns what the upstream may get from all instances of one failure domain.
func (c ColdUpstream) budget() int {
	home := c.Capacity
	if c.Domains > 1 {
		home = (c.Capacity + 1) / 2
	}
	switch {
	case c.Local:
		return home
	case c.Domains > 1:
		return (c.Capacity - home) / (c.Domains - 1)
	default:
		return 0
	}
}

// rank returns how many numbers of the failure domain come before the instance's own for this upstream. One more number
// takes the turn of one instance at most.
func (c ColdUpstream) rank() (before int) {
	key := xxhash.Sum64String(string(c.Upstream))
	own := turn(key, c.Ordinal.Index)
	for n := range c.Ordinal.Count {
		if n != c.Ordinal.Index && turn(key, n) < own {
			before++
		}
	}
	return before
}

// turn orders the numbers of a failure domain differently for each upstream.
func turn(key uint64, n int) uint64 {
	x := key + uint64(n+1)*0x9e3779b97f4a7c15
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
