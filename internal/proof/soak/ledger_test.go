package soak

import (
	"sync"
	"time"
)

// storeComponent is the subject of faults that concern the store for everybody.
const storeComponent = "store"

// interval is the time of one fault; to is zero while it lasts.
type interval struct {
	start, end time.Time
}

// faultLog keeps when each party was harmed.
type faultLog struct {
	mu sync.Mutex
	// intervals is guarded by mu.
	intervals map[string][]*interval
}

// begin notes that a fault of the parties begins; the returned function notes its end.
func (l *faultLog) begin(components ...string) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var opened []*interval
	for _, c := range components {
		iv := &interval{start: time.Now()}
		l.intervals[c] = append(l.intervals[c], iv)
		opened = append(opened, iv)
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, iv := range opened {
			iv.end = time.Now()
		}
	}
}

// undisturbed reports whether nothing harmed the party between two instants.
func (l *faultLog) undisturbed(component string, from, to time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, iv := range l.intervals[component] {
		if iv.start.Before(to) && (iv.end.IsZero() || iv.end.After(from)) {
			return false
		}
	}
	return true
}

// boundsApply reports whether bounds hold for an instance at the instant: it and the store were calm for the stability window.
func (l *faultLog) boundsApply(instance string, at time.Time) bool {
	from := at.Add(-stabilityWindow)
	return l.undisturbed(instance, from, at) && l.undisturbed(storeComponent, from, at)
}

// links holds which parties cannot reach which, and how late bytes are between them.
type links struct {
	mu sync.Mutex
	// All below is guarded by mu; cuts counts the faults that block a direction.
	blockCounts map[[2]string]int
	delays      map[[2]string]time.Duration
}

// Blocked implements tunnel.Links.
func (l *links) Blocked(from, to string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.blockCounts[[2]string{from, to}] > 0
}

// Delay implements tunnel.Links.
func (l *links) Delay(from, to string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delays[[2]string{from, to}]
}

// block cuts one direction once more.
func (l *links) block(from, to string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.blockCounts[[2]string{from, to}]++
}

// unblock takes one cut back.
func (l *links) unblock(from, to string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.blockCounts[[2]string{from, to}]--
}

// setDelay sets how late bytes arrive; zero for on time.
func (l *links) setDelay(from, to string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delays[[2]string{from, to}] = d
}
