package direct

import (
	"time"

	"hawthorncourse/internal/core/allot"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

// coldWindow is longer than the second over which the platform counts, for what was under way before.
const coldWindow = 1100 * time.Millisecond

// coldLimits counts the new flows that cold upstreams got from this instance.
type coldLimits struct {
	sent []coldSend
	// queue is reused from one choice to the next.
	queue []*roster.Upstream
}

type coldSend struct {
	at model.Instant
	up *roster.Upstream
}

// SetOrdinal notes the number of this instance among those of its failure domain, and until when to believe in it.
func (e *Engine) SetOrdinal(p model.Ordinal, until model.Instant) {
	e.place, e.placeUntil = p, until
}

// coldShare returns how many flows this instance may send to one cold upstream in a window.
func (e *Engine) coldShare(now model.Instant, u *roster.Upstream) int {
	if now >= e.placeUntil {
		return 0
	}
	return allot.ColdUpstream{
		Upstream: u.ID,
		Capacity: int(e.limits[u.Service].ColdRate*e.cfg.Limits.ColdFactor + e.cfg.Limits.ColdSlack),
		Local:    u.Domain == e.cfg.Domain,
		Domains:  e.cfg.Limits.Domains,
		Ordinal:  e.place,
	}.Share()
}

// admits reports whether a cold upstream may get one more flow within the share of this instance.
func (c *coldLimits) admits(up *roster.Upstream, share int) bool {
	n := 0
	for _, s := range c.sent {
		if s.up == up {
			n++
		}
	}
	return n < share
}

// note counts a flow that goes to an upstream; only cold ones matter.
func (c *coldLimits) note(now model.Instant, up *roster.Upstream) {
	if up.Cold(now) {
		c.sent = append(c.sent, coldSend{at: now, up: up})
	}
}

func (c *coldLimits) tick(now model.Instant) {
	for len(c.sent) > 0 && now.Sub(c.sent[0].at) >= coldWindow {
		c.sent = c.sent[1:]
	}
}
