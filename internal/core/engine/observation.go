package engine

import (
	"slices"
	"time"

	"hawthorncourse/internal/core/model"
)

// Observation is what one instance knows of an upstream, as reported to a peer.
type Observation struct {
	Upstream model.UpstreamID
	Boot     model.BootID
	// BootAge is the time since any instance first observed the boot.
	BootAge time.Duration
	// BootTimeInferred is set if the boot is only known from the upstream's answers, so that the upstream may have started long before.
	BootTimeInferred bool
	// ConfirmedAge is the time since an answer last confirmed the boot.
	ConfirmedAge time.Duration
	// Health is the sender's last report of the upstream's health endpoint.
	Health Health
}

// PeerUpdate holds the observations for one peer.
type PeerUpdate struct {
	Peer         model.InstanceID
	Observations []Observation
}

// TakeUrgent reports whether PeerUpdates should be sent immediately, because an upstream restarted or got another primary, and resets this
// state.
func (e *Engine) TakeUrgent() bool {
	urgent := e.updateUrgent
	e.updateUrgent = false
	return urgent
}

// PeerUpdates returns the updates that are due: the primary of an upstream reports confirmed boots to the other owners of its slots, and any
// instance that notices a restart reports it to all owners.
func (e *Engine) PeerUpdates(now model.Instant) []PeerUpdate {
	byPeer := map[model.InstanceID]*PeerUpdate{}
	var order []*PeerUpdate
	for _, up := range e.upstreams {
		if !e.hasUpdate(up) {
			continue
		}
		up.updateSentAt, up.updateDue = now, false
		for _, peer := range e.updateRecipients(up) {
			if peer == e.cfg.Self.ID {
				continue
			}
			update := byPeer[peer]
			if update == nil {
				update = &PeerUpdate{Peer: peer}
				byPeer[peer] = update
				order = append(order, update)
			}
			update.add(up.observation(now))
		}
	}
	updates := make([]PeerUpdate, 0, len(order))
	for _, update := range order {
		updates = append(updates, *update)
	}
	return updates
}

// hasUpdate reports whether this instance has an observation of the upstream that its owners have not been sent.
func (e *Engine) hasUpdate(up *upstream) bool {
	if up.boot == 0 || up.allocation == nil {
		return false
	}
	if up.restartedAt > up.updateSentAt || up.updateDue {
		return true
	}
	return up.allocation.Primary() == e.cfg.Self.ID && up.confirmedAt > up.updateSentAt
}

// updateRecipients returns the owners of the upstream's slots and, if this instance is shutting down, their successors.
func (e *Engine) updateRecipients(up *upstream) []model.InstanceID {
	if successors := e.successors.Allocation(up.cfg.ID); successors != nil {
		return slices.Concat(up.allocation.Owners, successors.Owners)
	}
	return up.allocation.Owners
}

// add appends an observation unless the last one is of the same upstream: a peer may own several slots of one upstream.
func (u *PeerUpdate) add(o Observation) {
	if n := len(u.Observations); n > 0 && u.Observations[n-1].Upstream == o.Upstream {
		return
	}
	u.Observations = append(u.Observations, o)
}

func (u *upstream) observation(now model.Instant) Observation {
	return Observation{
		Upstream:         u.cfg.ID,
		Boot:             u.boot,
		BootAge:          now.Sub(u.bootObservedAt),
		BootTimeInferred: u.bootTimeInferred,
		ConfirmedAge:     now.Sub(u.confirmedAt),
		Health:           Health{Upstream: u.cfg.ID, Down: u.down, Draining: u.draining, Connections: u.reportedStreams},
	}
}

// ApplyPeerUpdate merges the observations of a peer. The returned actions are valid until the next call.
func (e *Engine) ApplyPeerUpdate(now model.Instant, update PeerUpdate) []model.Action {
	e.beginStep(now)
	for _, observation := range update.Observations {
		if up := e.upstreams[observation.Upstream]; up != nil {
			e.applyObservation(now, up, observation)
		}
	}
	return e.actions
}

// applyObservation merges a peer's observation of one upstream. A different boot counts only if it was confirmed later than the known one.
func (e *Engine) applyObservation(now model.Instant, up *upstream, o Observation) {
	confirmedAt, bootObservedAt := now.Add(-o.ConfirmedAge), now.Add(-o.BootAge)
	if up.allocation != nil && up.allocation.Primary() != e.cfg.Self.ID {
		e.SetHealth(now, o.Health)
	}
	switch {
	case o.Boot == up.boot:
		up.confirmedAt = max(up.confirmedAt, confirmedAt)
		up.bootTimeInferred = up.bootTimeInferred && o.BootTimeInferred
		if bootObservedAt < up.bootObservedAt {
			up.bootObservedAt = bootObservedAt
			up.coldUntil = min(up.coldUntil, bootObservedAt.Add(up.cfg.ColdFor))
		}
	case up.boot == 0:
		up.recordBoot(now, o.Boot)
		up.bootObservedAt, up.confirmedAt, up.bootTimeInferred = bootObservedAt, confirmedAt, o.BootTimeInferred
		up.coldUntil = bootObservedAt.Add(up.cfg.ColdFor)
	case confirmedAt > up.confirmedAt && up.confirm(now, o.Boot):
		up.confirmedAt = confirmedAt
		e.updateUrgent = true
	}
	if up.parked.Len() > 0 && !up.unconfirmed(now, e.doc.Timing.WarmLease) {
		e.unpark(now, up)
	}
}

// Health is one result of polling an upstream's health and load endpoint.
type Health struct {
	Upstream model.UpstreamID
	// Down is set when the endpoint did not answer.
	Down bool
	// Draining and Cold are the states that the upstream reports.
	Draining, Cold bool
	// Connections is the number of open streams that the upstream reports.
	Connections int
}

// coldReportLife is how long one report of a cold start is valid.
const coldReportLife = 2 * time.Second

// SetHealth stores a health report. A report can only reduce the load on an upstream: a good one proves nothing about its boot.
func (e *Engine) SetHealth(now model.Instant, h Health) {
	up := e.upstreams[h.Upstream]
	if up == nil {
		return
	}
	up.suspect = up.suspect || h.Down
	up.down, up.draining, up.reportedStreams = h.Down, h.Draining, h.Connections
	if h.Cold {
		up.coldUntil = max(up.coldUntil, now.Add(coldReportLife))
	}
}

// HealthCheckTargets returns the upstreams whose health endpoint this instance polls because it is their primary.
func (e *Engine) HealthCheckTargets() []model.Upstream {
	var out []model.Upstream
	for _, up := range e.upstreams {
		if up.allocation != nil && up.allocation.Primary() == e.cfg.Self.ID && up.cfg.Health.IsValid() {
			out = append(out, *up.cfg)
		}
	}
	return out
}
