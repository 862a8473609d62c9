package entry

import (
	"github.com/uber-go/tally/v4"

	"hawthorncourse/internal/base/count"
	"hawthorncourse/internal/core/model"
)

// counterPrefixes holds the first part of the counter name of each verb.
var counterPrefixes = map[model.Verb]string{
	model.VerbForward:        "forward",
	model.VerbHandOff:        "hand",
	model.VerbHandOffAnswer:  "hand_answer",
	model.VerbDeliver:        "deliver",
	model.VerbChallenge:      "challenge",
	model.VerbRefuse:         "refuse",
	model.VerbOutcomeUnknown: "unknown",
	model.VerbDrop:           "note",
}

// actionCounters holds one counter per verb and reason.
type actionCounters struct {
	set      *count.Set
	counters map[actionKey]tally.Counter
}

type actionKey struct {
	verb   model.Verb
	reason model.Reason
}

func newActionCounters(set *count.Set) *actionCounters {
	t := &actionCounters{set: set, counters: map[actionKey]tally.Counter{}}
	for verb := range counterPrefixes {
		for _, reason := range model.Reasons() {
			t.counters[actionKey{verb: verb, reason: reason}] = set.Counter(counterName(verb, reason))
		}
	}
	return t
}

// counterName returns the prefix of the verb, followed by the reason if there is one.
func counterName(verb model.Verb, reason model.Reason) string {
	if reason == model.ReasonNone {
		return counterPrefixes[verb]
	}
	return counterPrefixes[verb] + "." + reason.String()
}

func (t *actionCounters) count(a *model.Action) {
	t.counters[actionKey{verb: a.Verb, reason: a.Reason}].Inc(1)
}

// drop counts a packet that was dropped without an action of the engine.
func (t *actionCounters) drop(reason model.Reason) {
	t.counters[actionKey{verb: model.VerbDrop, reason: reason}].Inc(1)
}
