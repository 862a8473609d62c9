package direct

import (
	"time"

	"hawthorncourse/internal/core/health"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/place"
	"hawthorncourse/internal/core/roster"
)

const (
	// missesUpstream bars an upstream: one lost packet is ordinary, two in a row without a sign of life between them are not.
	missesUpstream = 2
	// missesDomain bars a failure domain: more than the upstreams that may die together in one.
	missesDomain = 4
)

// choose picks the upstream of a new flow; it returns nil when no upstream may take it.
func (e *Engine) choose(now model.Instant, r *route, f *flow) *roster.Upstream {
	target := place.Target(r.Targets, func(t model.Target) float64 { return t.Weight }, e.rng)
	if up := e.chooseOf(now, target.Service, f); up != nil {
		return up
	}
	for _, other := range r.Targets {
		if other.Service == target.Service {
			continue
		}
		if up := e.chooseOf(now, other.Service, f); up != nil {
			return up
		}
	}
	return nil
}

// chooseOf picks among the upstreams of one service: reachable warm ones, then cold ones within their limit, then any.
func (e *Engine) chooseOf(now model.Instant, service model.ServiceID, f *flow) *roster.Upstream {
	e.candidates = e.candidates[:0]
	var cold, doubted []*roster.Upstream
	for _, u := range e.roster.Of(service) {
		switch {
		case !e.roster.Usable(u) || f.wasTried(u):
		case u.Cold(now):
			if e.cold.admits(u) {
				cold = append(cold, u)
			}
		case !e.reachable(now, u, f):
			doubted = append(doubted, u)
		default:
			e.addCandidate(u)
		}
	}
	for _, more := range [][]*roster.Upstream{cold, doubted} {
		if len(e.candidates) > 0 {
			break
		}
		for _, u := range more {
			e.addCandidate(u)
		}
	}
	if len(e.candidates) == 0 {
		return e.again(now, service, f)
	}
	return e.candidates[e.policy.Pick(e.candidates, e.rng)].Value
}

// again returns an upstream that was tried before, for callers that repeat their opening packet.
func (e *Engine) again(now model.Instant, service model.ServiceID, f *flow) *roster.Upstream {
	for _, u := range f.tried {
		if u.Service == service && e.roster.Usable(u) && !u.Cold(now) {
			return u
		}
	}
	return nil
}

func (e *Engine) addCandidate(u *roster.Upstream) {
	e.candidates = append(e.candidates, place.Candidate[*roster.Upstream]{
		Value: u,
		Load:  &u.Load,
		Slots: u.Slots,
		Local: u.Domain == e.cfg.Domain,
	})
}

// reachable reports whether a new flow may go to the upstream; now and then a first try goes to a barred one.
func (e *Engine) reachable(now model.Instant, u *roster.Upstream, f *flow) bool {
	first := len(f.tried) == 0
	if d := e.domain(u.Domain); d.Misses() >= missesDomain {
		return first && d.Try(now)
	}
	if u.Health.Misses() >= missesUpstream {
		return first && u.Health.Try(now)
	}
	return true
}

// miss counts an unanswered packet against an upstream and its failure domain.
func (e *Engine) miss(u *roster.Upstream, sent model.Instant) {
	before := u.Health.Misses()
	u.Health.Miss(sent)
	if after := u.Health.Misses(); before < missesUpstream && after >= missesUpstream {
		e.note(Note{Kind: NoteUnreachable, Upstream: u, Misses: after})
	}
	d := e.domain(u.Domain)
	before = d.Misses()
	d.Miss(sent)
	if after := d.Misses(); before < missesDomain && after >= missesDomain {
		e.note(Note{Kind: NoteDomainUnreachable, Domain: u.Domain, Misses: after})
	}
}

// alive notes a sign of life of an upstream.
func (e *Engine) alive(now model.Instant, u *roster.Upstream) {
	if u.Health.Misses() >= missesUpstream {
		e.note(Note{Kind: NoteReachable, Upstream: u, Silent: u.Health.Silent(now)})
	}
	u.Health.Alive(now)
	d := e.domain(u.Domain)
	if d.Misses() >= missesDomain {
		e.note(Note{Kind: NoteDomainReachable, Domain: u.Domain, Silent: d.Silent(now)})
	}
	d.Alive(now)
}

func (e *Engine) domain(id model.DomainID) *health.Track {
	d := e.domains[id]
	if d == nil {
		d = &health.Track{}
		e.domains[id] = d
	}
	return d
}

// NoteKind says what a note is about.
type NoteKind uint8

// The kinds of notes.
const (
	NoteUnreachable NoteKind = iota + 1
	NoteReachable
	NoteDomainUnreachable
	NoteDomainReachable
)

// Note is one change of what the engine believes, for the log.
type Note struct {
	Kind     NoteKind
	Upstream *roster.Upstream
	Domain   model.DomainID
	// Misses is the number of unanswered packets that decided it.
	Misses int
	// Silent is how long there was no answer.
	Silent time.Duration
}

// notesLimit bounds the notes that wait for Notes.
const notesLimit = 1000

func (e *Engine) note(n Note) {
	if len(e.notes) < notesLimit {
		e.notes = append(e.notes, n)
	}
}

// Notes returns the changes since the last call.
func (e *Engine) Notes() []Note {
	notes := e.notes
	e.notes = nil
	return notes
}
