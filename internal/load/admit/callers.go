package admit

import (
	"net/netip"
	"time"

	"hawthorncourse/internal/core/model"
)

// callerWindow is the time, in nanoseconds, over which the admissions of a caller count against it; the page on overload names one second.
const callerWindow = time.Second

// maxCallers is the number of callers counted in one window. It bounds the memory of a gate to about 500 KB; a gate that admits fewer flows a second
// never reaches it. Callers beyond it count as new.
const maxCallers = 4096

// callers counts the admissions of each caller in the last callerWindow, as a sliding window of two fixed windows. The zero value is empty.
type callers struct {
	current, previous map[netip.Addr]int
	// start is the beginning of the current window.
	start model.Instant
}

// advance moves the windows on.
func (c *callers) advance(now model.Instant) {
	switch passed := now.Sub(c.start); {
	case passed < callerWindow:
	case passed < 2*callerWindow:
		c.current, c.previous = c.previous, c.current
		clear(c.current)
		c.start = c.start.Add(callerWindow)
	default:
		c.clear()
		c.start = now
	}
}

// admitted records an admission.
func (c *callers) admitted(now model.Instant, caller netip.Addr) {
	c.advance(now)
	if c.current == nil {
		c.current = make(map[netip.Addr]int)
	}
	n, counted := c.current[caller]
	if counted || len(c.current) < maxCallers {
		c.current[caller] = n + 1
	}
}

// recent returns the estimated number of admissions in the last callerWindow.
func (c *callers) recent(now model.Instant, caller netip.Addr) int {
	c.advance(now)
	n := c.current[caller]
	if before := c.previous[caller]; before > 0 {
		left := 1 - now.Sub(c.start).Seconds()/callerWindow.Seconds()
		n += int(float64(before)*left + 0.5)
	}
	return n
}

// clear forgets all callers.
func (c *callers) clear() {
	clear(c.current)
	clear(c.previous)
}
