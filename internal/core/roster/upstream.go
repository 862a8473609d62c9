package roster

import (
	"hawthorncourse/internal/core/health"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/place"
	"hawthorncourse/internal/load/gauge"
)

// State is the registration state of one run of an upstream.
type State uint8

// States of upstreams.
const (
	// StateListed means that the upstream has a registration in the store.
	StateListed State = iota + 1
	// StateMissing means that the registration disappeared during the grace period after an outage of the store, so that the upstream may
	// still be running.
	StateMissing
	// StateUnreadable means that the registration cannot be decoded: open flows continue, new ones go to other upstreams.
	StateUnreadable
	// StateGone means that this run of the upstream gets no new flows any more. Ended says whether its open flows have ended.
	StateGone
)

var stateNames = map[State]string{
	StateListed:     "listed",
	StateMissing:    "missing",
	StateUnreadable: "unreadable",
	StateGone:       "gone",
}

// String returns the name of the state as used in reports and logs.
func (s State) String() string {
	return stateNames[s]
}

// firstListing says when a run was first listed.
type firstListing struct {
	// list is the number of complete listings before it.
	list uint64
	// revision is that of the registration in it.
	revision model.Revision
}

// Upstream is one run of an upstream, from a start of its process to its exit.
type Upstream struct {
	model.Registration
	// Era is the era in which the registration was last listed.
	Era model.Era
	// first is the first listing of the run in Era.
	first firstListing
	// Tag identifies this run inside the packets of a flow; never zero.
	Tag   model.RoutingTag
	State State
	// Since is the time of the last state change.
	Since model.Instant
	// ColdUntil is the end of the cold start.
	ColdUntil model.Instant
	// Load is the load that this instance puts on the upstream.
	Load place.Load
	// Gauge is the load that the run states, as far as it is known.
	Gauge  gauge.Gauge
	Health health.Tracker
	// superseded is true once a later run uses the address, as far as start and revision tell, and replaced once there is a later run under the ID.
	superseded, replaced bool
	// rival is the run that uses the address if superseded is set and the registry does not tell which of the two is the later one, as far as this instance
	// has seen; nil otherwise, and once that is settled.
	rival *Upstream
	// displaced is true while the run is gone because an entry that names another service or no start has stood under its ID.
	displaced bool
	// untagged is true while packets with the tag go to another run of the service.
	untagged bool
	// opened is when the last SYN was sent of a flow that is known to be open at this run; zero if there is none.
	opened model.Instant
	// inPlace is true if replaced is set and each later run under the ID has the same address. Flows that were opened there before the registry listed
	// that run may be its own, though they carry the tag of this one.
	inPlace bool
	// outlived is a run with a later start at the address beside which the registration of this run has stood for ContestTime, so that it does not end
	// this run; nil if there is none.
	outlived *Upstream
	// adopted is true while the run is known from another instance only, which has seen it end. It is then in StateGone, and first is not known.
	adopted bool
	// serviceIndex and allIndex are the positions in Roster.services and Roster.all while the run is current.
	serviceIndex, allIndex int
}

// Cold reports whether the upstream is in its cold start, during which it can take only a few new flows.
func (u *Upstream) Cold(now model.Instant) bool {
	return now < u.ColdUntil
}

// writtenAfter reports whether the registration was written after reg, as far as revisions tell: reg has to be listed in the same era.
func (u *Upstream) writtenAfter(reg *model.Registration, era model.Era) bool {
	return era == u.Era && reg.Revision != 0 && reg.Revision < u.Revision
}

// startedAfter reports whether reg is of an earlier run, which a store that was restored from an older copy lists instead of this one.
func (u *Upstream) startedAfter(reg *model.Registration, era model.Era) bool {
	return era != u.Era && reg.Boot != 0 && reg.Boot < u.Boot
}

