package relay

import (
	"github.com/uber-go/tally/v4"

	"hawthorncourse/internal/base/count"
	"hawthorncourse/internal/core/model"
)

// verbNames begin the names of the counters of actions.
var verbNames = map[model.Verb]string{
	model.VerbForward: "flow.forward",
	model.VerbReset:   "flow.reset",
	model.VerbDrop:    "flow.drop",
	model.VerbProbe:   "upstream.probe",
}

// tallies holds a counter for each verb and reason, made at its first use.
type tallies struct {
	set      *count.Set
	counters map[tallyKey]tally.Counter
	dropped  map[model.Reason]tally.Counter
}

type tallyKey struct {
	verb   model.Verb
	reason model.Reason
}

// readerReasons are those that the read and send paths count beside the decide duty.
var readerReasons = []model.Reason{model.ReasonMalformed, model.ReasonRingFull, model.ReasonSendFailed, model.ReasonReceiveFailed}

func newTallies(set *count.Set) *tallies {
	t := &tallies{set: set, counters: map[tallyKey]tally.Counter{}, dropped: map[model.Reason]tally.Counter{}}
	for _, reason := range readerReasons {
		t.dropped[reason] = set.Counter(verbNames[model.VerbDrop] + "." + reason.String())
	}
	return t
}

// count is called by the decide duty only.
func (t *tallies) count(verb model.Verb, reason model.Reason) {
	key := tallyKey{verb: verb, reason: reason}
	c := t.counters[key]
	if c == nil {
		c = t.set.Counter(verbNames[verb] + "." + reason.String())
		t.counters[key] = c
	}
	c.Inc(1)
}

func (t *tallies) drop(reason model.Reason) {
	t.dropped[reason].Inc(1)
}
