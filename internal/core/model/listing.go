package model

// Listing is all readable objects of one kind at one revision.
type Listing[T any] struct {
	Items []T
	// Unreadable names the objects whose content could not be understood.
	Unreadable []string
	Revision   Revision
}

// Changes is how the objects of one kind differ from what they were at an earlier revision.
type Changes[T any] struct {
	// Items holds the objects that are new or different.
	Items []T
	// Deleted names the objects that are no more.
	Deleted []string
	// Unreadable names the new or different objects whose content could not be understood.
	Unreadable []string
	// Newest is the revision of the last change; zero for none.
	Newest Revision
	// Revision is up to where the changes are complete.
	Revision Revision
}

// Apply returns the listing after the changes; name returns what an object is called.
func (l Listing[T]) Apply(c Changes[T], name func(*T) string) Listing[T] {
	out := Listing[T]{Revision: max(l.Revision, c.Revision)}
	out.Items = Merge(l.Items, c.Items, append(c.Deleted[:len(c.Deleted):len(c.Deleted)], c.Unreadable...), name)
	readable := make([]string, 0, len(c.Items)+len(c.Deleted))
	for i := range c.Items {
		readable = append(readable, name(&c.Items[i]))
	}
	text := func(s *string) string { return *s }
	out.Unreadable = Merge(l.Unreadable, c.Unreadable, append(readable, c.Deleted...), text)
	return out
}

// Merge returns the items of have without those that are gone, with changed ones in their place and new ones behind.
func Merge[T any](have, changed []T, gone []string, name func(*T) string) []T {
	next := make(map[string]*T, len(changed))
	for i := range changed {
		next[name(&changed[i])] = &changed[i]
	}
	ended := make(map[string]bool, len(gone))
	for _, id := range gone {
		ended[id] = true
	}
	out := make([]T, 0, len(have)+len(changed))
	for i := range have {
		id := name(&have[i])
		switch item := next[id]; {
		case item != nil:
			out = append(out, *item)
			delete(next, id)
		case !ended[id]:
			out = append(out, have[i])
		}
	}
	for i := range changed {
		if next[name(&changed[i])] != nil {
			out = append(out, changed[i])
		}
	}
	return out
}

// UpstreamName returns the name of an upstream's entry.
func UpstreamName(r *Registration) string {
	return string(r.ID)
}

// DomainName returns the name of a failure domain.
func DomainName(d *DomainID) string {
	return string(*d)
}

// RouteName returns the name of a route.
func RouteName(r *Route) string {
	return r.Name
}
