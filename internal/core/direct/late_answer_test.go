package direct_test

import (
	"fmt"
	"testing"
	"time"

	"hawthorncourse/internal/core/direct"
	"hawthorncourse/internal/core/health"
	"hawthorncourse/internal/core/model"
)

// TestLateAnswerInFirstRequest guards against open flows that an upstream resets which has only answered their SYN: while the first request is not answered, the
// caller retransmits it with the tag of a late answer, by way of an instance that does not know at which upstream the flow is open. The cases are those seen in
// traces of review/11.
func TestLateAnswerInFirstRequest(t *testing.T) {
	const firstCopy, retransmission = 200 * time.Millisecond, 200 * time.Millisecond
	// staysAway checks that no packet of an action list goes to an upstream.
	staysAway := func(h *harness, u model.UpstreamID, actions []direct.Action) {
		h.Helper()
		for _, a := range actions {
			h.True(a.Verb != model.VerbReset)
			h.True(a.Verb != model.VerbForward || a.Upstream.ID != u)
		}
	}
	// retransmit sends the first request again, with another tag, and waits until nothing is held any more.
	retransmit := func(h *harness, now model.Instant, tag model.RoutingTag, away model.UpstreamID) {
		h.Helper()
		h.now = now.Add(retransmission)
		staysAway(h, away, []direct.Action{h.send(packet(tag, 1))})
		staysAway(h, away, h.advanceProbed(600*time.Millisecond, health.OutcomeAnswered))
	}
	cases := map[string]func(h, other *harness){
		"the first answer was lost, and the flow moves": func(h, other *harness) {
			a := h.send(syn1(0, 0))
			b := h.sentElsewhere(a)
			h.goesTo(b.Upstream, packet(b.Mark, 1))
			retransmit(other, h.now, a.Mark, a.Upstream.ID)
			retransmit(h, h.now, a.Mark, a.Upstream.ID)
		},
		"copies went through two instances, and the flow moves back": func(h, other *harness) {
			a := h.send(syn1(0, 0))
			h.advanceProbed(firstCopy, health.OutcomeAnswered)
			other.now = h.now
			b := other.send(syn1(0, 1))
			for b.Upstream.ID == a.Upstream.ID {
				// The other instance has drawn the same upstream.
				other.restart(t)
				b = other.send(syn1(0, 1))
			}
			other.now = other.now.Add(8 * time.Millisecond)
			other.goesTo(b.Upstream, packet(b.Mark, 1))
			retransmit(h, other.now.Add(2*retransmission), a.Mark, a.Upstream.ID)
			retransmit(other, other.now, a.Mark, a.Upstream.ID)
		},
		"the flow moves before its first packet, and back": func(h, other *harness) {
			a := h.send(syn1(0, 0))
			other.now = h.now.Add(8 * time.Millisecond)
			other.goesTo(other.in(a.Upstream), packet(a.Mark, 1))
			for _, b := range h.advanceProbed(2*retransmission, health.OutcomeAnswered) {
				if b.Verb == model.VerbForward {
					retransmit(h, h.now, b.Mark, b.Upstream.ID)
				}
			}
			// An upstream that has answered nothing for long is not taken for silent.
			h.Equal(forwards(h.advanceProbed(2*time.Second, health.OutcomeAnswered)), 0)
		},
	}
	for name, check := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, threeUpstreams()...)
			check(h, h.restarted(t))
		})
	}
}

