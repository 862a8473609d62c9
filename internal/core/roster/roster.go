// Package roster keeps what the registry says of upstreams and decides when one has ended for certain.
package roster

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"hawthorncourse/internal/core/model"
)

// OutageGrace is how long a missing entry may come back after the registry's return: the platform names about two seconds, and a half is for its delay.
const OutageGrace = 2500 * time.Millisecond

// Config is what a Roster is built from.
type Config struct {
	// TagRetention is how long the tag of an upstream that has ended is known, which is the life of a flow.
	TagRetention time.Duration
}

// tagKey finds an upstream: tags are compared within one service only.
type tagKey struct {
	service model.ServiceID
	tag     model.RoutingTag
}

// Roster holds every start of every upstream that flows may belong to.
type Roster struct {
	cfg Config
	// current holds the latest start under each ID; none is gone.
	current map[model.UpstreamID]*Upstream
	// tags holds all starts, those that are gone included.
	tags map[tagKey]*Upstream
	// services holds the current starts by service, in no order.
	services map[model.ServiceID][]*Upstream
	// all holds the current starts of all services, in no order.
	all []*Upstream
	// addresses holds the current start that was last heard of at each address.
	addresses map[netip.AddrPort]*Upstream
	// ended holds the starts that are gone, the oldest first.
	ended []*Upstream
	// unsure is until when a missing entry proves nothing.
	unsure model.Instant
	// confirmed is the last instant at which the registry was as it was last told.
	confirmed model.Instant
	// spoilt is set while an entry cannot be understood: it may be that of an upstream that lives.
	spoilt bool
	// out holds the failure domains that operators have taken out.
	out map[model.DomainID]model.Instant
	// notes collects changes of state for the log.
	notes []StateChange
}

// StateChange is one change of what is believed of an upstream.
type StateChange struct {
	Upstream *Upstream
	State    State
}

// New returns an empty roster; until the grace is over, a missing entry proves nothing.
func New(cfg Config) *Roster {
	return &Roster{
		cfg:       cfg,
		current:   map[model.UpstreamID]*Upstream{},
		tags:      map[tagKey]*Upstream{},
		services:  map[model.ServiceID][]*Upstream{},
		addresses: map[netip.AddrPort]*Upstream{},
		out:       map[model.DomainID]model.Instant{},
		unsure:    model.Instant(OutageGrace),
	}
}

// SetTagRetention replaces how long the tag of an upstream that has ended is known.
func (r *Roster) SetTagRetention(d time.Duration) {
	r.cfg.TagRetention = d
}

// Sync takes over a whole listing; what it lacks is missing.
func (r *Roster) Sync(now model.Instant, list model.Listing[model.Registration]) {
	r.spoilt = len(list.Unreadable) > 0
	listed := make(map[model.UpstreamID]bool, len(list.Items))
	for i := range list.Items {
		listed[list.Items[i].ID] = true
		r.put(now, &list.Items[i])
	}
	for _, name := range list.Unreadable {
		listed[model.UpstreamID(name)] = true
		r.unreadable(now, model.UpstreamID(name))
	}
	for _, u := range r.these(func(u *Upstream) bool { return !listed[u.ID] }) {
		r.missing(now, u.ID)
	}
}

