package model

// Listing is the complete set of objects of one kind at one revision of the store.
type Listing[T any] struct {
	Items []T
	// Unreadable names the objects that could not be decoded; they are not in Items.
	Unreadable []string
	Revision   Revision
	// Era is the era of Revision and of the revisions of Items.
	Era Era
}

// At returns the state of the store that the listing shows.
func (l Listing[T]) At() Position {
	return Position{Era: l.Era, Revision: l.Revision}
}

// Changes is the difference between the objects of one kind at two revisions of the store.
type Changes[T any] struct {
	// Items holds the objects that were created or modified.
	Items []T
	// Deleted names the objects that were deleted.
	Deleted []string
	// Unreadable names the created or modified objects that could not be decoded.
	Unreadable []string
	// Newest is the revision of the last change; zero if there is none.
	Newest Revision
	// Revisions holds the revision of each change, also of those that a later change of the same object replaced.
	Revisions []Revision
	// Revision is the revision up to which the changes are complete.
	Revision Revision
	// Era is the era of all revisions.
	Era Era
}

// Apply returns the listing after the changes, which must be of the same era; name returns the name of an object. The receiver is not modified.
func (l Listing[T]) Apply(c Changes[T], name func(*T) string) Listing[T] {
	out := Listing[T]{Revision: max(l.Revision, c.Revision), Era: l.Era}
	out.Items = Merge(l.Items, c.Items, append(c.Deleted[:len(c.Deleted):len(c.Deleted)], c.Unreadable...), name)
	readable := make([]string, 0, len(c.Items)+len(c.Deleted))
	for i := range c.Items {
		readable = append(readable, name(&c.Items[i]))
	}
	text := func(s *string) string { return *s }
	out.Unreadable = Merge(l.Unreadable, c.Unreadable, append(readable, c.Deleted...), text)
	return out
}

// Merge returns the current items with modified ones replaced in place, deleted ones removed and new ones appended.
func Merge[T any](current, changed []T, deleted []string, name func(*T) string) []T {
	updates := make(map[string]*T, len(changed))
	for i := range changed {
		updates[name(&changed[i])] = &changed[i]
	}
	removed := make(map[string]bool, len(deleted))
	for _, id := range deleted {
		removed[id] = true
	}
	out := make([]T, 0, len(current)+len(changed))
	for i := range current {
		id := name(&current[i])
		switch item := updates[id]; {
		case item != nil:
			out = append(out, *item)
			delete(updates, id)
		case !removed[id]:
			out = append(out, current[i])
		}
	}
	for i := range changed {
		if updates[name(&changed[i])] != nil {
			out = append(out, changed[i])
		}
	}
	return out
}

// UpstreamName returns the name of a registration in the store.
func UpstreamName(r *Registration) string {
	return string(r.ID)
}

// DomainName returns the name of a failure domain in the store.
func DomainName(d *DomainID) string {
	return string(*d)
}

// RouteName returns the name of a route in the route table.
func RouteName(r *Route) string {
	return r.Name
}
