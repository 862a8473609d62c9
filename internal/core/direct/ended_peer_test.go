package direct_test

import (
	"testing"
	"time"

	"hawthorncourse/internal/core/health"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

// endedAge is how long the ended runs of the tests have been gone.
const endedAge = 10 * time.Second

// sharedTagNumbers are the numbers of two upstreams of the service "desk" whose runs with start 1 have the same tag.
var sharedTagNumbers = [2]model.EndpointNumber{16450, 37106}

// lostPower returns the last registration of a run that had ended before the engine of the harness started.
func lostPower() model.Registration {
	return registration(9, "east")
}

// hear passes a run to the engine that another instance has seen end, releases the held packets and returns the run.
func (h *harness) hear(reg model.Registration, replaced bool) (*roster.Upstream, map[model.Verb]int) {
	h.Helper()
	h.engine.Roster().AddEnded(h.now, []model.EndedRun{{Registration: reg, Age: endedAge, Replaced: replaced}})
	verbs := map[model.Verb]int{}
	for _, a := range h.engine.ReleaseHeld(h.now) {
		verbs[a.Verb]++
		if a.Verb == model.VerbReset {
			h.Equal(a.Reason, model.ReasonUpstreamGone)
		}
	}
	return h.engine.Roster().ByTag("desk", tagOf(reg)), verbs
}

// TestEndedBeforeStart checks what an engine does with packets of a run that had ended before it started, once another instance has told it of the run. It
// guards against silence towards callers of ended flows, and against resets of flows whose upstream may serve.
func TestEndedBeforeStart(t *testing.T) {
	cases := map[string]func(*harness){
		"a run that nobody knows is held": func(h *harness) {
			h.Equal(h.data(1, feedAddress, tagOf(lostPower())).Verb, model.VerbHold)
		},
		"a replaced run is reset at the first packet": func(h *harness) {
			up, _ := h.hear(lostPower(), true)
			h.checkEnded(up)
		},
		"held packets of a replaced run are reset": func(h *harness) {
			h.Equal(h.data(1, feedAddress, tagOf(lostPower())).Verb, model.VerbHold)
			h.Equal(h.data(2, orderAddress, tagOf(lostPower())).Verb, model.VerbHold)
			_, verbs := h.hear(lostPower(), true)
			h.Equal(verbs, map[model.Verb]int{model.VerbReset: 2})
		},
		"a run that may serve gets the held packets, is probed and ends after three failed probes": func(h *harness) {
			h.Equal(h.data(1, feedAddress, tagOf(lostPower())).Verb, model.VerbHold)
			h.Equal(h.data(2, orderAddress, tagOf(lostPower())).Verb, model.VerbHold)
			up, verbs := h.hear(lostPower(), false)
			h.Equal(verbs, map[model.Verb]int{model.VerbForward: 2, model.VerbProbe: 1})
			h.engine.FinishProbe(h.now, up, health.OutcomeFailed)
			h.checkForwarded(up)
			h.failProbe(up)
			h.checkForwarded(up)
			h.failProbe(up)
			h.checkEnded(up)
		},
		"a run without flows here is not probed": func(h *harness) {
			h.hear(lostPower(), false)
			for _, a := range h.advance(5 * time.Second) {
				h.True(a.Verb != model.VerbProbe)
			}
		},
		"a run that answers probes gets its packets": func(h *harness) {
			up, _ := h.hear(lostPower(), false)
			h.checkForwarded(up)
			for range 5 {
				h.engine.FinishProbe(h.now, up, health.OutcomeAnswered)
				h.advance(time.Second)
				h.checkForwarded(up)
			}
		},
		"a run that becomes replaced is reset": func(h *harness) {
			up, _ := h.hear(lostPower(), false)
			h.checkForwarded(up)
			h.hear(lostPower(), true)
			h.checkEnded(up)
		},
		"a failed probe says nothing about the failure domain": func(h *harness) {
			up, _ := h.hear(lostPower(), false)
			second := registration(10, "east")
			other, _ := h.hear(second, false)
			h.checkForwarded(up)
			h.Equal(h.data(3, feedAddress, other.Tag).Upstream, other)
			for _, u := range []*roster.Upstream{up, other} {
				h.engine.FinishProbe(h.now, u, health.OutcomeFailed)
				h.failProbe(u)
				h.failProbe(u)
			}
			h.True(!h.engine.Isolated())
			for _, event := range h.engine.TakeEvents() {
				h.True(event.Domain == "")
			}
		},
		"a listed run keeps its packets whatever is said of it": func(h *harness) {
			up := h.engine.Roster().ByService("desk")[0]
			same, _ := h.hear(up.Registration, true)
			h.Equal(same, up)
			h.checkForwarded(up)
		},
		"a tag shared with a listed run stays with it": func(h *harness) {
			listed, ended := registration(11, "east"), registration(12, "east")
			listed.Number, ended.Number = sharedTagNumbers[0], sharedTagNumbers[1]
			h.sync(listed)
			h.Equal(tagOf(listed), tagOf(ended))
			up, _ := h.hear(ended, true)
			h.Equal(up.ID, listed.ID)
			h.checkForwarded(up)
		},
		"a run gets packets for as long as it would elsewhere": func(h *harness) {
			up, _ := h.hear(lostPower(), true)
			h.advance(time.Minute - endedAge - 10*time.Millisecond)
			h.checkEnded(up)
			h.advance(20 * time.Millisecond)
			h.Equal(h.data(1, feedAddress, tagOf(lostPower())).Verb, model.VerbHold)
		},
		"a run that registers again gets its packets": func(h *harness) {
			up, _ := h.hear(lostPower(), false)
			h.checkForwarded(up)
			h.sync(append(threeUpstreams(), lostPower())...)
			h.Equal(up.State, roster.StateListed)
			h.checkForwarded(up)
		},
	}
	for name, check := range cases {
		t.Run(name, func(t *testing.T) {
			check(newHarness(t, threeUpstreams()...))
		})
	}
}
