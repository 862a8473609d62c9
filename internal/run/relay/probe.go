package relay

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"hawthorncourse/internal/core/health"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

const (
	// probeTimeout is far above the round trip within one region (3 ms) and leaves room for a queue on a slow link.
	probeTimeout = 150 * time.Millisecond
	// stallLimit is how late a timer of this process may fire before it must have stood still.
	stallLimit = 25 * time.Millisecond
)

// probe opens a connection to an upstream and closes it: that occupies none of its slots.
func (r *Relay) probe(ctx context.Context, u *roster.Upstream) {
	address := u.Address.String()
	go func() {
		start := r.now()
		dialer := net.Dialer{Timeout: probeTimeout}
		conn, err := dialer.DialContext(ctx, "tcp", address)
		outcome := health.OutcomeAnswered
		switch {
		case conn != nil:
			_ = conn.Close()
		case errors.Is(err, syscall.ECONNREFUSED):
			outcome = health.OutcomeFailed
		case model.Instant(r.stalled.Load()) >= start || r.now().Sub(start) > probeTimeout+stallLimit:
			outcome = health.OutcomeUnknown
		default:
			outcome = health.OutcomeFailed
		}
		r.do(ctx, func(now model.Instant) { r.engine.Probed(now, u, outcome) })
	}()
}
