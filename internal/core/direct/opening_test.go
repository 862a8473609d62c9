package direct_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/direct"
	"hawthorncourse/internal/core/health"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

// secondAnswer sends the SYN of flow 1 to an upstream and, since that counts as full for a moment, to another one. It returns both and the opening tags that they
// echo.
func (h *harness) secondAnswer() (first, second *roster.Upstream, firstTag, secondTag model.RoutingTag) {
	h.Helper()
	a := h.send(syn1(0, 0))
	b := h.sentElsewhere(a)
	return a.Upstream, b.Upstream, a.Mark, b.Mark
}

// sentElsewhere lets the next probe of the upstream of a SYN find it full, and returns the SYN to the second upstream.
func (h *harness) sentElsewhere(a direct.Action) direct.Action {
	h.Helper()
	h.awaitProbe(a.Upstream)
	actions := slices.Clone(h.engine.FinishProbe(h.now, a.Upstream, health.OutcomeFull))
	for _, b := range append(actions, h.advance(leaseTime)...) {
		if b.Verb == model.VerbForward {
			h.True(b.Upstream != a.Upstream)
			return b
		}
	}
	h.Fail()
	return direct.Action{}
}

// leaseTime is the length of a lease.
const leaseTime = 80 * time.Millisecond

// restarted returns a harness with the engine of an instance that has just started and knows no flow.
func (h *harness) restarted(t *testing.T) *harness {
	next := newHarness(t, threeUpstreams()...)
	next.now = h.now
	return next
}

// in returns the upstream of another instance's roster.
func (h *harness) in(u *roster.Upstream) *roster.Upstream {
	return h.engine.Roster().Get(u.ID)
}

