// Package fresh decides when knowledge that comes from the platform has to be read again, so that its age stays bounded.
package fresh

import "time"

const (
	// readsPerBound is how many reads fall into the time in which a change must be in force: one may be lost, one may be slow.
	readsPerBound = 3
	// retryPause is the time from a failed read to the next; seven instances then make 35 calls a second of the 2,000 allowed.
	retryPause = 200 * time.Millisecond
	// timeoutFloor is above the answer of a store that is fifty times slower than its 4 ms.
	timeoutFloor = 600 * time.Millisecond
	// timeoutCeiling lets a store answer that is slower still.
	timeoutCeiling = 2400 * time.Millisecond
	// timeoutGrowth lengthens the patience after each read that failed.
	timeoutGrowth = 2
)

// Pacer is the rhythm of reads of one process.
type Pacer struct {
	// MaxStaleness is the time in which a change must be in force.
	MaxStaleness time.Duration
	// failures counts the reads in a row that failed.
	failures int
}

// Interval returns the time between two reads while the store answers.
func (p *Pacer) Interval() time.Duration {
	return p.MaxStaleness / readsPerBound
}

// Timeout returns how long the next read may take.
func (p *Pacer) Timeout() time.Duration {
	t := timeoutFloor
	for range p.failures {
		t = min(t*timeoutGrowth, timeoutCeiling)
	}
	return t
}

// FinishRead notes the outcome of a read that took so long; it returns the pause before the next.
func (p *Pacer) FinishRead(ok bool, took time.Duration) time.Duration {
	if !ok {
		p.failures++
		return retryPause
	}
	p.failures = 0
	return max(p.Interval()-took, 0)
}
