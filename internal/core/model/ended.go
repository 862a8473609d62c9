package model

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// EndedRun is a run of an upstream that is gone from the registry while flows of it may still be open, as one instance tells it another.
type EndedRun struct {
	// Registration is the last one that was listed.
	Registration
	// Era is the era in which it was last listed.
	Era Era
	// Age is the time since the run was found to be gone.
	Age time.Duration
	// Replaced is set if it is certain that a later run has taken the place of this one, so that all its flows have ended. If it is not set, the run may
	// serve, and probes decide.
	Replaced bool
}

// EndedDigest returns a hash of a list of ended runs that depends neither on their order nor on their ages. It is zero if and only if the list is empty.
func EndedDigest(list []EndedRun) uint64 {
	if len(list) == 0 {
		return 0
	}
	var sum uint64
	for i := range list {
		e := &list[i]
		replaced := uint64(7)
		if e.Replaced {
			replaced = 8
		}
		sum ^= mix(mix(xxhash.Sum64String(string(e.ID)), uint64(e.Boot))^xxhash.Sum64String(string(e.Service)), replaced)
	}
	return max(sum, 1)
}
