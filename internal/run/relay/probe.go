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

// probe checks in the background whether an upstream accepts a TCP connection, which takes none of its slots. A timeout is inconclusive if
// the process was stalled meanwhile, or if the instance's own link was saturated by arriving packets, behind which the answer waits.
func (r *Relay) probe(ctx context.Context, u *roster.Upstream, timeout time.Duration) {
	address := u.Address.String()
	go func() {
		start, received := r.now(), r.receivedBytes.Load()
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
		case egress.Saturated(r.limits.Load().LinkMbps, r.receivedBytes.Load()-received, r.now().Sub(start)):
			r.counts.Counter("upstream.probe_saturated").Inc(1)
			outcome = health.OutcomeInconclusive
		default:
			outcome = health.OutcomeFailed
		}
		r.submit(ctx, func(now model.Instant) { r.act(ctx, now, r.engine.FinishProbe(now, u, outcome)) })
	}()
}
