package direct

import (
	"time"

	"hawthorncourse/internal/core/allot"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

// coldWindow exceeds the one second over which the platform counts, to allow for flows still in transit.
const coldWindow = 1100 * time.Millisecond

// coldLimiter counts the new flows that this instance recently sent to cold upstreams.
type coldLimiter struct {
	sent []coldSend
	// candidates is a buffer reused between choices.
	candidates []*roster.Upstream
}

// coldSend is one new flow sent to a cold upstream.
type coldSend struct {
	at model.Instant
	up *roster.Upstream
}

// SetOrdinal sets the ordinal of this instance within its failure domain, valid until the given time.
func (e *Engine) SetOrdinal(ordinal model.Ordinal, until model.Instant) {
	e.ordinal, e.ordinalUntil = ordinal, until
}

// coldQuota returns how many new flows this instance may send to one cold upstream per coldWindow; zero without a valid ordinal.
func (e *Engine) coldQuota(now model.Instant, u *roster.Upstream) int {
	if now >= e.ordinalUntil {
		return 0
	}
	return allot.ColdUpstream{
		Upstream: u.ID,
		Capacity: int(e.serviceLimits[u.Service].ColdRate*e.cfg.Limits.ColdFactor + e.cfg.Limits.ColdSlack),
		Local:    u.Domain == e.cfg.Domain,
		Domains:  e.cfg.Limits.Domains,
		Ordinal:  e.ordinal,
	}.Share()
}

// allows reports whether a cold upstream may get one more flow within the quota of this instance.
func (c *coldLimiter) allows(up *roster.Upstream, quota int) bool {
	recent := 0
	for _, s := range c.sent {
		if s.up == up {
			recent++
		}
	}
	return recent < quota
}

// record counts a new flow if its upstream is cold.
func (c *coldLimiter) record(now model.Instant, up *roster.Upstream) {
	if up.Cold(now) {
		c.sent = append(c.sent, coldSend{at: now, up: up})
	}
}

func (c *coldLimiter) expire(now model.Instant) {
	for len(c.sent) > 0 && now.Sub(c.sent[0].at) >= coldWindow {
		c.sent = c.sent[1:]
	}
}
