package direct

import (
	"time"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

// EventKind says what a note is about.
type EventKind uint8

// The kinds of notes.
const (
	// EventUpstreamEjected is an upstream that gets no new flows for now.
	EventUpstreamEjected EventKind = iota + 1
	EventUpstreamReachable
	// EventDomainPartitioned is a failure domain that gets no new flows for now.
	EventDomainPartitioned
	EventDomainReachable
)

var noteNames = map[EventKind]string{
	EventUpstreamEjected:   "upstream_barred",
	EventUpstreamReachable: "upstream_reachable",
	EventDomainPartitioned: "domain_cut",
	EventDomainReachable:   "domain_reachable",
}

// String returns the kind's name.
func (k EventKind) String() string {
	return noteNames[k]
}

// Event is one change of what the engine believes, for the log.
type Event struct {
	Kind     EventKind
	Upstream *roster.Upstream
	Domain   model.DomainID
	// UnansweredFor is how long there was no answer.
	UnansweredFor time.Duration
}

// notesLimit bounds the notes that wait for Notes.
const notesLimit = 1000

func (e *Engine) note(n Event) {
	if len(e.notes) < notesLimit {
		e.notes = append(e.notes, n)
	}
}

// TakeEvents returns the changes since the last call.
func (e *Engine) TakeEvents() []Event {
	notes := e.notes
	e.notes = nil
	return notes
}
