package fresh

import "hawthorncourse/internal/core/model"

// CaughtUp reports whether changes that were read one kind at a time lead to the state of the store at a revision: each kind was
// complete up to there, and the store's last change is among those that were seen. A change that nobody explains may be one that the
// store keeps to itself for a while.
func CaughtUp(at, newest model.Revision, complete ...model.Revision) bool {
	for _, rev := range complete {
		if rev < at {
			return false
		}
	}
	return newest >= at
}
