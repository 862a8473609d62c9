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

// probe opens a connection to an upstream and closes it: that occupies none of its slots.
func (r *Relay) probe(ctx context.Context, u *roster.Upstream, wait time.Duration) {
	address := u.Address.String()
	go func() {
		start := r.now()
		dialer := net.Dialer{Timeout: wait}
		conn, err := dialer.DialContext(ctx, "tcp", address)
		outcome := health.OutcomeAnswered
		switch {
		case conn != nil:
			_ = conn.Close()
		case errors.Is(err, syscall.ECONNREFUSED):
			outcome = health.OutcomeFailed
		case model.Instant(r.stalled.Load()) >= start || r.now().Sub(start) > wait+stallLimit:
			outcome = health.OutcomeInconclusive
		default:
			outcome = health.OutcomeFailed
		}
		r.do(ctx, func(now model.Instant) { r.act(ctx, now, r.engine.FinishProbe(now, u, outcome)) })
	}()
}