// TestSecondAnswerAtOtherInstance guards against open flows that are reset by an upstream that has only answered their SYN: routers move the flow to an
// instance that does not know it, while its caller echoes the tag of that answer.
func TestSecondAnswerAtOtherInstance(t *testing.T) {
	cases := map[string]func(h, other *harness){
		"a later packet is held, dropped and never reset": func(h, other *harness) {
			_, _, _, late := h.secondAnswer()
			for range 10 {
				a := other.send(packet(late, 101))
				other.Equal(a.Verb, model.VerbHold)
				other.Equal(a.Reason, model.ReasonTagUnproven)
				for _, a := range other.advance(600 * time.Millisecond) {
					other.Equal(a.Verb, model.VerbDrop)
				}
				other.now = other.now.Add(200 * time.Millisecond)
				other.engine.Roster().Confirm(other.now, other.now)
			}
		},
		"a later packet is not reset when the other upstream has ended": func(h, other *harness) {
			_, second, _, late := h.secondAnswer()
			other.makeUnreachable(other.in(second))
			other.Equal(other.send(packet(late, 101)).Verb, model.VerbHold)
			for _, a := range other.advance(600 * time.Millisecond) {
				other.True(a.Verb != model.VerbReset)
			}
		},
		"the tag of the open flow's upstream is followed": func(h, other *harness) {
			first, _, firstTag, late := h.secondAnswer()
			a := h.goesTo(first, packet(firstTag, 1))
			h.Equal(a.Mark, first.Tag)
			other.send(packet(late, 101))
			other.advance(600 * time.Millisecond)
			other.goesTo(other.in(first), packet(a.Mark, 101))
			other.goesTo(other.in(first), packet(late, 201))
		},
		"the first packet goes to the only upstream while its lease lasts": func(h, other *harness) {
			a := h.send(syn1(0, 0))
			other.now = h.now.Add(10 * time.Millisecond)
			other.Equal(other.goesTo(other.in(a.Upstream), packet(a.Mark, 1)).Mark, a.Upstream.Tag)
			late := h.sentElsewhere(a).Mark
			other.now = h.now
			other.goesTo(other.in(a.Upstream), packet(late, 1))
			other.goesTo(other.in(a.Upstream), packet(late, 101))
		},
		"the first packet is held and dropped after the lease": func(h, other *harness) {
			_, _, firstTag, secondTag := h.secondAnswer()
			other.now = h.now
			for _, tag := range []model.RoutingTag{firstTag, secondTag} {
				other.Equal(other.send(packet(tag, 1)).Reason, model.ReasonTagUnproven)
			}
			for _, a := range other.advance(600 * time.Millisecond) {
				other.Equal(a.Verb, model.VerbDrop)
			}
		},
		"a packet that was held since before the end of the lease": func(h, other *harness) {
			a := h.send(syn1(0, 0))
			started := direct.New(direct.Config{Domain: "east", Seed: 1, Limits: direct.Limits{FlowLife: time.Minute}})
			started.SetRoutes(routeTable(1))
			started.SetClock(sharedTime(h.now))
			seg := packet(a.Mark, 1)
			seg.Raw = []byte{1}
			other.Equal(started.Packet(h.now.Add(10*time.Millisecond), &seg)[0].Verb, model.VerbHold)
			started.Roster().Sync(h.now.Add(2*leaseTime), model.Listing[model.Registration]{Items: threeUpstreams()})
			other.Equal(forwards(started.SetReady(h.now.Add(2*leaseTime))), 1)
		},
		"the instance that has sent the SYN to both follows the first packet to either": func(h, other *harness) {
			_, second, _, secondTag := h.secondAnswer()
			h.goesTo(second, packet(secondTag, 1))
			first, _, firstTag, _ := other.secondAnswer()
			other.goesTo(first, packet(firstTag, 1))
		},
		"back at the instance that has sent the SYN to both": func(h, _ *harness) {
			first, _, _, late := h.secondAnswer()
			h.Equal(h.send(packet(late, 101)).Reason, model.ReasonTagUnproven)
			h.advance(600 * time.Millisecond)
			h.goesTo(first, packet(first.Tag, 101))
			h.goesTo(first, packet(late, 201))
		},
		"a reset by the caller": func(h, other *harness) {
			_, _, _, late := h.secondAnswer()
			seg := packet(late, 101)
			seg.Reset = true
			other.Equal(other.send(seg).Reason, model.ReasonTagUnproven)
		},
		"a reused port": func(h, other *harness) {
			first, _, _, _ := h.secondAnswer()
			other.goesTo(other.in(first), packet(first.Tag, 1))
			next := syn1(1<<30, 0)
			h.now = h.now.Add(4 * time.Second)
			other.now = h.now
			a := h.send(next)
			other.goesTo(other.in(a.Upstream), packet(a.Mark, 1<<30+1))
		},
		"an upstream that the roster has forgotten": func(h, _ *harness) {
			first, _, firstTag, _ := h.secondAnswer()
			h.sync(registration(9, "east"))
			h.engine.Roster().ExpireTags(h.now.Add(2 * time.Minute))
			h.goesTo(first, packet(firstTag, 1))
		},
		"a service that the route does not name": func(h, other *harness) {
			seg := packet(0, 1)
			seg.Flow.Service = photoAddress
			seg.Tag = h.other().Tag.Opening(seg.Flow, seg.Seq, model.NoLease)
			other.Equal(other.send(seg).Reason, model.ReasonTagUnproven)
		},
		"a packet that has overtaken the first one": func(h, other *harness) {
			a := h.send(syn1(0, 0))
			other.Equal(other.send(packet(a.Mark, 101)).Reason, model.ReasonTagUnproven)
			seg := packet(a.Mark, 1)
			seg.Raw = []byte{1}
			other.Equal(forwards(other.engine.Packet(other.now, &seg)), 2)
			other.goesTo(other.in(a.Upstream), packet(a.Mark, 201))
		},
	}
	for name, check := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, threeUpstreams()...)
			check(h, h.restarted(t))
		})
	}
}

