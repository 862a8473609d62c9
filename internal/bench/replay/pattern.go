// Package replay simulates load patterns against the decision engine for direct flows.
//
// It is a discrete-event simulation in virtual time: it opens no sockets, reads no clock and gives the same result for the same seed.
package replay

import (
	"embed"
	"fmt"
	"io/fs"
	"path"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"hawthorncourse/internal/conf/reader"
)

// Pattern describes a load and the faults and changes that occur during it.
type Pattern struct {
	// Name is the file name without its extension.
	Name string
	// Note describes the pattern for readers.
	Note string
	// Duration is how long callers start new requests.
	Duration time.Duration
	// Domains lists the failure domains. Each has the same number of callers, instances and upstreams.
	Domains []string
	// Instances, Upstreams and Users are counts per failure domain. Each user sends its requests on one long-lived flow.
	Instances int
	Upstreams int
	Users     int
	// Slots is the number of requests that an upstream executes concurrently.
	Slots int
	// QueueLimit is the queue length of an upstream; further requests are rejected without being executed.
	QueueLimit int
	// TimeFactors holds multipliers of the request time as decimal numbers, assigned to upstreams in turn. At least one is required; a text
	// that is not a number counts as 1.
	TimeFactors []string
	// ThinkTime is the mean pause of a user between two requests.
	ThinkTime time.Duration
	// BookingRate is the number of bookings per second in each failure domain. A booking opens its own flow and must run at most once.
	BookingRate int
	// RequestTime is the mean execution time of a request.
	RequestTime time.Duration
	// LatencyTarget is the latency objective of a request, measured from its first attempt.
	LatencyTarget time.Duration
	// Deadline is the time after which a caller abandons a request.
	Deadline time.Duration
	// Events lists the faults and changes, in any order.
	Events []Event
}

// Event is a fault or change during a pattern.
type Event struct {
	// At is the start time, from the start of the pattern.
	At time.Duration
	// Duration is how long the event lasts. EventCrash and EventReplace are permanent and ignore it.
	Duration time.Duration
	Kind     EventKind
	// Domain is the failure domain of the event. Events that affect upstreams pick from all domains if it is empty; EventPowerLoss and
	// EventBurst ignore it.
	Domain string
	// Count is the number of affected upstreams, for events that affect upstreams.
	Count int
	// Factor is the multiplier of EventSlow and EventBurst in percent, for which it is required; 200 doubles the value.
	Factor int
}

// EventKind is the type of an event.
type EventKind string

// The kinds of events.
const (
	// EventCrash stops upstreams permanently; their registrations expire after three missed heartbeats.
	EventCrash EventKind = "die"
	// EventSlow multiplies the request time of upstreams by Factor percent.
	EventSlow EventKind = "slow"
	// EventPartition disconnects the instances and upstreams of a failure domain from the other domains and from the store.
	EventPartition EventKind = "cut"
	// EventPowerLoss stops all instances and restarts them after Duration.
	EventPowerLoss EventKind = "power"
	// EventBurst multiplies the request rate by Factor percent.
	EventBurst EventKind = "burst"
	// EventReplace replaces upstreams one by one: a cold upstream starts, the old one drains and stops.
	EventReplace EventKind = "replace"
	// EventDomainOut marks a failure domain as taken out by operators.
	EventDomainOut EventKind = "out"
)

var eventKinds = []EventKind{EventCrash, EventSlow, EventPartition, EventPowerLoss, EventBurst, EventReplace, EventDomainOut}

//go:embed testdata/*.json
var patternFiles embed.FS

// Patterns returns the built-in patterns, sorted by name.
func Patterns() (list []*Pattern, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "read patterns")
		}
	}()
	names, err := fs.Glob(patternFiles, "testdata/*.json")
	if err != nil {
		return nil, err
	}
	for _, name := range names {
		text, err := patternFiles.ReadFile(name)
		if err != nil {
			return nil, err
		}
		p, err := ParsePattern(strings.TrimSuffix(path.Base(name), ".json"), text)
		if err != nil {
			return nil, err
		}
		list = append(list, p)
	}
	return list, nil
}

