package change

import (
	"fmt"
	"reflect"
	"slices"

	"hawthorncourse/internal/core/model"
)

// Difference is one entry of the document that a change adds, modifies or removes.
type Difference struct {
	// What is the kind and ID of the entry, such as "upstream order-desk-3".
	What string
	// From and To describe the entry before and after the change; From is empty for a new entry, To for a removed one.
	From, To string
}

// Diff returns the entries that differ between old and next; old may be nil.
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

// entryTexts holds a text description of each entry of a document.
type entryTexts struct {
	// order holds the entries in document order; text is keyed by entry.
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

// describe returns the names and values of the non-zero fields of a struct.
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

// Effect is one consequence of a change, for the operator to review.
type Effect struct {
	Text string
	// Grave effects need an explicit confirmation.
	Grave bool
}

// Effects returns the consequences of replacing old with next; streams is the number of open streams per upstream.
func Effects(old, next *model.Document, streams map[model.UpstreamID]int) []Effect {
	if old == nil {
		return []Effect{{Text: "The first document takes effect."}}
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
		out = append(out, Effect{Text: fmt.Sprintf("%d open streams are closed.", closing)})
	}
	for _, s := range next.Services {
		before, after := capacity(old, s.ID, oldStates), capacity(next, s.ID, newStates)
		switch {
		case after == 0:
			out = append(out, Effect{Text: fmt.Sprintf("Service %s has no upstream that accepts new work.", s.ID), Grave: true})
		case before != after:
			out = append(out, Effect{Text: fmt.Sprintf("Capacity of %s changes from %d to %d slots.", s.ID, before, after)})
		}
	}
	for _, s := range old.Services {
		if !slices.ContainsFunc(next.Services, func(n model.Service) bool { return n.ID == s.ID }) {
			out = append(out, Effect{Text: fmt.Sprintf("Service %s is removed.", s.ID), Grave: true})
		}
	}
	if next.KeyEpoch != old.KeyEpoch {
		out = append(out, Effect{Text: "New binding keys are generated; bindings made with the key before the current one become invalid."})
	}
	return out
}

// routing states which flows may be routed to one upstream.
type routing struct {
	// established allows flows that are already open; newWork allows new requests and streams.
	established, newWork bool
}

// routingOf returns the routing of each upstream of a document.
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

// capacity returns the number of slots of a service on upstreams that accept new work.
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