// TestUnansweredSyn guards against second answers: a SYN whose answer went through another instance, or was lost on the way, is not sent to a second upstream
// while the first one runs and is not full.
func TestUnansweredSyn(t *testing.T) {
	cases := map[string]struct {
		outcomes []health.Outcome
		// idle is how long ago the upstream has answered another flow.
		idle time.Duration
		want int
		// elsewhere is set if the caller's copy goes to another upstream although the SYN has gone to one only.
		elsewhere bool
	}{
		"the upstream answers the probe":                     {outcomes: []health.Outcome{health.OutcomeAnswered}},
		"another may have got the address":                   {outcomes: []health.Outcome{health.OutcomeAnswered}, idle: time.Second, elsewhere: true},
		"the probe fails":                                    {outcomes: []health.Outcome{health.OutcomeFailed}, want: 1},
		"the upstream is full":                               {outcomes: []health.Outcome{health.OutcomeFull}, want: 1},
		"the probe is inconclusive":                          {outcomes: []health.Outcome{health.OutcomeInconclusive, health.OutcomeInconclusive}},
		"the probe is inconclusive, then the upstream fails": {outcomes: []health.Outcome{health.OutcomeInconclusive, health.OutcomeFailed}, want: 1},
		"the upstream answers, then it fails":                {outcomes: []health.Outcome{health.OutcomeAnswered, health.OutcomeFailed}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, threeUpstreams()...)
			first, sent := h.send(syn1(0, 0)).Upstream, 0
			first.Health.RecordSuccess(h.now.Add(-tc.idle))
			for n, outcome := range tc.outcomes {
				if n > 0 {
					first.Health.MarkSuspect(h.now)
				}
				h.awaitProbe(first)
				h.now = h.now.Add(time.Millisecond)
				actions := slices.Clone(h.engine.FinishProbe(h.now, first, outcome))
				if n == len(tc.outcomes)-1 {
					actions = append(actions, h.advance(leaseTime)...)
				}
				for _, a := range actions {
					if a.Verb == model.VerbForward {
						h.True(a.Upstream != first)
						sent++
					}
				}
			}
			h.Equal(sent, tc.want)
			h.advanceProbed(50*time.Millisecond, health.OutcomeInconclusive)
			copied := h.send(syn1(0, 1))
			h.Equal(copied.Verb, model.VerbForward)
			if sent == 0 && slices.Equal(tc.outcomes, []health.Outcome{health.OutcomeAnswered}) {
				h.Equal(copied.Upstream != first, tc.elsewhere)
			}
		})
	}
	t.Run("copies of a SYN to an upstream that runs", func(t *testing.T) {
		h := newHarness(t, threeUpstreams()...)
		a := h.send(syn1(0, 0))
		a.Upstream.Health.RecordSuccess(h.now)
		h.advanceProbed(190*time.Millisecond, health.OutcomeAnswered)
		again := h.send(syn1(0, 1))
		h.Equal(again.Upstream, a.Upstream)
		h.Equal(again.Mark.Prefix(), a.Mark.Prefix())
		h.Equal(again.Reason, model.ReasonCallerRepeats)
		h.Equal(h.goesTo(a.Upstream, packet(a.Mark, 101)).Mark, a.Upstream.Tag)
	})
	t.Run("the last copy of a SYN to an upstream that runs", func(t *testing.T) {
		h := newHarness(t, threeUpstreams()...)
		a := h.send(syn1(0, 0))
		a.Upstream.Health.RecordSuccess(h.now)
		h.advanceProbed(190*time.Millisecond, health.OutcomeAnswered)
		h.send(syn1(0, 1))
		h.advanceProbed(390*time.Millisecond, health.OutcomeAnswered)
		h.True(h.send(syn1(0, 2)).Upstream != a.Upstream)
	})
	t.Run("a copy of a SYN to an upstream that drains since", func(t *testing.T) {
		h := newHarness(t, threeUpstreams()...)
		a := h.send(syn1(0, 0))
		a.Upstream.Health.RecordSuccess(h.now)
		h.advanceProbed(190*time.Millisecond, health.OutcomeAnswered)
		a.Upstream.Draining = true
		h.True(h.send(syn1(0, 1)).Upstream != a.Upstream)
	})
	t.Run("a full upstream that answers its open flows", func(t *testing.T) {
		h := newHarness(t, threeUpstreams()...)
		first := h.send(syn1(0, 0)).Upstream
		h.advance(10 * time.Millisecond)
		h.goesTo(first, model.Segment{Flow: flowKey(2, feedAddress), HasAck: true, Tag: first.Tag, Seq: 1, AckSeq: 1, Size: 100})
		h.goesTo(first, model.Segment{Flow: flowKey(2, feedAddress), HasAck: true, Tag: first.Tag, Seq: 101, AckSeq: 900})
		h.sentElsewhere(direct.Action{Upstream: first})
	})
	t.Run("a SYN that was answered meanwhile", func(t *testing.T) {
		h := newHarness(t, threeUpstreams()...)
		a := h.send(syn1(0, 0))
		h.awaitProbe(a.Upstream)
		h.goesTo(a.Upstream, packet(a.Mark, 1))
		h.Equal(forwards(h.engine.FinishProbe(h.now, a.Upstream, health.OutcomeFull)), 0)
	})
}