// Load returns the built-in pattern with the given name.
func Load(name string) (*Pattern, error) {
	list, err := Patterns()
	if err != nil {
		return nil, err
	}
	for _, p := range list {
		if p.Name == name {
			return p, nil
		}
	}
	return nil, eris.Errorf("unknown pattern %q", name)
}

// Limits of the numbers and durations in a pattern.
const (
	maxCount    = 10_000
	maxDuration = time.Hour
)

// ParsePattern parses a pattern in JSON. The error lists every fault with its line.
func ParsePattern(name string, text []byte) (*Pattern, error) {
	p := &Pattern{Name: name}
	errs := reader.Read(text, reader.Schema{
		"note":      reader.Text(&p.Note),
		"length":    reader.Duration(&p.Duration, time.Second, maxDuration),
		"domains":   textList(&p.Domains),
		"instances": reader.Number(&p.Instances, 1, maxCount),
		"upstreams": reader.Number(&p.Upstreams, 1, maxCount),
		"users":     reader.Number(&p.Users, 0, maxCount),
		"slots":     reader.Number(&p.Slots, 1, maxCount),
		"queue":     reader.Number(&p.QueueLimit, 0, maxCount),
		"speeds":    textList(&p.TimeFactors),
		"think":     reader.Duration(&p.ThinkTime, time.Millisecond, maxDuration),
		"bookings":  reader.Number(&p.BookingRate, 0, maxCount),
		"work":      reader.Duration(&p.RequestTime, time.Millisecond, maxDuration),
		"aim":       reader.Duration(&p.LatencyTarget, time.Millisecond, maxDuration),
		"deadline":  reader.Duration(&p.Deadline, time.Millisecond, maxDuration),
		"events": func(f reader.Field) {
			f.Array(func(f reader.Field) { p.Events = append(p.Events, readEvent(f)) })
		},
	})
	if len(errs) > 0 {
		return p, errs
	}
	return p, p.checkComplete()
}

// checkComplete returns an error if a required list is empty or an event lacks its factor.
func (p *Pattern) checkComplete() error {
	var errs reader.Faults
	for field, empty := range map[string]bool{"domains": len(p.Domains) == 0, "speeds": len(p.TimeFactors) == 0} {
		if empty {
			errs = append(errs, reader.Fault{Line: 1, Field: field, Reason: "must have at least one entry"})
		}
	}
	for n, e := range p.Events {
		if e.Factor == 0 && (e.Kind == EventSlow || e.Kind == EventBurst) {
			errs = append(errs, reader.Fault{Line: 1, Field: fmt.Sprintf("events[%d].factor", n), Reason: "is required for this kind of event"})
		}
	}
	slices.SortFunc(errs, func(a, b reader.Fault) int { return strings.Compare(a.Field, b.Field) })
	return errs.Err()
}

// textList returns a schema function that appends the strings of an array to dst.
func textList(dst *[]string) func(reader.Field) {
	return func(f reader.Field) {
		f.Array(func(f reader.Field) {
			var text string
			reader.Text(&text)(f)
			*dst = append(*dst, text)
		})
	}
}

// readEvent reads an event and reports a fault if its kind is unknown.
func readEvent(f reader.Field) (e Event) {
	f.Object(reader.Schema{
		"at":     reader.Duration(&e.At, 0, maxDuration),
		"for":    reader.Duration(&e.Duration, 0, maxDuration),
		"kind":   reader.Text(&e.Kind),
		"domain": reader.Text(&e.Domain),
		"count":  reader.Number(&e.Count, 0, maxCount),
		"factor": reader.Number(&e.Factor, 1, maxCount),
	})
	if !slices.Contains(eventKinds, e.Kind) {
		f.Fault("unknown kind %q", e.Kind)
	}
	return e
}
