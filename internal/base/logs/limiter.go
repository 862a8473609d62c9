package logs

import (
	"maps"
	"slices"
	"time"
)

// limiterWindow is the length of the window in which a Limiter counts lines.
const limiterWindow = time.Second

// Limiter limits the number of log lines per second and kind, and counts the suppressed lines. It is not safe for concurrent use.
type Limiter struct {
	// Limit is the maximum number of lines of one kind per second.
	Limit       int
	windowStart time.Duration
	kinds       map[string]*lineCounts
}

// lineCounts holds the numbers of lines of one kind in the current window.
type lineCounts struct {
	written, suppressed int
}

// Suppressed is the number of suppressed lines of one kind in a window.
type Suppressed struct {
	Kind  string
	Lines int
}

// Allow reports whether a line of the kind may be written now, and counts it. The time is a reading of any monotonic clock. Once the window is
// over, all lines are allowed until NextWindow starts the next one.
func (l *Limiter) Allow(now time.Duration, kind string) bool {
	if l.kinds == nil {
		l.kinds = map[string]*lineCounts{}
	}
	counts := l.kinds[kind]
	if counts == nil {
		counts = &lineCounts{}
		l.kinds[kind] = counts
	}
	if now-l.windowStart < limiterWindow && counts.written >= l.Limit {
		counts.suppressed++
		return false
	}
	counts.written++
	return true
}

// NextWindow starts a new window if the current one is over, and returns the lines that were suppressed in the old one, sorted by kind.
func (l *Limiter) NextWindow(now time.Duration) []Suppressed {
	if now-l.windowStart < limiterWindow {
		return nil
	}
	l.windowStart = now
	var out []Suppressed
	for _, kind := range slices.Sorted(maps.Keys(l.kinds)) {
		if n := l.kinds[kind].suppressed; n > 0 {
			out = append(out, Suppressed{Kind: kind, Lines: n})
		}
		*l.kinds[kind] = lineCounts{}
	}
	return out
}
