package roster

import (
	"cmp"
	"net/netip"
	"slices"

	"hawthorncourse/internal/core/model"
)

// Ended returns the runs that are gone and whose tags are still retained, oldest first, for instances that have not seen them end.
func (r *Roster) Ended(now model.Instant) []model.EndedRun {
	list := make([]model.EndedRun, 0, len(r.ended))
	for _, u := range r.ended {
		age := now.Sub(u.Since)
		if age >= r.cfg.TagRetention || r.tags[u.key()] != u {
			continue
		}
		list = append(list, model.EndedRun{Registration: u.Registration, Era: u.Era, Age: age, Replaced: u.Replaced()})
	}
	return list
}

// AddEnded adds runs that another instance has seen end, as runs that are gone, and returns how many of them were not known. It leaves runs alone that
// this instance has listed itself, and their tags. A run that was added before becomes replaced if it is in the list. Runs that are not
// replaced are probed once they have flows here. No run is replaced of which a registration is listed here, before or after: it may serve.
//
// Registrations that are listed here do not replace an added run: it is not known in which order the two were first listed.
func (r *Roster) AddEnded(now model.Instant, list []model.EndedRun) (added int) {
	for i := range list {
		if r.addEnded(now, &list[i]) {
			added++
		}
	}
	if added > 0 {
		slices.SortStableFunc(r.ended, func(a, b *Upstream) int { return cmp.Compare(a.Since, b.Since) })
	}
	return added
}

// addEnded adds one run, and reports whether it was not known.
func (r *Roster) addEnded(now model.Instant, run *model.EndedRun) bool {
	if !r.canAdopt(now, run) {
		return false
	}
	reg := &run.Registration
	u := &Upstream{
		Registration: *reg, Era: run.Era, Tag: routingTag(reg), State: StateGone, Since: now.Add(-run.Age), adopted: true,
		replaced: run.Replaced && !r.listedHere(now, reg),
	}
	if known := r.tags[u.key()]; known != nil {
		if known.adopted && known.ID == reg.ID && known.isRun(reg) {
			known.replaced = known.replaced || u.replaced
		}
		return false
	}
	u.Health.MarkSuspect(now)
	r.setTag(u)
	r.ended = append(r.ended, u)
	return true
}

// canAdopt reports whether a run of another instance may be added: flows of it may be open, and no registration of another run with its tag has been listed
// here. A run without a start cannot be told from others under its ID.
func (r *Roster) canAdopt(now model.Instant, run *model.EndedRun) bool {
	reg := &run.Registration
	if reg.Boot == 0 || reg.Number == 0 || !reg.Address.IsValid() || run.Age < 0 || run.Age >= r.cfg.TagRetention {
		return false
	}
	seen, ok := r.seen[routingTag(reg)]
	return !ok || now >= seen.until || seen.is(reg)
}

// seenRun is a run of which a registration was listed, whether it was applied or not.
type seenRun struct {
	id      model.UpstreamID
	boot    model.BootID
	address netip.AddrPort
	// until is when it is forgotten.
	until model.Instant
}

// is reports whether reg is a registration of the run, which has the same tag.
func (s *seenRun) is(reg *model.Registration) bool {
	return s.id == reg.ID && s.boot == reg.Boot && s.address == reg.Address
}

// recordSeen records that a registration was listed here.
func (r *Roster) recordSeen(now model.Instant, reg *model.Registration) {
	until := now.Add(max(LostTagRetention, r.cfg.TagRetention))
	r.seen[routingTag(reg)] = seenRun{id: reg.ID, boot: reg.Boot, address: reg.Address, until: until}
}

// listedHere reports whether a registration of the run that reg names has been listed here.
func (r *Roster) listedHere(now model.Instant, reg *model.Registration) bool {
	if u, c := r.current[reg.ID], r.contests[reg.ID]; (u != nil && u.isRun(reg)) || (c != nil && sameRun(&c.registration, reg)) {
		return true
	}
	seen, ok := r.seen[routingTag(reg)]
	return ok && now < seen.until && seen.is(reg)
}

// adoptedRun returns the adopted run that a registration names, or nil.
func (r *Roster) adoptedRun(reg *model.Registration) *Upstream {
	u := r.tags[tagKey{service: reg.Service, tag: routingTag(reg)}]
	if u == nil || !u.adopted || u.ID != reg.ID || !u.isRun(reg) {
		return nil
	}
	return u
}

// correctAdopted is called with a registration that was listed without being applied. An adopted run that it names does not count as replaced any more, as
// it may serve. Another adopted run with the tag loses it, so that it does not decide for the packets of the one that may serve.
func (r *Roster) correctAdopted(reg *model.Registration) {
	key := tagKey{service: reg.Service, tag: routingTag(reg)}
	if added := r.adoptedRun(reg); added != nil {
		added.replaced = false
	} else if holder := r.tags[key]; holder != nil && holder.adopted {
		holder.replaced = false
		r.removeTag(key)
	}
}
