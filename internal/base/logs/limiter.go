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

// lineCounts counts the lines of one kind.
type lineCounts struct {
	// windowStart is the start of the window in which the lines in written were counted.
	windowStart time.Duration
	written     int
	// suppressed counts the lines since the last call of NextWindow that reported any.
	suppressed int
}

// Suppressed is the number of suppressed lines of one kind in a window.
type Suppressed struct {
	Kind  string
	Lines int
}

// Allow reports whether a line of the kind may be written now, and counts it. The time is a reading of any monotonic clock. The limit holds in
// each window of a kind, however late NextWindow is called.
func (l *Limiter) Allow(now time.Duration, kind string) bool {
	if l.kinds == nil {
		l.kinds = map[string]*lineCounts{}
	}
	counts := l.kinds[kind]
	if counts == nil {
		counts = &lineCounts{windowStart: now}
		l.kinds[kind] = counts
	}
	if now-counts.windowStart >= limiterWindow {
		counts.windowStart, counts.written = now, 0
	}
	if counts.written >= l.Limit {
		counts.suppressed++
		return false
	}
	counts.written++
	return true
}

// NextWindow returns the lines that were suppressed since it last did so, sorted by kind, at most once in a window.
func (l *Limiter) NextWindow(now time.Duration) []Suppressed {
	if now-l.windowStart < limiterWindow {
		return nil
	}
	l.windowStart = now
	var out []Suppressed
	for _, kind := range slices.Sorted(maps.Keys(l.kinds)) {
		if n := l.kinds[kind].suppressed; n > 0 {
			out = append(out, Suppressed{Kind: kind, Lines: n})
			l.kinds[kind].suppressed = 0
		}
	}
	return out
}
