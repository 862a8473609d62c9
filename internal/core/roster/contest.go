package roster

import (
	"maps"
	"slices"
	"time"

	"hawthorncourse/internal/core/model"
)

// ContestTime is how long a registration that contradicts a known run must stand before it is applied. A late write stands for less: the running
// upstream overwrites it at its next heartbeat, or the platform removes it after three heartbeats without a write.
const ContestTime = 5 * time.Second

// contest is a registration that contradicts a known run of its upstream, such as a heartbeat of an earlier run that the store has executed late.
type contest struct {
	registration model.Registration
	era          model.Era
	// since is when the registration was first listed.
	since model.Instant
	cause Cause
}

// contested reports whether a registration contradicts what is known of its upstream, whose current run is u, and records it if it does. Such a
// registration neither ends a run nor becomes one until it has stood for ContestTime.
func (r *Roster) contested(now model.Instant, u *Upstream, reg *model.Registration, era model.Era) bool {
	known, cause := r.contradicted(u, reg, era)
	if known == nil {
		return false
	}
	c := r.contests[reg.ID]
	if c == nil || !sameRun(&c.registration, reg) {
		c = &contest{since: now}
		r.contests[reg.ID] = c
		r.refuse(known, reg, cause)
	}
	c.registration, c.era, c.cause = *reg, era, cause
	return true
}

// contradicted returns the known run that a registration contradicts, and why; nil if it contradicts none.
func (r *Roster) contradicted(u *Upstream, reg *model.Registration, era model.Era) (*Upstream, Cause) {
	if reg.Boot == 0 {
		return nil, 0
	}
	seen := r.run(reg)
	switch {
	case u == nil && (seen == nil || seen.Replaced()):
		return r.endedAfter(reg, era), CauseEarlierRun
	case u == nil || u.isRun(reg):
		return nil, 0
	case reg.Boot < u.Boot || (seen != nil && seen.Era == era):
		// A run that was listed before u, in the same era, cannot have replaced it, whatever the clocks say.
		return u, CauseEarlierRun
	default:
		return nil, 0
	}
}

// endedAfter returns an ended run with the ID of a registration that started later and was listed in the same era. In another era, the store may
// have been restored from a copy from before that run.
func (r *Roster) endedAfter(reg *model.Registration, era model.Era) *Upstream {
	for _, e := range r.ended {
		if e.ID == reg.ID && e.Boot > reg.Boot && e.Era == era {
			return e
		}
	}
	return nil
}

// settleContests applies the registrations that have stood for ContestTime according to a confirmation by the store. A run that one of them ends does
// not count as replaced: its flows end only if it does not answer probes.
func (r *Roster) settleContests(now, confirmedAt model.Instant) {
	for _, id := range slices.Sorted(maps.Keys(r.contests)) {
		c := r.contests[id]
		if confirmedAt.Sub(c.since) < ContestTime {
			continue
		}
		if u := r.current[id]; u != nil {
			r.end(now, u, c.cause, &c.registration)
		}
		r.apply(now, nil, &c.registration, c.era)
	}
}

// sameRun reports whether two registrations under one ID are of the same run.
func sameRun(a, b *model.Registration) bool {
	return a.Boot == b.Boot && a.Service == b.Service && a.Address == b.Address
}