// these returns the current upstreams that match, by name.
func (r *Roster) these(match func(*Upstream) bool) (list []*Upstream) {
	for _, u := range r.all {
		if match(u) {
			list = append(list, u)
		}
	}
	slices.SortFunc(list, func(a, b *Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Add takes up a part of a listing; what it lacks may be in the rest.
func (r *Roster) Add(now model.Instant, items []model.Registration) {
	for i := range items {
		r.put(now, &items[i])
	}
}

// ExtendGrace notes that the registry was away: until then, a missing entry may come back.
func (r *Roster) ExtendGrace(until model.Instant) {
	r.unsure = max(r.unsure, until)
}

// Confirm notes that at the instant the registry was as it was last told: whose entry has not come back by then has ended.
func (r *Roster) Confirm(now, at model.Instant) {
	r.confirmed = max(r.confirmed, at)
	if now < r.unsure {
		return
	}
	for _, u := range r.these(func(u *Upstream) bool { return u.State == StateMissing && now.Sub(u.Since) >= OutageGrace }) {
		r.end(now, u)
	}
}

// Complete reports whether every upstream that lived since the instant is known here: the registry was confirmed after
// it, was not away, and holds no entry that cannot be understood.
func (r *Roster) Complete(now, since model.Instant) bool {
	return r.confirmed > since && now >= r.unsure && !r.spoilt
}

// ExpireTags forgets the upstreams that ended long ago.
func (r *Roster) ExpireTags(now model.Instant) {
	for len(r.ended) > 0 && now.Sub(r.ended[0].Since) >= r.cfg.TagRetention {
		old := r.ended[0]
		r.ended = r.ended[1:]
		if r.tags[old.key()] == old {
			delete(r.tags, old.key())
		}
	}
}

// ByTag returns the upstream of the service with the tag, or nil.
func (r *Roster) ByTag(service model.ServiceID, tag model.RoutingTag) *Upstream {
	return r.tags[tagKey{service: service, tag: tag}]
}

// Get returns the current upstream under a name, or nil.
func (r *Roster) Get(id model.UpstreamID) *Upstream {
	return r.current[id]
}

// ByService returns the current upstreams of a service; the caller must not change the slice.
func (r *Roster) ByService(service model.ServiceID) []*Upstream {
	return r.services[service]
}

// All returns every current upstream; the caller must not change the slice.
func (r *Roster) All() []*Upstream {
	return r.all
}

// Usable reports whether new flows may go to the upstream.
func (r *Roster) Usable(u *Upstream) bool {
	if u.Draining || (u.State != StateListed && u.State != StateMissing) {
		return false
	}
	_, out := r.out[u.Domain]
	return !out
}

// SetOut replaces the set of failure domains that operators have taken out.
func (r *Roster) SetOut(now model.Instant, domains []model.DomainID) {
	out := make(map[model.DomainID]model.Instant, len(domains))
	for _, d := range domains {
		since, was := r.out[d]
		if !was {
			since = now
		}
		out[d] = since
	}
	r.out = out
}

// Out returns since when a failure domain is out, if it is.
func (r *Roster) Out(d model.DomainID) (since model.Instant, out bool) {
	since, out = r.out[d]
	return since, out
}

// Len returns the number of current upstreams.
func (r *Roster) Len() int {
	return len(r.current)
}

// TakeStateChanges returns the changes of state since the last call.
func (r *Roster) TakeStateChanges() []StateChange {
	notes := r.notes
	r.notes = nil
	return notes
}

// put takes up what an upstream wrote; a new start under an old ID ends the old one.
func (r *Roster) put(now model.Instant, reg *model.Registration) {
	u := r.current[reg.ID]
	if u != nil && reg.Revision != 0 && reg.Revision < u.Revision {
		return
	}
	if u != nil && (u.Boot != reg.Boot || u.Service != reg.Service || u.Address != reg.Address) {
		r.end(now, u)
		u = nil
	}
	if u == nil {
		if u = r.add(now, reg); u == nil {
			return
		}
	} else if reg.Revision != u.Revision {
		// The remaining time counts from the write, which was seen only now: the error is on the careful side.
		u.ColdUntil = now.Add(reg.ColdFor)
	}
	if u.Draining != reg.Draining {
		r.notes = append(r.notes, StateChange{Upstream: u, State: u.State})
	}
	u.Registration = *reg
	r.set(now, u, StateListed)
	r.supersede(now, u)
}

// add takes up a start that is not known yet; it returns nil for one that has ended for certain.
func (r *Roster) add(now model.Instant, reg *model.Registration) *Upstream {
	u := &Upstream{Tag: tagOf(reg), Registration: *reg, ColdUntil: now.Add(reg.ColdFor)}
	if old := r.tags[u.key()]; old != nil && old.replaced && old.ID == reg.ID && old.Boot == reg.Boot {
		return nil
	}
	r.current[reg.ID] = u
	list := r.services[reg.Service]
	u.atService, u.atAll = len(list), len(r.all)
	r.services[reg.Service] = append(list, u)
	r.all = append(r.all, u)
	r.tags[u.key()] = u
	return u
}

// supersede ends the earlier of two starts at one address: an address is used again only after its upstream has ended, whose entry
// may stay for seconds. The later start must also have written later, since clocks differ.
func (r *Roster) supersede(now model.Instant, u *Upstream) {
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
	if earlier.Boot == 0 || earlier.Boot == later.Boot || earlier.Revision >= later.Revision {
		return
	}
	earlier.replaced = true
	r.end(now, earlier)
}

func (r *Roster) unreadable(now model.Instant, id model.UpstreamID) {
	if u := r.current[id]; u != nil {
		r.set(now, u, StateUnreadable)
	}
}

// missing notes that an upstream has no entry any more.
func (r *Roster) missing(now model.Instant, id model.UpstreamID) {
	u := r.current[id]
	switch {
	case u == nil:
	case now < r.unsure:
		r.set(now, u, StateMissing)
	case u.State == StateMissing:
		// Confirm judges it.
	default:
		r.end(now, u)
	}
}

func (r *Roster) end(now model.Instant, u *Upstream) {
	r.set(now, u, StateGone)
	delete(r.current, u.ID)
	if r.addresses[u.Address] == u {
		delete(r.addresses, u.Address)
	}
	list := r.services[u.Service]
	last := list[len(list)-1]
	list[u.atService], last.atService = last, u.atService
	r.services[u.Service] = list[:len(list)-1]
	last = r.all[len(r.all)-1]
	r.all[u.atAll], last.atAll = last, u.atAll
	r.all = r.all[:len(r.all)-1]
	r.ended = append(r.ended, u)
}

func (r *Roster) set(now model.Instant, u *Upstream, s State) {
	if u.State == s {
		return
	}
	u.State, u.Since = s, now
	r.notes = append(r.notes, StateChange{Upstream: u, State: s})
}

func (u *Upstream) key() tagKey {
	return tagKey{service: u.Service, tag: u.Tag}
}
