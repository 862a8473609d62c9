package change

import (
	"fmt"
	"reflect"
	"slices"

	"hawthorncourse/internal/core/model"
)

// Difference is one thing that a change makes otherwise.
type Difference struct {
	// What names the entry, such as "upstream order-desk-3".
	What string
	// From and To are the entry before and after; empty for none.
	From, To string
}

// Diff returns what next makes otherwise than old; old may be nil.
func Diff(old, next *model.Document) []Difference {
	before, after := listEntries(old), listEntries(next)
	var out []Difference
	for _, e := range before.order {
		if after.text[e] != before.text[e] {
			out = append(out, Difference{What: e, From: before.text[e], To: after.text[e]})
		}
	}
	for _, e := range after.order {
		if _, known := before.text[e]; !known {
			out = append(out, Difference{What: e, To: after.text[e]})
		}
	}
	return out
}

// entryTexts is a document as texts by entry.
type entryTexts struct {
	order []string
	text  map[string]string
}

func (l *entryTexts) add(what, text string) {
	l.order = append(l.order, what)
	l.text[what] = text
}

func listEntries(doc *model.Document) entryTexts {
	l := entryTexts{text: map[string]string{}}
	if doc == nil {
		return l
	}
	l.add("document", describe(struct {
		Note     string
		KeyEpoch model.Epoch
	}{Note: doc.Note, KeyEpoch: doc.KeyEpoch}))
	l.add("timing", describe(doc.Timing))
	for _, d := range doc.Domains {
		l.add("domain "+string(d.ID), describe(d))
	}
	for _, s := range doc.Services {
		upstreams := s.Upstreams
		s.Upstreams = nil
		l.add("service "+string(s.ID), describe(s))
		for _, u := range upstreams {
			l.add("upstream "+string(u.ID), describe(u)+" service "+string(s.ID))
		}
	}
	return l
}

// describe lists the fields of a struct that are set.
func describe(v any) string {
	val := reflect.ValueOf(v)
	text := ""
	for i := range val.NumField() {
		if field := val.Field(i); !field.IsZero() {
			text += fmt.Sprintf(" %s %v", val.Type().Field(i).Name, field.Interface())
		}
	}
	return text
}

// Effect is one thing that will happen when a change is in force.
type Effect struct {
	Text string
	// Grave effects are asked about once more.
	Grave bool
}

// Effects returns what will happen; streams is the number of open streams by upstream.
func Effects(old, next *model.Document, streams map[model.UpstreamID]int) []Effect {
	if old == nil {
		return []Effect{{Text: "The first document comes into force."}}
	}
	var out []Effect
	oldStates, newStates := routingOf(old), routingOf(next)
	closing := 0
	for id, n := range streams {
		if oldStates[id].established && !newStates[id].established {
			closing += n
		}
	}
	if closing > 0 {
		out = append(out, Effect{Text: fmt.Sprintf("%d streams end.", closing)})
	}
	for _, s := range next.Services {
		before, after := capacity(old, s.ID, oldStates), capacity(next, s.ID, newStates)
		switch {
		case after == 0:
			out = append(out, Effect{Text: fmt.Sprintf("Service %s has no upstream for new work.", s.ID), Grave: true})
		case before != after:
			out = append(out, Effect{Text: fmt.Sprintf("Capacity of %s changes from %d to %d slots.", s.ID, before, after)})
		}
	}
	for _, s := range old.Services {
		if !slices.ContainsFunc(next.Services, func(n model.Service) bool { return n.ID == s.ID }) {
			out = append(out, Effect{Text: fmt.Sprintf("Service %s is gone.", s.ID), Grave: true})
		}
	}
	if next.KeyEpoch != old.KeyEpoch {
		out = append(out, Effect{Text: "New binding keys are made; bindings of the key before the present one end."})
	}
	return out
}

// routing is what may go to one upstream.
type routing struct {
	// established is set while established flows go on, open while new work is taken.
	established, newWork bool
}

func routingOf(doc *model.Document) map[model.UpstreamID]routing {
	out := map[model.UpstreamID]routing{}
	for _, s := range doc.Services {
		for _, u := range s.Upstreams {
			d, _ := doc.Domain(u.Domain)
			out[u.ID] = routing{established: !d.Out, newWork: !d.Out && !u.Leaving}
		}
	}
	return out
}

func capacity(doc *model.Document, id model.ServiceID, states map[model.UpstreamID]routing) int {
	slots := 0
	for _, s := range doc.Services {
		if s.ID != id {
			continue
		}
		for _, u := range s.Upstreams {
			if states[u.ID].newWork {
				slots += u.Slots
			}
		}
	}
	return slots
}
