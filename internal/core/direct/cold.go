package direct

import (
	"time"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

const (
	// coldWindow is longer than the second over which the platform counts, for what was under way before.
	coldWindow = 1100 * time.Millisecond
	// coldSharers is how many instances may use one cold upstream at once without talk between them: more than a failure
	// domain of today has, and cold upstreams are used only where no warm one can be reached.
	coldSharers = 5
)

// coldLimits counts the new flows that cold upstreams got from this instance.
type coldLimits struct {
	sent []coldSend
}

type coldSend struct {
	at model.Instant
	up *roster.Upstream
}

// coldShare returns how many flows this instance may send to one cold upstream in a window; at least one.
func (e *Engine) coldShare(service model.ServiceID) int {
	bearable := e.limits[service].ColdRate*e.cfg.ColdFactor + e.cfg.ColdSlack
	return max(int(bearable/coldSharers), 1)
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
