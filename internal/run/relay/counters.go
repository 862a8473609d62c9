package relay

import (
	"github.com/uber-go/tally/v4"

	"hawthorncourse/internal/base/count"
	"hawthorncourse/internal/core/model"
)

// counterPrefixes holds the first part of the counter name of each verb.
var counterPrefixes = map[model.Verb]string{
	model.VerbForward: "flow.forward",
	model.VerbReset:   "flow.reset",
	model.VerbDrop:    "flow.drop",
	model.VerbProbe:   "upstream.probe",
	model.VerbHold:    "flow.hold",
}

// actionCounters holds one counter per verb and reason.
type actionCounters struct {
	set *count.Set
	// counters is filled at the first use of each counter; only the decision loop uses it.
	counters map[actionKey]tally.Counter
	// unleased counts the SYNs that were sent without a lease.
	unleased tally.Counter
	// dropped holds the counters for ioReasons and is never changed.
	dropped map[model.Reason]tally.Counter
}

type actionKey struct {
	verb   model.Verb
	reason model.Reason
}

// ioReasons are the reasons for drops outside the engine. Some of these drops are counted by goroutines other than the decision loop.
var ioReasons = []model.Reason{model.ReasonMalformed, model.ReasonRingFull, model.ReasonSendFailed, model.ReasonReceiveFailed, model.ReasonEgressFull}

func newActionCounters(set *count.Set) *actionCounters {
	t := &actionCounters{set: set, unleased: set.Counter("flow.syn_unleased"), counters: map[actionKey]tally.Counter{}, dropped: map[model.Reason]tally.Counter{}}
	for _, reason := range ioReasons {
		t.dropped[reason] = set.Counter(counterPrefixes[model.VerbDrop] + "." + reason.String())
	}
	return t
}

// count counts an action. It must be called by the decision loop only.
func (t *actionCounters) count(verb model.Verb, reason model.Reason) {
	key := actionKey{verb: verb, reason: reason}
	c := t.counters[key]
	if c == nil {
		c = t.set.Counter(counterPrefixes[verb] + "." + reason.String())
		t.counters[key] = c
	}
	c.Inc(1)
}

// drop counts a packet dropped for one of ioReasons. It may be called by any goroutine.
func (t *actionCounters) drop(reason model.Reason) {
	t.dropped[reason].Inc(1)
}
