package direct

import (
	"time"

	"hawthorncourse/internal/core/health"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

const (
	// doubtsLimit bounds the upstreams in one word of doubt; more that fail at once are those of a failure domain.
	doubtsLimit = 16
	// doubtLife is how long word of an upstream is not passed on again: by then it answers, or everybody has barred it.
	doubtLife = 2 * time.Second
)

// doubts collects what this instance found silent by itself.
type doubts struct {
	next model.Suspicion
	// spread is when each upstream and failure domain was last told or heard of; older ones are removed by tick.
	upstreams map[model.UpstreamID]model.Instant
	domains   map[model.DomainID]model.Instant
}

func newDoubts() doubts {
	return doubts{upstreams: map[model.UpstreamID]model.Instant{}, domains: map[model.DomainID]model.Instant{}}
}

// TakeSuspicion returns what others of the failure domain should look at, since the last call.
func (e *Engine) TakeSuspicion() model.Suspicion {
	d := e.doubts.next
	e.doubts.next = model.Suspicion{}
	return d
}

// upstream notes an upstream that a probe found silent.
func (d *doubts) upstream(now model.Instant, id model.UpstreamID) {
	if _, known := d.upstreams[id]; known || len(d.next.Upstreams) >= doubtsLimit {
		return
	}
	d.upstreams[id] = now
	d.next.Upstreams = append(d.next.Upstreams, id)
}

// domain notes a failure domain that was found silent.
func (d *doubts) domain(now model.Instant, id model.DomainID) {
	if _, known := d.domains[id]; known {
		return
	}
	d.domains[id] = now
	d.next.Domains = append(d.next.Domains, id)
}

func (d *doubts) tick(now model.Instant) {
	expire(d.upstreams, now)
	expire(d.domains, now)
}

// expire removes what is older than a word of doubt lives.
func expire[K comparable](at map[K]model.Instant, now model.Instant) {
	for k, since := range at {
		if now.Sub(since) >= doubtLife {
			delete(at, k)
		}
	}
}

// HandleSuspicion takes another instance's word: it proves nothing, but lets this instance probe at once what it would have missed only with its
// next flows. The actions are valid until the next call.
func (e *Engine) HandleSuspicion(now model.Instant, d model.Suspicion) []Action {
	e.actions = e.actions[:0]
	if e.cfg.Disabled.Suspicions || e.cfg.Disabled.Probes {
		return nil
	}
	for _, id := range d.Domains {
		e.doubts.domains[id] = now
		e.doubt(now, id)
	}
	for _, id := range d.Upstreams {
		e.doubts.upstreams[id] = now
		if u := e.roster.Get(id); u != nil {
			u.Health.MarkSuspect(now)
			e.probe(now, u)
		}
	}
	return e.actions
}

// tellSilent lets others know of an upstream that a probe found silent, and of its failure domain if that is silent as a whole.
func (e *Engine) tellSilent(now model.Instant, u *roster.Upstream, d *health.DomainTracker) {
	if d.Partitioned() {
		e.doubts.domain(now, u.Domain)
		return
	}
	e.doubts.upstream(now, u.ID)
}
