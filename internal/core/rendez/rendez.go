// Package rendez ranks candidates for a key by highest random weight.
package rendez

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Key is the hash of what is to be owned.
type Key uint64

// KeyOf returns the key of a name and a number under it.
func KeyOf(name string, n int) Key {
	return Key(mix(xxhash.Sum64String(name) + uint64(n)*0x9e3779b97f4a7c15))
}

// Candidate is one possible owner, by the hash of its name.
type Candidate[T any] struct {
	Value T
	hash  uint64
}

// NewCandidate returns a candidate that is ranked by its name.
func NewCandidate[T any](name string, value T) Candidate[T] {
	return Candidate[T]{Value: value, hash: xxhash.Sum64String(name)}
}

// First returns the best-ranked candidate for the key; ok is false for no candidates.
func First[T any](key Key, candidates []Candidate[T]) (best T, ok bool) {
	var top uint64
	for _, c := range candidates {
		score := mix(c.hash ^ uint64(key))
		if !ok || score > top {
			best, top, ok = c.Value, score, true
		}
	}
	return best, ok
}

// mix is the finaliser of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// FirstTwo returns the two best-ranked candidates for the key, or zero values where there are fewer.
func FirstTwo[T any](key Key, candidates []Candidate[T]) (first, second T) {
	var top, next uint64
	var n int
	for _, c := range candidates {
		score := mix(c.hash ^ uint64(key))
		switch {
		case n == 0 || score > top:
			second, next = first, top
			first, top = c.Value, score
		case n == 1 || score > next:
			second, next = c.Value, score
		}
		n++
	}
	return first, second
}

// WeightedScore returns the score of a name for the key; the highest wins, in proportion to weights.
func WeightedScore(key Key, name string, weight float64) float64 {
	h := mix(xxhash.Sum64String(name) ^ uint64(key))
	unit := (float64(h>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(unit)
}
