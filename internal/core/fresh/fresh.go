// Package fresh schedules reads of the platform's state so that the staleness of an instance's copy stays bounded.
package fresh

import "time"

const (
	// readsPerStalenessBound is how many reads are made within the staleness bound, so that one may fail and another may be slow.
	readsPerStalenessBound = 3
	// retryDelay is the delay after the first failed read. It doubles with each further one up to the interval between reads: refused calls cost
	// the store as much as others, and a store that rejects one instance usually does so for seconds.
	retryDelay = 200 * time.Millisecond
	// minTimeout is the timeout after a successful read; it also covers a store that is fifty times slower than its usual 4 ms.
	minTimeout = 600 * time.Millisecond
	// maxTimeout bounds the timeout after repeated failures, for a store that is even slower.
	maxTimeout = 2400 * time.Millisecond
	// timeoutGrowth multiplies the timeout and the delay after each failed read.
	timeoutGrowth = 2
)

// Pacer determines the interval and the timeout of the reads of one process.
type Pacer struct {
	// MaxStaleness is the time within which a change must take effect.
	MaxStaleness time.Duration
	// failures counts consecutive failed reads.
	failures int
}

// Interval returns the time from the start of one read to the start of the next while the store responds.
func (p *Pacer) Interval() time.Duration {
	return p.MaxStaleness / readsPerStalenessBound
}

// Timeout returns the timeout of the next read.
func (p *Pacer) Timeout() time.Duration {
	t := minTimeout
	for range p.failures {
		t = min(t*timeoutGrowth, maxTimeout)
	}
	return t
}

// FinishRead records the outcome of a read and its duration; it returns the delay before the next read.
func (p *Pacer) FinishRead(ok bool, took time.Duration) time.Duration {
	if !ok {
		delay := retryDelay
		for range p.failures {
			delay = min(delay*timeoutGrowth, max(p.Interval(), retryDelay))
		}
		p.failures++
		return delay
	}
	p.failures = 0
	return max(p.Interval()-took, 0)
}
