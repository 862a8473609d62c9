// Package roster tracks the registrations of upstreams in the platform's store and decides when an upstream has definitely ended.
package roster

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"hawthorncourse/internal/core/model"
)

// OutageGrace is the grace period after an outage of the store, during which missing registrations may reappear. The platform specifies
// about two seconds; half a second is added for the propagation delay.
const OutageGrace = 2500 * time.Millisecond

// Config is the configuration of a Roster.
type Config struct {
	// TagRetention is how long packets with the tag of an ended upstream are assigned to it. It must be the maximum lifetime of a flow.
	TagRetention time.Duration
}

// Roster holds all runs of all upstreams that existing flows may belong to. A run is one Upstream, from a start of its process to its
// exit.
type Roster struct {
	cfg Config
	// current holds the latest run of each upstream; none is in StateGone.
	current map[model.UpstreamID]*Upstream
	// tags holds all runs, including those in StateGone, but for those whose tag another run of their service has.
	tags map[tagKey]*Upstream
	// prefixes holds the runs in tags by the prefixes of their tags; each list has at least one.
	prefixes map[prefixKey][]*Upstream
	// services holds the current runs by service, in no particular order.
	services map[model.ServiceID][]*Upstream
	// all holds the current runs of all services, in no particular order.
	all []*Upstream
	// addresses holds the current run with the latest start at each address, of the named services.
	addresses map[netip.AddrPort]*Upstream
	// ended holds the runs in StateGone, oldest first.
	ended []*Upstream
	// graceUntil is the end of the grace period, during which a missing registration does not mean that the upstream has ended.
	graceUntil model.Instant
	// confirmedAt is the latest time for which the store has confirmed that the roster was current.
	confirmedAt model.Instant
	// hasUnreadable is true while a registration cannot be decoded; it may belong to a running upstream that is not in the roster.
	hasUnreadable bool
	// readableSince is when hasUnreadable last became false.
	readableSince model.Instant
	// outSince maps the failure domains that operators have taken out of service to the time at which that became known.
	outSince map[model.DomainID]model.Instant
	// retainedOut holds the domains in outSince that the store has not listed since it was restored from an older copy.
	retainedOut map[model.DomainID]bool
	// era is the era of the store in which the failure domains were listed, and retainUntil the end of the time in which operators write again what
	// a restore has lost.
	era         model.Era
	retainUntil model.Instant
	// changes collects state changes until TakeStateChanges returns them for the log.
	changes []StateChange
	// named holds the services that a configuration has named. A registration of any other service names no upstream to use, so it ends no run.
	named map[model.ServiceID]bool
	// newlyNamed holds the services in named whose registrations have not been compared with other runs yet.
	newlyNamed map[model.ServiceID]bool
	// contests holds the registrations that contradict a known run, by ID; only those that the last listing contained.
	contests map[model.UpstreamID]*contest
	// unused holds, by the prefix of its tag, until when other instances may use a run that this one does not: its registration was listed without being
	// applied, or was lost.
	unused map[model.TagPrefix]model.Instant
	// seen holds the runs of which a registration was listed, until long after, so that it is not taken from another instance that one of them has been
	// replaced. Current runs need not be in it.
	seen map[model.RoutingTag]seenRun
	// sweepAt is when the next outdated tags are removed from unused and seen.
	sweepAt model.Instant
	// lists is the number of complete listings.
	lists uint64
	// refusals collects refused registrations until TakeRefusals returns them for the log.
	refusals []Refusal
}

// StateChange is a change of the state of an upstream or of its draining flag.
type StateChange struct {
	Upstream *Upstream
	// State is the state after the change.
	State State
	// Cause is set if a registration of another run has ended the upstream, and By is that registration.
	Cause Cause
	By    model.Registration
}

// New returns an empty roster, whose grace period ends OutageGrace after the start of the process.
func New(cfg Config) *Roster {
	return &Roster{
		cfg:         cfg,
		current:     map[model.UpstreamID]*Upstream{},
		tags:        map[tagKey]*Upstream{},
		prefixes:    map[prefixKey][]*Upstream{},
		services:    map[model.ServiceID][]*Upstream{},
		addresses:   map[netip.AddrPort]*Upstream{},
		outSince:    map[model.DomainID]model.Instant{},
		retainedOut: map[model.DomainID]bool{},
		named:       map[model.ServiceID]bool{},
		newlyNamed:  map[model.ServiceID]bool{},
		contests:    map[model.UpstreamID]*contest{},
		unused:      map[model.TagPrefix]model.Instant{},
		seen:        map[model.RoutingTag]seenRun{},
		graceUntil:  model.Instant(OutageGrace),
	}
}

