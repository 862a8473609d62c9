package relay

import (
	"context"
	"time"
)

const (
	// routerDetectTime is how long routers take to detect that the instance is not ready: two checks half a second apart, plus network delay.
	routerDetectTime = 1200 * time.Millisecond
	// quietPeriod exceeds the longest interval at which callers retransmit packets to an instance that the routers have just taken out of
	// rotation.
	quietPeriod = 500 * time.Millisecond
	// stopMargin is the time left before the process would be killed.
	stopMargin = 500 * time.Millisecond
	stopPoll   = 50 * time.Millisecond
)

// awaitStop starts the graceful shutdown when ctx is cancelled and returns when no more packets arrive or the time is nearly over.
// work is the context of the other goroutines; it is cancelled when one of them fails.
func (r *Relay) awaitStop(ctx, work context.Context) error {
	select {
	case <-ctx.Done():
	case <-work.Done():
		return nil
	}
	r.logger("relay").Info("Graceful shutdown has started; the readiness check now fails.")
	r.stopping.Store(true)
	r.serving.Store(false)
	watch := startStopwatch(time.Now, bootClock)
	for work.Err() == nil {
		sleep(work, stopPoll)
		quiet := time.Duration(r.now()) - time.Duration(r.lastPacket.Load())
		if shutdownComplete(watch.elapsed(), quiet, r.limits.Load().StopWithin) {
			return nil
		}
	}
	return nil
}

// stopwatch measures the time of a graceful shutdown by two clocks. The platform's grace period goes on while the machine is suspended, which the
// monotonic clock does not count.
type stopwatch struct {
	now       func() time.Time
	boot      func() time.Duration
	started   time.Time
	bootStart time.Duration
}

func startStopwatch(now func() time.Time, boot func() time.Duration) *stopwatch {
	return &stopwatch{now: now, boot: boot, started: now(), bootStart: boot()}
}

// elapsed returns the time since the start, including suspension.
func (s *stopwatch) elapsed() time.Duration {
	return max(s.now().Sub(s.started), s.boot()-s.bootStart)
}

// shutdownComplete reports whether a graceful shutdown is complete; since is the time from its start, quiet the time from the last packet, and
// within the time within which it must be complete.
func shutdownComplete(since, quiet, within time.Duration) bool {
	if since >= within-stopMargin {
		return true
	}
	return since >= routerDetectTime && quiet >= quietPeriod
}
