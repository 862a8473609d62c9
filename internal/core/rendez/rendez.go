// Package rendez implements rendezvous hashing (highest random weight).
package rendez

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Key is the hash of the object that an owner is selected for.
type Key uint64

// KeyOf returns the key of item n of the object with the name.
func KeyOf(name string, n int) Key {
	return Key(mix(xxhash.Sum64String(name) + uint64(n)*0x9e3779b97f4a7c15))
}

// Candidate is one possible owner.
type Candidate[T any] struct {
	Value T
	hash  uint64
}

// NewCandidate returns a candidate whose rank depends on its name only.
func NewCandidate[T any](name string, value T) Candidate[T] {
	return Candidate[T]{Value: value, hash: xxhash.Sum64String(name)}
}

// First returns the value of the highest-ranked candidate for the key; ok is false if there are no candidates.
func First[T any](key Key, candidates []Candidate[T]) (best T, ok bool) {
	var bestScore uint64
	for _, c := range candidates {
		score := mix(c.hash ^ uint64(key))
		if !ok || score > bestScore {
			best, bestScore, ok = c.Value, score, true
		}
	}
	return best, ok
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// FirstTwo returns the values of the two highest-ranked candidates for the key, or zero values if there are fewer.
func FirstTwo[T any](key Key, candidates []Candidate[T]) (first, second T) {
	var firstScore, secondScore uint64
	var n int
	for _, c := range candidates {
		score := mix(c.hash ^ uint64(key))
		switch {
		case n == 0 || score > firstScore:
			second, secondScore = first, firstScore
			first, firstScore = c.Value, score
		case n == 1 || score > secondScore:
			second, secondScore = c.Value, score
		}
		n++
	}
	return first, second
}

// WeightedScore returns the score of a candidate for the key in weighted rendezvous hashing. If the candidate with the highest score is
// selected, the probability of each one is proportional to its weight.
func WeightedScore(key Key, name string, weight float64) float64 {
	h := mix(xxhash.Sum64String(name) ^ uint64(key))
	uniform := (float64(h>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(uniform)
}
