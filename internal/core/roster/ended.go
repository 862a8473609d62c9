package roster

import (
	"cmp"
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
// replaced are probed once they have flows here.
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

// addEnded adds one run, and reports whether it was not known. A run without a start cannot be told from others under its ID.
func (r *Roster) addEnded(now model.Instant, run *model.EndedRun) bool {
	reg := &run.Registration
	if reg.Boot == 0 || reg.Number == 0 || !reg.Address.IsValid() || run.Age < 0 || run.Age >= r.cfg.TagRetention {
		return false
	}
	u := &Upstream{
		Registration: *reg, Era: run.Era, Tag: routingTag(reg), State: StateGone, Since: now.Add(-run.Age), adopted: true,
		replaced: run.Replaced && !r.mayServe(now, reg),
	}
	if known := r.tags[u.key()]; known != nil {
		if known.adopted && known.isRun(reg) {
			known.replaced = known.replaced || u.replaced
		}
		return false
	}
	u.Health.MarkSuspect(now)
	r.tags[u.key()] = u
	r.ended = append(r.ended, u)
	return true
}

// mayServe reports whether a registration has been listed here that was not applied, and that may be of the run that reg names.
func (r *Roster) mayServe(now model.Instant, reg *model.Registration) bool {
	c := r.contests[reg.ID]
	return (c != nil && sameRun(&c.registration, reg)) || now < r.unused[routingTag(reg)]
}
