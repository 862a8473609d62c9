package engine

import (
	"hawthorncourse/internal/core/model"
)

// Load is the utilisation of the slots that one instance owns of one service.
type Load struct {
	Service model.ServiceID
	// Utilisation is the recent mean of running and queued requests per owned slot.
	Utilisation float64
}

type loadKey struct {
	peer    model.InstanceID
	service model.ServiceID
}

// Loads returns this instance's utilisation for each service of which it owns slots.
func (e *Engine) Loads(now model.Instant) []Load {
	var out []Load
	for _, s := range e.services {
		if s.ownedSlots > 0 {
			out = append(out, Load{Service: s.cfg.ID, Utilisation: s.utilisation.read(now)})
		}
	}
	return out
}

// SetPeerLoads stores the utilisation that a peer reports.
func (e *Engine) SetPeerLoads(from model.InstanceID, loads []Load) {
	for _, l := range loads {
		e.peerLoads[loadKey{peer: from, service: l.Service}] = l.Utilisation
	}
}

// utilisationOf returns the last known utilisation of an instance for a service; zero if it has reported none.
func (e *Engine) utilisationOf(now model.Instant, s *service, id model.InstanceID) float64 {
	if id == e.cfg.Self.ID {
		return s.utilisation.read(now)
	}
	return e.peerLoads[loadKey{peer: id, service: s.cfg.ID}]
}

// updateUtilisation records the utilisation of each service's slots.
func (e *Engine) updateUtilisation(now model.Instant) {
	for _, s := range e.services {
		s.utilisation.set(now, float64(s.running())/float64(max(s.ownedSlots, 1)))
	}
}

// neighbourLoadSlack is the factor by which an instance's utilisation may exceed its neighbours' mean before it
// hands new requests off to them.
const neighbourLoadSlack = 1.1

// withinNeighbourLoad reports whether this instance's utilisation for the service is within neighbourLoadSlack of its neighbours' mean.
func (e *Engine) withinNeighbourLoad(now model.Instant, s *service) bool {
	if len(s.neighbours) == 0 {
		return true
	}
	sum := 0.0
	for _, id := range s.neighbours {
		sum += e.utilisationOf(now, s, id)
	}
	return s.utilisation.read(now) <= neighbourLoadSlack*sum/float64(len(s.neighbours))
}
