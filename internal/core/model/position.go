package model

import "cmp"

// Era counts how often the platform's store has been restored from an older copy. A restore sets the store's revision back, and the revisions
// that it loses are given out again, so revisions of different eras say nothing about which is newer.
type Era uint64

// Position is one state of the platform's store.
type Position struct {
	Era      Era
	Revision Revision
}

// Compare returns a negative number if p is an earlier state than q, a positive one if it is a later state, and zero if they are the same.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}
