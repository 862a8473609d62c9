package direct

import (
	"time"

	"hawthorncourse/internal/core/health"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

const (
	// suspicionLimit bounds the upstreams in one report; if more fail together, their whole failure domain is affected.
	suspicionLimit = 16
	// suspicionTTL is how long a target is not reported again: by then it answers, or every instance has ejected it.
	suspicionTTL = 2 * time.Second
)

// suspicions collects the targets that failed this instance's own probes and that other instances should probe.
type suspicions struct {
	pending model.Suspicion
	// recentUpstreams and recentDomains hold when each target was last reported or received; expire removes those older than
	// suspicionTTL.
	recentUpstreams map[model.UpstreamID]model.Instant
	recentDomains   map[model.DomainID]model.Instant
}

func newSuspicions() suspicions {
	return suspicions{recentUpstreams: map[model.UpstreamID]model.Instant{}, recentDomains: map[model.DomainID]model.Instant{}}
}

// TakeSuspicion returns the targets found unreachable since the last call, for other instances of the failure domain to probe.
func (e *Engine) TakeSuspicion() model.Suspicion {
	pending := e.suspicions.pending
	e.suspicions.pending = model.Suspicion{}
	return pending
}

// addUpstream adds an upstream that failed a probe, unless it was reported recently.
func (s *suspicions) addUpstream(now model.Instant, id model.UpstreamID) {
	if _, known := s.recentUpstreams[id]; known || len(s.pending.Upstreams) >= suspicionLimit {
		return
	}
	s.recentUpstreams[id] = now
	s.pending.Upstreams = append(s.pending.Upstreams, id)
}

// addDomain adds a failure domain that is partitioned, unless it was reported recently.
func (s *suspicions) addDomain(now model.Instant, id model.DomainID) {
	if _, known := s.recentDomains[id]; known {
		return
	}
	s.recentDomains[id] = now
	s.pending.Domains = append(s.pending.Domains, id)
}

func (s *suspicions) expire(now model.Instant) {
	deleteExpired(s.recentUpstreams, now)
	deleteExpired(s.recentDomains, now)
}

// deleteExpired removes targets that were last reported suspicionTTL ago or earlier.
func deleteExpired[K comparable](reported map[K]model.Instant, now model.Instant) {
	for k, at := range reported {
		if now.Sub(at) >= suspicionTTL {
			delete(reported, k)
		}
	}
}

// HandleSuspicion probes the targets that another instance reported, which this one would otherwise check only after its own flows time
// out. A report alone ejects no upstream. The actions are valid until the next call.
func (e *Engine) HandleSuspicion(now model.Instant, s model.Suspicion) []Action {
	e.actions = e.actions[:0]
	if e.cfg.Disabled.Suspicions || e.cfg.Disabled.Probes {
		return nil
	}
	for _, id := range s.Domains {
		e.suspicions.recentDomains[id] = now
		e.suspectDomain(now, id)
	}
	for _, id := range s.Upstreams {
		e.suspicions.recentUpstreams[id] = now
		if u := e.roster.Get(id); u != nil {
			u.Health.MarkSuspect(now)
			e.startProbe(now, u)
		}
	}
	return e.actions
}

// reportUnreachable queues a failed upstream for other instances, or its failure domain if that is partitioned.
func (e *Engine) reportUnreachable(now model.Instant, u *roster.Upstream, d *health.DomainTracker) {
	if d.Partitioned() {
		e.suspicions.addDomain(now, u.Domain)
		return
	}
	e.suspicions.addUpstream(now, u.ID)
}
