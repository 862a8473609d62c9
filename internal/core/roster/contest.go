package roster

import (
	"maps"
	"slices"
	"time"

	"hawthorncourse/internal/core/model"
)

// ContestTime is how long a registration that contradicts a known run must stand at least before it is applied. A late write stands for less: the running
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
// registration neither ends a run nor becomes one until it has stood for ContestTime. One that names no upstream to use keeps new flows from u, as u
// has no other registration.
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
	if u != nil && cause == CauseOtherIdentity {
		r.setState(now, u, StateUnreadable)
	}
	return true
}

// contradicted returns the known run that a registration contradicts, and why; nil if it contradicts none.
func (r *Roster) contradicted(u *Upstream, reg *model.Registration, era model.Era) (*Upstream, Cause) {
	switch {
	case u == nil:
		return r.contradictedEnd(reg, era)
	case u.isRun(reg) || r.corrects(reg, u) || r.returns(u, reg):
		return nil, 0
	case u.difference(reg) == CauseOtherIdentity:
		return u, CauseOtherIdentity
	case reg.Boot < u.Boot || r.run(reg).listedIn(era):
		// A run that was listed before u, in the same era, cannot have replaced it, whatever the clocks say.
		return u, CauseEarlierRun
	default:
		return nil, 0
	}
}

// contradictedEnd is contradicted for an upstream without a current run: a registration may be of a run that was replaced, of one from before a run that
// has ended, or of another service than that. Other runs may return. In another era, the store may have been restored from a copy from before the end.
func (r *Roster) contradictedEnd(reg *model.Registration, era model.Era) (*Upstream, Cause) {
	seen := r.run(reg)
	switch {
	case seen == nil || (seen.replaced && !seen.superseded && !seen.listedIn(era)):
		if e := r.endedInstead(reg, era); e != nil {
			return e, e.difference(reg)
		}
		return nil, 0
	case seen.superseded:
		return seen, CauseAddressReused
	case seen.replaced:
		return seen, CauseEarlierRun
	case !seen.isRun(reg):
		return seen, CauseOtherIdentity
	default:
		return nil, 0
	}
}

// endedInstead returns an ended run under the ID of a registration, listed in the same era, that started later or is of another service; nil if there
// is none that was listed here.
func (r *Roster) endedInstead(reg *model.Registration, era model.Era) *Upstream {
	for _, e := range r.ended {
		if !e.adopted && e.ID == reg.ID && (e.Boot > reg.Boot || e.Service != reg.Service) && e.listedIn(era) && !r.corrects(reg, e) {
			return e
		}
	}
	return nil
}

// corrects reports whether u comes from a registration that names no upstream to use, without a start or with a service that is not named, unlike reg.
func (r *Roster) corrects(reg *model.Registration, u *Upstream) bool {
	return (u.Boot == 0 && reg.Boot != 0) || (!r.named[u.Service] && r.named[reg.Service])
}

// returns reports whether a registration is of a run that was ended because an entry of another identity, which u comes from, stood under its ID.
func (r *Roster) returns(u *Upstream, reg *model.Registration) bool {
	known := r.run(reg)
	return known != nil && known.displaced && !known.replaced && !known.superseded && known.isRun(reg) && u.difference(reg) == CauseOtherIdentity
}

// settleContests applies the registrations that have stood for long enough according to a confirmation by the store. A run that one of them ends does
// not count as replaced: its flows end only if it does not answer probes.
func (r *Roster) settleContests(now, confirmedAt model.Instant) {
	for _, id := range slices.Sorted(maps.Keys(r.contests)) {
		c := r.contests[id]
		if confirmedAt.Sub(c.since) < r.contestTime(now, c) {
			continue
		}
		if u := r.current[id]; u != nil {
			r.end(now, u, c.cause, &c.registration)
			u.displaced = c.cause == CauseOtherIdentity
		}
		if known := r.run(&c.registration); known != nil {
			known.reinstate(r.addresses[known.Address])
		}
		r.apply(now, nil, &c.registration, c.era)
	}
}

// contestTime returns how long a contested registration must stand. One that shares its tag with a known run, at another address, would take over the
// packets of that run's flows: while the run answers probes, which are requested here, none of them may be open any more.
func (r *Roster) contestTime(now model.Instant, c *contest) time.Duration {
	known := r.run(&c.registration)
	if known == nil || known.Address == c.registration.Address || known.Replaced() || known.Health.Dead(now) {
		return ContestTime
	}
	known.Health.MarkSuspect(now)
	return max(ContestTime, r.cfg.TagRetention)
}

// sameRun reports whether two registrations under one ID are of the same run.
func sameRun(a, b *model.Registration) bool {
	return a.Boot == b.Boot && a.Service == b.Service && a.Address == b.Address
}
