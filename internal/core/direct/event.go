package direct

import (
	"time"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

// EventKind is the type of an Event.
type EventKind uint8

// The kinds of events.
const (
	// EventUpstreamEjected means that an upstream does not respond and gets no new flows for now.
	EventUpstreamEjected EventKind = iota + 1
	// EventUpstreamReachable means that an ejected upstream responds and gets new flows again.
	EventUpstreamReachable
	// EventUpstreamFull means that an upstream is at its limit of connections: it serves its open flows, but gets no new ones for now.
	EventUpstreamFull
	// EventDomainPartitioned means that probes of several upstreams of a failure domain have failed and none of its upstreams responds: the
	// domain is considered partitioned from this instance and gets no new flows for now.
	EventDomainPartitioned
	EventDomainReachable
)

var eventNames = map[EventKind]string{
	EventUpstreamEjected:   "upstream_barred",
	EventUpstreamReachable: "upstream_reachable",
	EventUpstreamFull:      "upstream_full",
	EventDomainPartitioned: "domain_cut",
	EventDomainReachable:   "domain_reachable",
}

// String returns the name of the kind as logged.
func (k EventKind) String() string {
	return eventNames[k]
}

// Event is one change in the reachability of an upstream or a failure domain, for the log; either Upstream or Domain is set.
type Event struct {
	Kind     EventKind
	Upstream *roster.Upstream
	Domain   model.DomainID
	// UnansweredFor is how long packets to the upstream went unanswered; set for EventUpstreamReachable if a flow showed the recovery, zero
	// if a probe did.
	UnansweredFor time.Duration
}

// eventLimit bounds the events held for TakeEvents; later ones are dropped.
const eventLimit = 1000

func (e *Engine) addEvent(event Event) {
	if len(e.events) < eventLimit {
		e.events = append(e.events, event)
	}
}

// TakeEvents returns the events since the last call.
func (e *Engine) TakeEvents() []Event {
	events := e.events
	e.events = nil
	return events
}
