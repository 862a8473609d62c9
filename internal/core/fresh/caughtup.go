package fresh

import "hawthorncourse/internal/core/model"

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
