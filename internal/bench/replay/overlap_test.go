package replay

import (
	"container/heap"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/model"
)

// TestOverlappingEvents checks that of two overlapping events of a kind, the end of the first leaves the effect of the second in place, and that
// nothing is left after both.
func TestOverlappingEvents(t *testing.T) {
	const domain = "a"
	cases := map[string]struct {
		event  Event
		active func(*simulation) bool
	}{
		"slow":      {Event{Kind: EventSlow, Count: 1, Factor: 300}, func(s *simulation) bool { return s.upstreams[0].slowdowns.product() > 1 }},
		"burst":     {Event{Kind: EventBurst, Factor: 200}, func(s *simulation) bool { return s.bursts.product() > 1 }},
		"partition": {Event{Kind: EventPartition, Domain: domain}, func(s *simulation) bool { return !s.connected(domain, "b") }},
		"power":     {Event{Kind: EventPowerLoss}, func(s *simulation) bool { return s.instances[0].runningGeneration == 0 }},
		"out":       {Event{Kind: EventDomainOut, Domain: domain}, func(s *simulation) bool { return len(s.domainsOut) > 0 }},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := &Pattern{Duration: time.Minute, Domains: []string{domain}, Instances: 1, Upstreams: 1, Slots: 1, TimeFactors: []string{"1"}}
			s := newSimulation(Config{Pattern: p})
			s.populate()
			runUntil := func(d time.Duration) {
				for len(s.queue) > 0 && s.queue[0].at <= model.Instant(d) {
					next := heap.Pop(&s.queue).(task)
					s.now = next.at
					next.run()
				}
				s.now = model.Instant(d)
			}
			runUntil(time.Second)
			is.True(!tc.active(s))
			first, second := tc.event, tc.event
			first.Duration, second.Duration = 2*time.Second, 4*time.Second
			s.apply(first)
			runUntil(2 * time.Second)
			s.apply(second)
			runUntil(4 * time.Second)
			is.True(tc.active(s))
			runUntil(8 * time.Second)
			is.True(!tc.active(s))
		})
	}
}