// TestPacketsBeforeFirst guards against waits for a retransmission when packets of a new flow overtake its first one: they go on at once if no other upstream can
// have answered the SYN.
func TestPacketsBeforeFirst(t *testing.T) {
	cases := map[string]struct {
		retransmission uint32
		wait           time.Duration
		held           bool
	}{
		"the caller has sent no copy yet":  {},
		"a copy may have gone elsewhere":   {wait: 200 * time.Millisecond, held: true},
		"the first SYN has gone elsewhere": {retransmission: 1, held: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, threeUpstreams()...)
			a := h.send(syn1(0, tc.retransmission))
			h.now = h.now.Add(tc.wait)
			if tc.held {
				h.Equal(h.send(packet(a.Mark, 101)).Verb, model.VerbHold)
				return
			}
			h.Equal(h.goesTo(a.Upstream, packet(a.Mark, 101)).Mark, a.Upstream.Tag)
			h.goesTo(a.Upstream, packet(a.Mark, 1))
		})
	}
}

func forwards(actions []direct.Action) (n int) {
	for _, a := range actions {
		if a.Verb == model.VerbForward {
			n++
		}
	}
	return n
}

// TestOpeningTag checks that an opening tag has the prefix of its run's tag, is none itself, and passes for that of another flow, sequence number or lease only
// rarely.
func TestOpeningTag(t *testing.T) {
	is := is.New(t)
	const flows, limit = 20_000, 30
	same := 0
	for n := range flows {
		tag, lease := model.RoutingTag(1+n*2654435761), model.Lease(1+n*40503)
		key := flowKey(uint16(n), feedAddress)
		opening := tag.Opening(key, uint32(n), lease)
		is.True(opening != 0 && opening != tag)
		is.Equal(opening.Prefix(), tag.Prefix())
		is.Equal(opening, tag.Opening(key, uint32(n), lease))
		for _, other := range []model.RoutingTag{
			tag.Opening(flowKey(uint16(n)+1, feedAddress), uint32(n), lease), tag.Opening(key, uint32(n)+100, lease), tag.Opening(key, uint32(n), lease+1),
		} {
			if other == opening {
				same++
			}
		}
	}
	is.True(same < limit)
	for _, tag := range []model.RoutingTag{1, 2, 1<<12 - 1} {
		for seq := range uint32(10_000) {
			opening := tag.Opening(flowKey(1, feedAddress), seq, model.NoLease)
			is.True(opening != 0 && opening != tag)
		}
	}
}