// TestLeases checks when a SYN gets a lease, and when another instance follows its tag.
func TestLeases(t *testing.T) {
	cases := map[string]struct {
		// prepare sets up the instance that places the SYN, and wait is the time until the caller's first packet comes to the other instance.
		prepare func(h *harness)
		syn     model.Segment
		wait    time.Duration
		// other sets up the other instance.
		other   func(h *harness)
		follows bool
	}{
		"in time":                       {wait: 60 * time.Millisecond, follows: true},
		"too late":                      {wait: 90 * time.Millisecond},
		"a copy of the SYN":             {syn: syn1(0, 1), wait: 10 * time.Millisecond, follows: true},
		"a copy of the SYN, too late":   {syn: syn1(0, 1), wait: 90 * time.Millisecond},
		"the shared time is not known":  {prepare: func(h *harness) { h.engine.SetClock(readingOf(0, 0, 0)) }, wait: 10 * time.Millisecond},
		"not known at the other":        {other: func(h *harness) { h.engine.SetClock(readingOf(0, 0, 0)) }, wait: 10 * time.Millisecond},
		"another epoch at the other":    {other: func(h *harness) { h.engine.SetClock(readingOf(2, h.now, 0)) }, wait: 10 * time.Millisecond},
		"uncertain at both":             {prepare: blurred, other: blurred, wait: 10 * time.Millisecond, follows: true},
		"uncertain at both, and late":   {prepare: blurred, other: blurred, wait: 60 * time.Millisecond},
		"the SYN waited in a queue":     {prepare: func(h *harness) { h.engine.WithholdLeases(h.now.Add(time.Millisecond)) }, wait: 10 * time.Millisecond},
		"the SYN was held for a moment": {syn: delayed(syn1(0, 0), 50*time.Millisecond), wait: 10 * time.Millisecond, follows: true},
		"the SYN was held for longer":   {syn: delayed(syn1(0, 0), 100*time.Millisecond), wait: 10 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, threeUpstreams()...)
			other := h.restarted(t)
			if tc.prepare != nil {
				tc.prepare(h)
			}
			if tc.other != nil {
				tc.other(other)
			}
			syn := tc.syn
			if !syn.Syn {
				syn = syn1(0, 0)
			}
			a := h.send(syn)
			other.now = other.now.Add(tc.wait)
			b := other.send(packet(a.Mark, 1))
			other.Equal(b.Verb == model.VerbForward, tc.follows)
			if !tc.follows {
				other.Equal(b.Reason, model.ReasonTagUnproven)
			}
		})
	}
}

// TestSynWaitsForLease checks that a SYN goes to a second upstream as soon as its lease is over, and not before, and that a copy that comes before goes to the
// first one again.
func TestSynWaitsForLease(t *testing.T) {
	h := newHarness(t, threeUpstreams()...)
	start := h.now
	a := h.send(syn1(0, 0))
	h.awaitProbe(a.Upstream)
	h.Equal(forwards(h.engine.FinishProbe(h.now, a.Upstream, health.OutcomeFull)), 0)
	h.Equal(h.send(syn1(0, 0)).Upstream, a.Upstream)
	h.Equal(forwards(h.advance(leaseTime-2*h.now.Sub(start))), 0)
	h.Equal(forwards(h.advance(2*leaseTime)), 1)
}

// TestSynHeldAtStart guards against flows that hang since their SYN was held while the instance started: the first packet comes long after the caller has sent
// the SYN. If the caller has got an answer meanwhile, the SYN goes nowhere.
func TestSynHeldAtStart(t *testing.T) {
	const held = 260 * time.Millisecond
	for _, answered := range []bool{false, true} {
		t.Run(fmt.Sprintf("answered meanwhile: %t", answered), func(t *testing.T) {
			h := newHarness(t, threeUpstreams()...)
			h.engine = direct.New(direct.Config{Domain: "east", Seed: 1, Limits: direct.Limits{FlowLife: time.Minute}})
			h.engine.SetRoutes(routeTable(1))
			h.Equal(h.send(syn1(0, 1)).Reason, model.ReasonNotReady)
			if answered {
				h.Equal(h.send(packet(h.newTag(), 1)).Reason, model.ReasonNotReady)
			}
			h.now = h.now.Add(held)
			h.sync(threeUpstreams()...)
			var syns []direct.Action
			for _, a := range h.engine.SetReady(h.now) {
				if a.Verb == model.VerbForward {
					syns = append(syns, a)
				}
			}
			if answered {
				h.Equal(len(syns), 0)
				return
			}
			h.Equal(len(syns), 1)
			h.now = h.now.Add(8 * time.Millisecond)
			h.goesTo(syns[0].Upstream, packet(syns[0].Mark, 1))
		})
	}
}

// newTag returns the opening tag that another instance has sent to an upstream, without a lease.
func (h *harness) newTag() model.RoutingTag {
	return tagOf(registration(1, "east")).Opening(flowKey(1, feedAddress), 1, model.NoLease)
}
