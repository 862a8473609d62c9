package relay

import (
	"time"

	"golang.org/x/sys/unix"

	"hawthorncourse/internal/core/model"
)

const (
	// stallThreshold is how late a timer may fire before the process counts as stalled.
	stallThreshold = 25 * time.Millisecond
	// staleThreshold is the length of a stall after which queued packets are dropped: the latency objectives of all callers have passed, and
	// most callers have retried elsewhere, so the answers to these requests would go unused.
	staleThreshold = time.Second
	// staleDrainTime is the time that it takes to empty the socket buffer with a tenth of a core.
	staleDrainTime = 100 * time.Millisecond
)

// stallDetector detects stalls of the process by how late the decision loop wakes after its timer is due. It uses the monotonic clock and the boot-time
// clock, which also advances while the machine is suspended.
type stallDetector struct {
	// expected and bootExpected are when the timer should fire, or when a stall was last noticed if that is later, by each clock.
	expected     model.Instant
	bootExpected time.Duration
	// bootTime reads the boot-time clock.
	bootTime func() time.Duration
	// lastStall is when a stall was last noticed; zero if none was.
	lastStall model.Instant
	// staleUntil is until when packets are dropped after a stall longer than staleThreshold.
	staleUntil model.Instant
}

func newStallDetector(bootTime func() time.Duration) *stallDetector {
	return &stallDetector{bootTime: bootTime}
}

// expect records that the timer is due after wait. If it was overdue, something else woke the decision loop after a stall.
func (s *stallDetector) expect(now model.Instant, wait time.Duration) {
	boot := s.bootTime()
	if s.delay(now, boot) > stallThreshold {
		s.lastStall = now
	}
	s.expected, s.bootExpected = now.Add(wait), boot+wait
}

// delay returns how long the timer has been due; it is negative before, and zero if none was set.
func (s *stallDetector) delay(now model.Instant, boot time.Duration) time.Duration {
	if s.expected == 0 {
		return 0
	}
	return max(now.Sub(s.expected), boot-s.bootExpected)
}

// wake returns how long the timer is overdue when the decision loop wakes, whatever wakes it, or zero if that is within stallThreshold. A stall is returned
// once.
func (s *stallDetector) wake(now model.Instant) time.Duration {
	boot := s.bootTime()
	delay := s.delay(now, boot)
	if delay > staleThreshold {
		s.staleUntil = now.Add(staleDrainTime)
	}
	if delay <= stallThreshold {
		return 0
	}
	s.lastStall, s.expected, s.bootExpected = now, now, boot
	return delay
}

// stalledSince reports whether the process has been stalled since start, including a stall that has just ended, whose timer is still overdue.
func (s *stallDetector) stalledSince(now, start model.Instant) bool {
	return (s.lastStall != 0 && s.lastStall >= start) || s.delay(now, s.bootTime()) > stallThreshold
}

// stale reports whether a packet taken from the queue now may have been received before or during a long stall.
func (s *stallDetector) stale(now model.Instant) bool {
	if s.bootTime()-s.bootExpected > staleThreshold {
		// The stall has just ended, and the packet was selected before the overdue timer.
		s.staleUntil = now.Add(staleDrainTime)
	}
	return now < s.staleUntil
}

// bootClock returns the time since the machine booted, including suspension; zero if the clock is not available.
func bootClock() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
