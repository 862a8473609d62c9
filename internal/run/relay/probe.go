package relay

import (
	"context"
	"net"
	"time"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

const (
	// probeTimeout is above ten times the round trip between failure domains of one region.
	probeTimeout = 100 * time.Millisecond
	// probeStall is how much later than its timeout a probe may end before this instance must have stood still itself.
	probeStall = 50 * time.Millisecond
)

// probe opens a connection to an upstream and closes it: that occupies none of its slots.
func (r *Relay) probe(ctx context.Context, u *roster.Upstream) {
	address := u.Address.String()
	go func() {
		start := time.Now()
		dialer := net.Dialer{Timeout: probeTimeout}
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if conn != nil {
			_ = conn.Close()
		}
		// A probe that ended too late says nothing: it counts as a success, and packets without an answer ask for another.
		ok := err == nil || time.Since(start) > probeTimeout+probeStall
		r.do(ctx, func(now model.Instant) { r.engine.Probed(now, u, ok) })
	}()
}
