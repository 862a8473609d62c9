package soak

import (
	"sync"
	"time"
)

// storeComponent is the component name for faults of the store that affect all instances.
const storeComponent = "store"

// interval is the time of one fault, or of one period in which a failure domain is out of service; end is zero while it lasts.
type interval struct {
	start, end time.Time
}

// faultLog records the intervals in which a fault affected each component: an instance, an upstream or the store.
type faultLog struct {
	mu sync.Mutex
	// intervals is keyed by the component's name and guarded by mu. The key "pause " followed by an instance's name holds only the pauses of its
	// process.
	intervals map[string][]*interval
}

// begin records the start of a fault that affects the components; the returned function records its end.
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

// undisturbed reports whether no fault affected the component between two instants.
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

// boundsApply reports whether the time bounds apply to an instance at the instant: no fault affected it or the store within the stability window.
func (l *faultLog) boundsApply(instance string, at time.Time) bool {
	from := at.Add(-stabilityWindow)
	return l.undisturbed(instance, from, at) && l.undisturbed(storeComponent, from, at)
}

// links holds the faults of the network between components, for each direction as a pair of sender and receiver.
type links struct {
	mu sync.Mutex
	// All below is guarded by mu.
	// blockCounts counts the faults that block a direction at present, since several may overlap.
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

// block adds one fault that blocks the direction.
func (l *links) block(from, to string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.blockCounts[[2]string{from, to}]++
}

// unblock removes one fault that blocks the direction.
func (l *links) unblock(from, to string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.blockCounts[[2]string{from, to}]--
}

// setDelay sets the delay of the direction; zero for none.
func (l *links) setDelay(from, to string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delays[[2]string{from, to}] = d
}