// SetTagRetention replaces Config.TagRetention.
func (r *Roster) SetTagRetention(d time.Duration) {
	r.cfg.TagRetention = d
}

// Sync applies a complete listing. Upstreams that it does not contain are missing during the grace period, and gone after it.
func (r *Roster) Sync(now model.Instant, list model.Listing[model.Registration]) {
	r.setUnreadable(now, len(list.Unreadable) > 0)
	listed := make(map[model.UpstreamID]bool, len(list.Items))
	for i := range list.Items {
		listed[list.Items[i].ID] = r.upsert(now, &list.Items[i], list.Era)
	}
	for _, name := range list.Unreadable {
		listed[model.UpstreamID(name)] = true
		r.markUnreadable(now, model.UpstreamID(name))
	}
	for _, u := range r.matching(func(u *Upstream) bool { return !listed[u.ID] }) {
		r.markMissing(now, u.ID)
	}
	r.lists++
	maps.DeleteFunc(r.contests, func(id model.UpstreamID, _ *contest) bool { return !listed[id] })
}

// matching returns the current upstreams for which match returns true, ordered by ID.
func (r *Roster) matching(match func(*Upstream) bool) (list []*Upstream) {
	for _, u := range r.all {
		if match(u) {
			list = append(list, u)
		}
	}
	slices.SortFunc(list, func(a, b *Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Add applies a part of a listing of an era. Upstreams that it does not contain are left as they are: they may be in another part.
func (r *Roster) Add(now model.Instant, items []model.Registration, era model.Era) {
	for i := range items {
		r.upsert(now, &items[i], era)
	}
}

// ExtendGrace extends the grace period after an outage of the store, so that it ends at until or later.
func (r *Roster) ExtendGrace(until model.Instant) {
	r.graceUntil = max(r.graceUntil, until)
}

// Confirm records that the store has confirmed the roster to be current at confirmedAt. If that is after the grace period, upstreams that had
// been missing for OutageGrace by then are declared gone. A confirmation that is older says nothing, whenever it arrives: the registration may
// have reappeared since.
func (r *Roster) Confirm(now, confirmedAt model.Instant) {
	r.confirmedAt = max(r.confirmedAt, confirmedAt)
	r.compareNewlyNamed(now)
	for _, u := range r.matching(func(u *Upstream) bool { return u.untagged }) {
		r.claimTag(now, u)
	}
	if confirmedAt >= r.retainUntil {
		r.releaseOut()
	}
	if confirmedAt < r.graceUntil {
		return
	}
	for _, u := range r.matching(func(u *Upstream) bool { return u.State == StateMissing && confirmedAt.Sub(u.Since) >= OutageGrace }) {
		r.markGone(now, u)
	}
	r.settleContests(now, confirmedAt)
	r.settleDisputes(confirmedAt)
}

// Confirmed reports whether the store has confirmed since the given time, beyond a grace period, that the roster and the routes were current.
func (r *Roster) Confirmed(since model.Instant) bool {
	return r.confirmedAt > since && r.confirmedAt >= r.graceUntil
}

// Complete reports whether Knows is true for the tag of every upstream that a flow of the given time can belong to: the store has confirmed the
// roster since then, and without a gap for as long as a flow lives, and all registrations could be decoded for that time. A roster that is younger may lack an
// upstream that serves, as its registration may have expired before.
func (r *Roster) Complete(since model.Instant) bool {
	return r.confirmedAt > since && r.confirmedAt.Sub(max(r.graceUntil, r.readableSince)) >= r.cfg.TagRetention && !r.hasUnreadable
}

// Gone returns the runs in StateGone whose tags are still known, oldest first. The caller must not modify the slice.
func (r *Roster) Gone() []*Upstream {
	return r.ended
}

// Get returns the current upstream with the ID, or nil.
func (r *Roster) Get(id model.UpstreamID) *Upstream {
	return r.current[id]
}

// ByService returns the current upstreams of a service. The caller must not modify the slice.
func (r *Roster) ByService(service model.ServiceID) []*Upstream {
	return r.services[service]
}

// All returns all current upstreams. The caller must not modify the slice.
func (r *Roster) All() []*Upstream {
	return r.all
}

// Usable reports whether the upstream may get new flows: it is listed or missing, not draining, packets with its tag go to it, and its failure domain is
// in service.
func (r *Roster) Usable(u *Upstream) bool {
	if u.Draining || u.untagged || (u.State != StateListed && u.State != StateMissing) {
		return false
	}
	_, out := r.outSince[u.Domain]
	return !out
}

// SetOut replaces the set of failure domains that operators have taken out of service, as listed in an era of the store. A domain that is out of
// service stays so for OutageGrace if the first list of a new era lacks it: the store was restored from a copy from before it was taken out.
func (r *Roster) SetOut(now model.Instant, domains []model.DomainID, era model.Era) {
	if era != r.era {
		r.retainUntil = now.Add(OutageGrace)
		for d := range r.outSince {
			r.retainedOut[d] = true
		}
	}
	r.era = era
	out := make(map[model.DomainID]model.Instant, len(domains))
	for _, d := range domains {
		since, alreadyOut := r.outSince[d]
		if !alreadyOut {
			since = now
		}
		out[d] = since
		delete(r.retainedOut, d)
	}
	if now >= r.retainUntil {
		clear(r.retainedOut)
	}
	for d := range r.retainedOut {
		out[d] = r.outSince[d]
	}
	r.outSince = out
}

// RetainedOut returns the failure domains that are out of service although the restored store does not list them, ordered by name.
func (r *Roster) RetainedOut() []model.DomainID {
	return slices.Sorted(maps.Keys(r.retainedOut))
}

// releaseOut returns the failure domains to service that operators have not taken out again since a restore of the store.
func (r *Roster) releaseOut() {
	for d := range r.retainedOut {
		delete(r.outSince, d)
	}
	clear(r.retainedOut)
}

// Out reports whether a failure domain is out of service, and since when.
func (r *Roster) Out(d model.DomainID) (since model.Instant, out bool) {
	since, out = r.outSince[d]
	return since, out
}

// Len returns the number of current upstreams.
func (r *Roster) Len() int {
	return len(r.current)
}

// TakeStateChanges returns the state changes since the last call.
func (r *Roster) TakeStateChanges() []StateChange {
	changes := r.changes
	r.changes = nil
	return changes
}

// upsert applies a registration that was listed in an era, unless it is older than the known one or contradicts it. It reports whether the listing
// says that the known run may be running.
func (r *Roster) upsert(now model.Instant, reg *model.Registration, era model.Era) (listed bool) {
	u := r.current[reg.ID]
	switch {
	case u != nil && u.writtenAfter(reg, era):
		r.keepUnused(now, reg)
	case u != nil && u.startedAfter(reg, era):
		r.keepUnused(now, reg)
		r.refuse(u, reg, CauseEarlierRun)
		delete(r.contests, reg.ID)
		return false
	case r.contested(now, u, reg, era):
		r.keepUnused(now, reg)
	default:
		r.apply(now, u, reg, era)
	}
	return true
}

// apply applies a registration to the current run u, which is nil if there is none. A new run under a known ID ends the previous run.
func (r *Roster) apply(now model.Instant, u *Upstream, reg *model.Registration, era model.Era) {
	delete(r.contests, reg.ID)
	if u != nil && !u.isRun(reg) {
		cause := u.difference(reg)
		if cause == CauseLaterRun && u.Boot != 0 {
			u.markReplaced(reg)
		}
		r.end(now, u, cause, reg)
		u = nil
	}
	draining := reg.Draining || r.hasDrained(reg)
	if u == nil {
		u = r.insert(now, reg, era)
	} else if reg.Revision != u.Revision {
		u.ColdUntil = u.coldUntil(now, reg, era)
	}
	if u.Draining != draining {
		r.changes = append(r.changes, StateChange{Upstream: u, State: u.State})
	}
	u.enterEra(era, r.firstListing(reg))
	u.Registration = *reg
	u.Draining = draining
	r.setState(now, u, StateListed)
	r.supersede(now, u)
}

// run returns the known run that a registration names, or nil. It may be in StateGone. It is nil for an adopted run, so that registrations are handled as
// if no other instance had passed it on.
func (r *Roster) run(reg *model.Registration) *Upstream {
	u := r.tags[tagKey{service: reg.Service, tag: routingTag(reg)}]
	if u == nil || u.adopted || reg.Boot == 0 || u.ID != reg.ID || u.Boot != reg.Boot {
		return nil
	}
	return u
}

// hasDrained reports whether the run that a registration names is known to drain or to have drained. A run that drains exits. A registration that
// says otherwise comes from a copy of the store from before, of which only an identified run can be told apart from a new start.
func (r *Roster) hasDrained(reg *model.Registration) bool {
	u := r.run(reg)
	return u != nil && u.Draining
}

// insert adds a run of an upstream. A run that was gone from the registry and reappears keeps its load and its health.
func (r *Roster) insert(now model.Instant, reg *model.Registration, era model.Era) *Upstream {
	u := &Upstream{Tag: routingTag(reg), Registration: *reg, Era: era, first: r.firstListing(reg), ColdUntil: now.Add(reg.ColdFor)}
	if old := r.run(reg); old != nil && !old.superseded && !old.replaced {
		r.ended = slices.DeleteFunc(r.ended, func(e *Upstream) bool { return e == old })
		old.ColdUntil = old.coldUntil(now, reg, era)
		old.enterEra(era, r.firstListing(reg))
		old.displaced = false
		u = old
	} else if added := r.adoptedRun(reg); added != nil {
		// Its load and its health are of packets and probes of this instance.
		r.ended = slices.DeleteFunc(r.ended, func(e *Upstream) bool { return e == added })
		u.Load, u.Health = added.Load, added.Health
		*added = *u
		u = added
	}
	r.replaceEnded(u, reg)
	r.current[reg.ID] = u
	list := r.services[reg.Service]
	u.serviceIndex, u.allIndex = len(list), len(r.all)
	r.services[reg.Service] = append(list, u)
	r.all = append(r.all, u)
	r.claimTag(now, u)
	return u
}

// firstListing returns the listing that a registration is applied from, as the first one of a run.
func (r *Roster) firstListing(reg *model.Registration) firstListing {
	return firstListing{list: r.lists, revision: reg.Revision}
}

// setUnreadable records whether a listing has a registration that cannot be decoded.
func (r *Roster) setUnreadable(now model.Instant, unreadable bool) {
	if r.hasUnreadable && !unreadable {
		r.readableSince = now
	}
	r.hasUnreadable = unreadable
}

func (r *Roster) markUnreadable(now model.Instant, id model.UpstreamID) {
	if u := r.current[id]; u != nil {
		r.setState(now, u, StateUnreadable)
	}
}

// markMissing handles an upstream that has no registration any more: during the grace period it is missing, afterwards it is gone.
func (r *Roster) markMissing(now model.Instant, id model.UpstreamID) {
	u := r.current[id]
	switch {
	case u == nil:
	case now < r.graceUntil:
		r.setState(now, u, StateMissing)
	case u.State == StateMissing:
		// Confirm decides when it is gone.
	default:
		r.markGone(now, u)
	}
}

// markGone gives up an upstream. Unless its end is certain, it becomes suspect, so that it is probed.
func (r *Roster) markGone(now model.Instant, u *Upstream) {
	r.setState(now, u, StateGone)
	u.Health.MarkSuspect(now)
	delete(r.current, u.ID)
	if r.addresses[u.Address] == u {
		delete(r.addresses, u.Address)
	}
	list := r.services[u.Service]
	last := list[len(list)-1]
	list[u.serviceIndex], last.serviceIndex = last, u.serviceIndex
	r.services[u.Service] = list[:len(list)-1]
	last = r.all[len(r.all)-1]
	r.all[u.allIndex], last.allIndex = last, u.allIndex
	r.all = r.all[:len(r.all)-1]
	r.ended = append(r.ended, u)
	r.recordSeen(now, &u.Registration)
}

func (r *Roster) setState(now model.Instant, u *Upstream, s State) {
	if u.State == s {
		return
	}
	u.State, u.Since = s, now
	r.changes = append(r.changes, StateChange{Upstream: u, State: s})
}
