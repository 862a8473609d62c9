package fresh

import (
	"slices"

	"hawthorncourse/internal/core/model"
)

// Accounted reports whether the changes of one kind of objects, given by their revisions, are all changes of the store after since and up to
// target. Every change has a revision of its own, so if this kind has a change at each of these revisions, no other kind has changed.
func Accounted(since, target model.Revision, revisions []model.Revision) bool {
	if target <= since || uint64(len(revisions)) < uint64(target-since) {
		return false
	}
	sorted := slices.Sorted(slices.Values(revisions))
	sorted = slices.Compact(sorted)
	first, found := slices.BinarySearch(sorted, since+1)
	last := first + int(target-since) - 1
	return found && last < len(sorted) && sorted[last] == target
}

// CaughtUp reports whether changes that were read separately for each kind of object add up to the state of the store at revision target:
// every kind must be complete up to target, and the newest change seen must be at least as new. Otherwise the store may be withholding a
// change, which it can do for some time after the write.
func CaughtUp(target, newest model.Revision, complete ...model.Revision) bool {
	for _, rev := range complete {
		if rev < target {
			return false
		}
	}
	return newest >= target
}
