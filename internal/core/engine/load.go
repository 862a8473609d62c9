package engine

import (
	"hawthorncourse/internal/core/model"
)

// Load is how busy one instance's slots of one service are.
type Load struct {
	Service model.ServiceID
	// Utilisation is the share of the owned slots that was lately in use; what waits counts too.
	Utilisation float64
}

type loadKey struct {
	peer    model.InstanceID
	service model.ServiceID
}

// Loads returns how busy the slots of each service are here.
func (e *Engine) Loads(now model.Instant) []Load {
	var out []Load
	for _, s := range e.services {
		if s.mine > 0 {
			out = append(out, Load{Service: s.cfg.ID, Utilisation: s.busy.read(now)})
		}
	}
	return out
}

// SetPeerLoads takes what a peer says of how busy it is.
func (e *Engine) SetPeerLoads(from model.InstanceID, loads []Load) {
	for _, l := range loads {
		e.loads[loadKey{peer: from, service: l.Service}] = l.Utilisation
	}
}

// busyAt returns how busy an instance is with a service by all that is known here.
func (e *Engine) busyAt(now model.Instant, s *service, id model.InstanceID) float64 {
	if id == e.cfg.Self.ID {
		return s.busy.read(now)
	}
	return e.loads[loadKey{peer: id, service: s.cfg.ID}]
}

// markLoads follows how busy the slots of each service are.
func (e *Engine) markLoads(now model.Instant) {
	for _, s := range e.services {
		s.busy.set(now, float64(s.running())/float64(max(s.mine, 1)))
	}
}

// keepSlack is how much busier than its neighbours an instance may be and still keep new work.
const keepSlack = 1.1

// idle reports whether this instance is no busier with the service than its neighbours on average.
func (e *Engine) idle(now model.Instant, s *service) bool {
	if len(s.neighbours) == 0 {
		return true
	}
	sum := 0.0
	for _, id := range s.neighbours {
		sum += e.busyAt(now, s, id)
	}
	return s.busy.read(now) <= keepSlack*sum/float64(len(s.neighbours))
}
