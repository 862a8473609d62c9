package entry

import (
	"github.com/uber-go/tally/v4"

	"hawthorncourse/internal/base/count"
	"hawthorncourse/internal/core/model"
)

// verbNames begin the names of the counters of actions.
var verbNames = map[model.Verb]string{
	model.VerbForward:        "forward",
	model.VerbHandOff:        "hand",
	model.VerbHandOffAnswer:  "hand_answer",
	model.VerbDeliver:        "deliver",
	model.VerbChallenge:      "challenge",
	model.VerbRefuse:         "refuse",
	model.VerbOutcomeUnknown: "unknown",
	model.VerbDrop:           "note",
}

// tallies holds a counter for each verb and reason.
type tallies struct {
	set      *count.Set
	counters map[tallyKey]tally.Counter
}

type tallyKey struct {
	verb   model.Verb
	reason model.Reason
}

func newTallies(set *count.Set) *tallies {
	t := &tallies{set: set, counters: map[tallyKey]tally.Counter{}}
	for verb := range verbNames {
		for _, reason := range model.Reasons() {
			t.counters[tallyKey{verb: verb, reason: reason}] = set.Counter(counterName(verb, reason))
		}
	}
	return t
}

func counterName(verb model.Verb, reason model.Reason) string {
	if reason == model.ReasonNone {
		return verbNames[verb]
	}
	return verbNames[verb] + "." + reason.String()
}

func (t *tallies) count(a *model.Action) {
	t.counters[tallyKey{verb: a.Verb, reason: a.Reason}].Inc(1)
}

func (t *tallies) drop(reason model.Reason) {
	t.counters[tallyKey{verb: model.VerbDrop, reason: reason}].Inc(1)
}
