package roster

import "hawthorncourse/internal/core/model"

// NameService records that a configuration names a service. It stays named, as later configurations may leave its open flows where they are. The next
// Confirm compares its registrations with other runs.
func (r *Roster) NameService(id model.ServiceID) {
	if !r.named[id] {
		r.named[id], r.newlyNamed[id] = true, true
	}
}

// replaceEnded marks the runs that were gone from the registry before a later run, by, registered under their ID or at their address; reg is its
// registration.
func (r *Roster) replaceEnded(by *Upstream, reg *model.Registration) {
	if !r.named[reg.Service] {
		return
	}
	for _, e := range r.ended {
		if e.replacedBy(by, reg) {
			e.markReplaced(reg)
		}
	}
}

// compareNewlyNamed compares the runs of services that have become named with the other runs at their addresses and under their IDs.
func (r *Roster) compareNewlyNamed(now model.Instant) {
	if len(r.newlyNamed) == 0 {
		return
	}
	runs := r.matching(func(u *Upstream) bool { return r.newlyNamed[u.Service] })
	clear(r.newlyNamed)
	for _, u := range runs {
		if u.State != StateGone {
			r.replaceEnded(u, &u.Registration)
			r.supersede(now, u)
		}
	}
}

// supersede ends the earlier of two runs of named services at the same address. The platform reuses an address only after its upstream has ended, but
// the old registration may remain for seconds. Boot values come from the clocks of different machines, so a run counts as later only if its
// registration was also written later, which the revisions of one era tell, and not listed before the other. A run that was first listed together with
// the other gets no new flows, but its open ones end only when it answers no probes or once the other has opened a flow: the last heartbeat of an ended run
// may be executed late.
func (r *Roster) supersede(now model.Instant, u *Upstream) {
	if !r.named[u.Service] {
		return
	}
	other := r.addresses[u.Address]
	r.addresses[u.Address] = u
	if other == nil || other == u || other.State == StateGone {
		return
	}
	later, earlier := u, other
	if other.Boot > u.Boot {
		later, earlier = other, u
	}
	r.addresses[u.Address] = later
	if !later.supersedes(earlier) {
		return
	}
	earlier.superseded = true
	if !earlier.listedBefore(later) {
		earlier.rival = later
	}
	r.end(now, earlier, CauseAddressReused, &later.Registration)
}

// supersedes reports whether the run counts as later than another at its address, which did not start after it.
func (u *Upstream) supersedes(v *Upstream) bool {
	return v.Boot != 0 && v.Boot != u.Boot && v.Era == u.Era && v.Revision < u.Revision && v.outlived != u && !u.listedBefore(v)
}

// end gives up an upstream because of a registration of another run.
func (r *Roster) end(now model.Instant, u *Upstream, cause Cause, by *model.Registration) {
	r.markGone(now, u)
	change := &r.changes[len(r.changes)-1]
	change.Cause, change.By = cause, *by
}

// disputeTime is how long a run must be listed at an address, while the one before it is not, to have certainly replaced it. The store executes the last
// heartbeat of a process that has ended some seconds late, and removes its registration three heartbeats later.
const disputeTime = 2 * ContestTime

// settleDisputes ends the runs whose rival has been listed for disputeTime, without a gap and according to a confirmation by the store, and that are not
// listed themselves.
func (r *Roster) settleDisputes(confirmedAt model.Instant) {
	for _, u := range r.ended {
		if u.rival == nil || u.rival.State != StateListed || r.contests[u.ID] != nil {
			continue
		}
		if confirmedAt.Sub(max(u.Since, u.rival.Since, r.graceUntil)) >= disputeTime {
			u.rival = nil
		}
	}
}
