package direct

import (
	"time"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

const (
	// coldWindow is longer than the second over which the platform counts, for what was under way before.
	coldWindow = 1100 * time.Millisecond
	// coldShare is the number of flows that one instance may send to one cold upstream in a window; with the slack
	// of five that the platform publishes, five instances may do so at once.
	coldShare = 1
)

// coldLimits counts the new flows that cold upstreams got from this instance.
type coldLimits struct {
	sent []coldSend
}

type coldSend struct {
	at model.Instant
	up *roster.Upstream
}

// admits reports whether a cold upstream may get one more flow.
func (c *coldLimits) admits(up *roster.Upstream) bool {
	n := 0
	for _, s := range c.sent {
		if s.up == up {
			n++
		}
	}
	return n < coldShare
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
