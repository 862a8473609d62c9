package logs

import (
	"maps"
	"slices"
	"time"
)

// budgetWindow is the span that a budget counts in.
const budgetWindow = time.Second

// Limiter bounds the lines of each kind in a second and counts the rest; it is not safe for concurrent use.
type Limiter struct {
	// Limit is the most lines of one kind in a second.
	Limit int
	began time.Duration
	kinds map[string]*spent
}

type spent struct {
	written, left int
}

// Suppressed is how many lines of one kind were left out.
type Suppressed struct {
	Kind  string
	Lines int
}

// Allow reports whether a line of the kind may be written now, on any clock that only goes forward.
func (b *Limiter) Allow(now time.Duration, kind string) bool {
	if b.kinds == nil {
		b.kinds = map[string]*spent{}
	}
	s := b.kinds[kind]
	if s == nil {
		s = &spent{}
		b.kinds[kind] = s
	}
	if now-b.began < budgetWindow && s.written >= b.Limit {
		s.left++
		return false
	}
	s.written++
	return true
}

// NextWindow begins a new window when the last is over; it returns what was left out of it, by kind.
func (b *Limiter) NextWindow(now time.Duration) []Suppressed {
	if now-b.began < budgetWindow {
		return nil
	}
	b.began = now
	var out []Suppressed
	for _, kind := range slices.Sorted(maps.Keys(b.kinds)) {
		if n := b.kinds[kind].left; n > 0 {
			out = append(out, Suppressed{Kind: kind, Lines: n})
		}
		*b.kinds[kind] = spent{}
	}
	return out
}