// replacedBy reports whether reg, which is of the run by, is of a later run under the ID or at the address. The clocks of two machines may differ, so at
// the address the registration must have been written later as well, and by must have been listed later. The clock of one machine may have been set back,
// so under the ID as well, by must not have been listed before. None of this is known of an adopted run.
func (u *Upstream) replacedBy(by *Upstream, reg *model.Registration) bool {
	if u.adopted || u.Boot == 0 || reg.Boot <= u.Boot {
		return false
	}
	if reg.ID == u.ID {
		return reg.Service == u.Service && !by.listedBefore(u)
	}
	return reg.Address == u.Address && reg.Revision > u.Revision && u.listedBefore(by)
}

// listedBefore reports whether it is certain that the run was listed before v, in the same era, so that it cannot have replaced v, whatever the clocks
// say. If both were first listed together, or v by an older listing than the run, it is not.
func (u *Upstream) listedBefore(v *Upstream) bool {
	return u.Era == v.Era && u.first.list < v.first.list && u.first.revision < v.first.revision
}

// enterEra records a listing of the run in an era, if it is the first one.
func (u *Upstream) enterEra(era model.Era, first firstListing) {
	if u.Era != era {
		u.Era, u.first = era, first
	}
}

// listedIn reports whether the run is known and was last listed in an era.
func (u *Upstream) listedIn(era model.Era) bool {
	return u != nil && u.Era == era
}

// isRun reports whether reg is the registration of this run.
func (u *Upstream) isRun(reg *model.Registration) bool {
	return sameRun(&u.Registration, reg)
}

// isSameStart reports whether v is this run as well, as it was listed before.
func (u *Upstream) isSameStart(v *Upstream) bool {
	return u.ID == v.ID && u.Boot == v.Boot
}

// difference says how reg, which is not of this run, differs from its registration.
func (u *Upstream) difference(reg *model.Registration) Cause {
	switch {
	case reg.Boot == 0 || reg.Boot == u.Boot || reg.Service != u.Service:
		return CauseOtherIdentity
	case reg.Boot < u.Boot:
		return CauseEarlierRun
	default:
		return CauseLaterRun
	}
}

// markReplaced records that a later run has registered under the ID or at the address.
func (u *Upstream) markReplaced(by *model.Registration) {
	u.inPlace = by.ID == u.ID && by.Address == u.Address && (u.inPlace || !u.replaced)
	u.replaced = true
}

// reinstate records that the run has not ended, as its registration stands: that of a process that has ended is removed. The run at its address beside which
// it stands, if any, does not end it again.
func (u *Upstream) reinstate(beside *Upstream) {
	u.superseded, u.rival, u.replaced, u.inPlace, u.outlived = false, nil, false, false, beside
}

// Replaced reports whether a later run has taken the ID at another address, or the address under another ID, so that this run has ended for certain, with
// all flows that carry its tag. A later run under the ID at the address gets the packets of these flows: it resets those that it does not hold.
func (u *Upstream) Replaced() bool {
	return (u.superseded && !u.disputed()) || (u.replaced && !u.inPlace)
}

// disputed reports whether the run may serve although it counts as superseded. It does not once its rival has opened a flow of this instance since: a
// process takes packets for its own ID only, and one process uses the address.
func (u *Upstream) disputed() bool {
	return u.rival != nil && u.rival.opened <= u.Since
}

// RecordOpened records that the run has answered a SYN of this instance: the caller's next packet had its tag.
func (u *Upstream) RecordOpened(sent model.Instant) {
	u.opened = max(u.opened, sent)
}

// Ended reports whether the run has ended, with all its flows: it was replaced, or it is gone from the registry and does not answer probes at
// present. A registration that is gone proves nothing by itself: it also expires if the store loses the upstream's writes.
func (u *Upstream) Ended(now model.Instant) bool {
	return u.State == StateGone && (u.Replaced() || u.Health.Dead(now))
}

// coldUntil returns the end of the cold start according to a registration of this run that was listed in an era. ColdFor counts from the write,
// which was received later, so the end is overestimated, never underestimated. The first listing of another era may be from before the present cold
// start, since a run can become cold again, or from after it.
func (u *Upstream) coldUntil(now model.Instant, reg *model.Registration, era model.Era) model.Instant {
	until := now.Add(reg.ColdFor)
	if era != u.Era {
		return max(until, u.ColdUntil)
	}
	return until
}
