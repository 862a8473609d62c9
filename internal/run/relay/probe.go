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

// probe checks in the background whether an upstream accepts a TCP connection, which takes none of its slots. A timeout is inconclusive if
// the process was stalled meanwhile.
func (r *Relay) probe(ctx context.Context, u *roster.Upstream, timeout time.Duration) {
	address := u.Address.String()
	go func() {
		start := r.now()
		dialer := net.Dialer{Timeout: timeout}
		conn, err := dialer.DialContext(ctx, "tcp", address)
		outcome := health.OutcomeAnswered
		switch {
		case conn != nil:
			_ = conn.Close()
		case errors.Is(err, syscall.ECONNREFUSED):
			outcome = health.OutcomeFailed
		case model.Instant(r.lastStall.Load()) >= start || r.now().Sub(start) > timeout+stallThreshold:
			outcome = health.OutcomeInconclusive
		default:
			outcome = health.OutcomeFailed
		}
		r.submit(ctx, func(now model.Instant) { r.act(ctx, now, r.engine.FinishProbe(now, u, outcome)) })
	}()
}
