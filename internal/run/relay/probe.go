package relay

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"hawthorncourse/internal/core/egress"
	"hawthorncourse/internal/core/health"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

// probeResult is what is known of a probe that has ended.
type probeResult struct {
	// err is the error of the dial; nil if the upstream accepted the connection.
	err error
	// stalled is true if the process was stalled meanwhile, so that an answer may have gone unnoticed.
	stalled bool
	// saturated is true if arriving packets filled the instance's own link, behind which the answer waits.
	saturated bool
}

// classify returns the outcome of the probe, and the counter of the reason if it is inconclusive for one that is counted.
func (p probeResult) classify() (outcome health.Outcome, counter string) {
	switch {
	case p.err == nil:
		return health.OutcomeAnswered, ""
	case errors.Is(p.err, syscall.ECONNRESET):
		// The upstream accepted the connection first. A port without a listener and a partition refuse the connection or leave it unanswered.
		return health.OutcomeFull, "upstream.probe_full"
	case p.local():
		return health.OutcomeInconclusive, "upstream.probe_local_error"
	case errors.Is(p.err, syscall.ECONNREFUSED):
		return health.OutcomeFailed, ""
	case p.stalled:
		return health.OutcomeInconclusive, ""
	case p.saturated:
		return health.OutcomeInconclusive, "upstream.probe_saturated"
	default:
		return health.OutcomeFailed, ""
	}
}

// local reports whether the probe failed because of this instance: it has no descriptor, port or memory left, or it stops.
func (p probeResult) local() bool {
	for _, err := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM, context.Canceled} {
		if errors.Is(p.err, err) {
			return true
		}
	}
	return false
}

// probe checks in the background whether an upstream accepts a TCP connection, which takes none of its slots.
func (r *Relay) probe(ctx context.Context, u *roster.Upstream, timeout time.Duration) {
	address := u.Address.String()
	go func() {
		start, received := r.now(), r.receivedBytes.Load()
		dialer := net.Dialer{Timeout: timeout}
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if conn != nil {
			_ = conn.Close()
		}
		took := r.now().Sub(start)
		result := probeResult{
			err:       err,
			stalled:   took > timeout+stallThreshold,
			saturated: egress.Saturated(r.limits.Load().LinkMbps, r.receivedBytes.Load()-received, took),
		}
		r.submit(ctx, func(now model.Instant) { r.finishProbe(ctx, now, u, start, result) })
	}()
}

// finishProbe passes the outcome of a probe to the engine. It runs in the decision loop, which knows of a stall before any other goroutine.
func (r *Relay) finishProbe(ctx context.Context, now model.Instant, u *roster.Upstream, start model.Instant, result probeResult) {
	result.stalled = result.stalled || r.stall.stalledSince(now, start)
	outcome, counter := result.classify()
	if counter != "" {
		r.counts.Counter(counter).Inc(1)
	}
	r.act(ctx, now, r.engine.FinishProbe(now, u, outcome))
}
