package engine

import (
	"slices"
	"time"

	"hawthorncourse/internal/core/model"
)

// Observation is what one instance tells another of an upstream.
type Observation struct {
	Upstream model.UpstreamID
	Boot     model.BootID
	// BootAge is how long ago the boot was first heard of.
	BootAge time.Duration
	// BootTimeInferred is set if the upstream may have started long before that.
	BootTimeInferred bool
	// ConfirmedAge is how long ago an answer proved the boot.
	ConfirmedAge time.Duration
	// Health is what the sender was last told by the upstream's endpoint.
	Health Health
}

// PeerUpdate is what one instance tells one peer.
type PeerUpdate struct {
	Peer         model.InstanceID
	Observations []Observation
}

// TakeUrgent reports, once, that peers should hear at once of a restarted upstream.
func (e *Engine) TakeUrgent() bool {
	urgent := e.urgent
	e.urgent = false
	return urgent
}

// PeerUpdates returns what peers should hear: the prober of an upstream tells its co-owners, and whoever notices a restart tells all owners.
func (e *Engine) PeerUpdates(now model.Instant) []PeerUpdate {
	byPeer := map[model.InstanceID]*PeerUpdate{}
	var order []*PeerUpdate
	for _, up := range e.upstreams {
		if !e.tells(up) {
			continue
		}
		up.told, up.owed = now, false
		for _, peer := range e.audience(up) {
			if peer == e.cfg.Self.ID {
				continue
			}
			l := byPeer[peer]
			if l == nil {
				l = &PeerUpdate{Peer: peer}
				byPeer[peer] = l
				order = append(order, l)
			}
			l.add(up.sighting(now))
		}
	}
	letters := make([]PeerUpdate, 0, len(order))
	for _, l := range order {
		letters = append(letters, *l)
	}
	return letters
}

// tells reports whether this instance has word of the upstream for its owners.
func (e *Engine) tells(up *upstream) bool {
	if up.boot == 0 || up.share == nil {
		return false
	}
	if up.restarted > up.told || up.owed {
		return true
	}
	return up.share.Primary() == e.cfg.Self.ID && up.heard > up.told
}

// audience returns who should hear of an upstream: the owners of its slots, and those that a stopping instance leaves them to.
func (e *Engine) audience(up *upstream) []model.InstanceID {
	if heirs := e.heirs.Allocation(up.cfg.ID); heirs != nil {
		return slices.Concat(up.share.Owners, heirs.Owners)
	}
	return up.share.Owners
}

func (l *PeerUpdate) add(s Observation) {
	if n := len(l.Observations); n > 0 && l.Observations[n-1].Upstream == s.Upstream {
		return
	}
	l.Observations = append(l.Observations, s)
}

func (u *upstream) sighting(now model.Instant) Observation {
	return Observation{
		Upstream:         u.cfg.ID,
		Boot:             u.boot,
		BootAge:          now.Sub(u.bootSeen),
		BootTimeInferred: u.guessed,
		ConfirmedAge:     now.Sub(u.heard),
		Health:           Health{Upstream: u.cfg.ID, Down: u.down, Draining: u.draining, Connections: u.reported},
	}
}

// ApplyPeerUpdate takes a peer's letter.
func (e *Engine) ApplyPeerUpdate(now model.Instant, l PeerUpdate) []model.Action {
	e.begin(now)
	for _, s := range l.Observations {
		if up := e.upstreams[s.Upstream]; up != nil {
			e.hearSighting(now, up, s)
		}
	}
	return e.actions
}

func (e *Engine) hearSighting(now model.Instant, up *upstream, s Observation) {
	heard, seen := now.Add(-s.ConfirmedAge), now.Add(-s.BootAge)
	if up.share != nil && up.share.Primary() != e.cfg.Self.ID {
		e.SetHealth(now, s.Health)
	}
	switch {
	case s.Boot == up.boot:
		up.heard = max(up.heard, heard)
		up.guessed = up.guessed && s.BootTimeInferred
		if seen < up.bootSeen {
			up.bootSeen = seen
			up.coldUntil = min(up.coldUntil, seen.Add(up.cfg.ColdFor))
		}
	case up.boot == 0:
		up.restart(now, s.Boot)
		up.bootSeen, up.heard, up.guessed = seen, heard, s.BootTimeInferred
		up.coldUntil = seen.Add(up.cfg.ColdFor)
	case heard > up.heard && up.hear(now, s.Boot):
		up.heard = heard
		e.urgent = true
	}
	if up.parked.Len() > 0 && !up.unsure(now, e.doc.Timing.WarmLease) {
		e.unpark(now, up)
	}
}

// Health is one report of an upstream's health and load endpoint.
type Health struct {
	Upstream model.UpstreamID
	// Down is set when the endpoint did not answer.
	Down bool
	// Draining and Cold are the upstream's own words.
	Draining, Cold bool
	// Connections is its number of open streams.
	Connections int
}

// coldEcho is how long one report of a cold start counts.
const coldEcho = 2 * time.Second

// SetHealth takes a health report, which only lowers what the upstream gets.
func (e *Engine) SetHealth(now model.Instant, h Health) {
	up := e.upstreams[h.Upstream]
	if up == nil {
		return
	}
	up.suspect = up.suspect || h.Down
	up.down, up.draining, up.reported = h.Down, h.Draining, h.Connections
	if h.Cold {
		up.coldUntil = max(up.coldUntil, now.Add(coldEcho))
	}
}

// HealthCheckTargets returns the upstreams whose health this instance asks for, as their prober.
func (e *Engine) HealthCheckTargets() []model.Upstream {
	var out []model.Upstream
	for _, up := range e.upstreams {
		if up.share != nil && up.share.Primary() == e.cfg.Self.ID && up.cfg.Health.IsValid() {
			out = append(out, *up.cfg)
		}
	}
	return out
}
