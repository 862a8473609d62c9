// Package replay plays load patterns against the decisions of direct flows in virtual time: no sockets, no clock, the same result for the same seed.
package replay

import (
	"embed"
	"io/fs"
	"path"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"hawthorncourse/internal/conf/reader"
)

// Pattern is one load with what happens during it.
type Pattern struct {
	// Name is that of the file.
	Name string
	// Note says what the pattern stands for.
	Note string
	// Duration is how long callers ask.
	Duration time.Duration
	// Domains holds the failure domains; callers, instances and upstreams are in them in equal parts.
	Domains []string
	// Instances, Upstreams and Users are numbers in each failure domain.
	Instances int
	Upstreams int
	Users     int
	// Slots is the number of requests that one upstream works on at once.
	Slots int
	// QueueLimit is the number of requests that wait at one upstream; more are rejected as not run.
	QueueLimit int
	// TimeFactors holds factors of working time that upstreams have in turn.
	TimeFactors []string
	// ThinkTime is the mean pause of a user between two requests on its long flow.
	ThinkTime time.Duration
	// BookingRate is the number of requests a second, in each domain, that open a flow each and run at most once.
	BookingRate int
	// RequestTime is the mean working time of a request.
	RequestTime time.Duration
	// LatencyTarget is the latency objective of a request, from its first try.
	LatencyTarget time.Duration
	// Deadline is when a caller gives a request up.
	Deadline time.Duration
	// Events is what happens, in any order.
	Events []Event
}

// Event is one thing that happens.
type Event struct {
	// At is when it begins.
	At time.Duration
	// Duration is how long it lasts; zero for good.
	Duration time.Duration
	Kind     EventKind
	// Domain is where; empty for everywhere.
	Domain string
	// Count is how many upstreams, where it concerns upstreams.
	Count int
	// Factor is how strong, where it has a strength, in percent.
	Factor int
}

// EventKind says what happens.
type EventKind string

// The kinds of events.
const (
	// EventCrash silences upstreams for good; their entries vanish three heartbeats later.
	EventCrash EventKind = "die"
	// EventSlow makes upstreams slower by Factor percent.
	EventSlow EventKind = "slow"
	// EventPartition cuts a failure domain's instances and upstreams from the others.
	EventPartition EventKind = "cut"
	// EventPowerLoss takes all instances down.
	EventPowerLoss EventKind = "power"
	// EventBurst multiplies the load by Factor percent.
	EventBurst EventKind = "burst"
	// EventReplace replaces upstreams one by one: a cold one begins, the old one drains and ends.
	EventReplace EventKind = "replace"
	// EventDomainOut takes a failure domain out by the operators' word.
	EventDomainOut EventKind = "out"
)

var eventKinds = []EventKind{EventCrash, EventSlow, EventPartition, EventPowerLoss, EventBurst, EventReplace, EventDomainOut}

//go:embed testdata/*.json
var patternFiles embed.FS

// Patterns returns the recorded patterns, by name.
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

// Load returns the recorded pattern of the name.
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
	return nil, eris.Errorf("there is no pattern %q", name)
}

const (
	maxCount    = 10_000
	maxDuration = time.Hour
)

// ParsePattern reads a pattern; the error holds every fault with its line.
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
	return p, errs.Err()
}

func textList(dst *[]string) func(reader.Field) {
	return func(f reader.Field) {
		f.Array(func(f reader.Field) {
			var text string
			reader.Text(&text)(f)
			*dst = append(*dst, text)
		})
	}
}

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
		f.Fault("kind %q is not known", e.Kind)
	}
	return e
}
