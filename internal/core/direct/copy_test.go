package direct_test

import (
	"testing"
	"time"

	"hawthorncourse/internal/core/direct"
	"hawthorncourse/internal/core/health"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

// TestSynCopyWithoutUpstream guards against resets of a flow that is about to open: no upstream may take a copy of its SYN, but the upstream that got
// the first copy may still answer.
func TestSynCopyWithoutUpstream(t *testing.T) {
	cases := map[string]struct {
		change func(*harness, *roster.Upstream)
		want   model.Verb
	}{
		"all drain": {change: (*harness).drainAll, want: model.VerbDrop},
		"all are out of service": {
			change: func(h *harness, _ *roster.Upstream) {
				h.engine.Roster().SetOut(h.now, []model.DomainID{"east", "west"}, 0)
			}, want: model.VerbDrop,
		},
		"all are gone from the registry":           {change: func(h *harness, _ *roster.Upstream) { h.sync() }, want: model.VerbDrop},
		"all are cold and have got enough flows":   {change: (*harness).coolAll, want: model.VerbDrop},
		"all are gone, and its own was replaced":   {change: (*harness).replaceAll, want: model.VerbReset},
		"all drain, and its own answers no probes": {change: (*harness).drainUnreachable, want: model.VerbReset},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, threeUpstreams()...)
			up := h.send(syn1(0, 0)).Upstream
			tc.change(h, up)
			h.now = h.now.Add(200 * time.Millisecond)
			a := h.send(syn1(0, 1))
			h.Equal(a.Verb, tc.want)
			h.Equal(a.Reason, model.ReasonNoUpstream)
			if tc.want == model.VerbDrop {
				h.goesTo(up, packet(up.Tag, 1))
				h.goesTo(up, packet(0, 101))
			}
			h.Equal(h.syn(2, feedAddress, 0).Verb, model.VerbReset)
		})
	}
}

// TestSynAfterCopies checks that a SYN that comes too late to be a copy is rejected if no upstream may take it.
func TestSynAfterCopies(t *testing.T) {
	h := newHarness(t, threeUpstreams()...)
	up := h.send(syn1(0, 0)).Upstream
	h.drainAll(up)
	h.now = h.now.Add(4 * time.Second)
	h.Equal(h.send(syn1(0, 0)).Verb, model.VerbReset)
}

// TestSynCopyPlacedLater checks that the copy after one that no upstream could take opens the flow.
func TestSynCopyPlacedLater(t *testing.T) {
	h := newHarness(t, threeUpstreams()...)
	first := h.send(syn1(0, 0)).Upstream
	h.engine.Roster().SetOut(h.now, []model.DomainID{"east", "west"}, 0)
	h.now = h.now.Add(200 * time.Millisecond)
	h.Equal(h.send(syn1(0, 1)).Verb, model.VerbDrop)
	h.engine.Roster().SetOut(h.now, nil, 0)
	h.now = h.now.Add(400 * time.Millisecond)
	a := h.send(syn1(0, 2))
	h.Equal(a.Verb, model.VerbForward)
	h.True(a.Upstream != first)
}

// coolAll makes all upstreams cold, with no share for this instance left.
func (h *harness) coolAll(_ *roster.Upstream) {
	h.engine.SetLimits(direct.Limits{Domains: 1, FlowLife: time.Minute})
	var items []model.Registration
	for _, r := range threeUpstreams() {
		r.ColdFor, r.Revision = time.Hour, 9
		items = append(items, r)
	}
	h.sync(items...)
}

// replaceAll lists other upstreams, which drain, at the addresses of all.
func (h *harness) replaceAll(_ *roster.Upstream) {
	var items []model.Registration
	for _, r := range threeUpstreams() {
		r.ID, r.Draining, r.Revision, r.Boot = "next-"+r.ID, true, 9, 2
		items = append(items, r)
	}
	h.sync(items...)
}

// drainUnreachable lets all upstreams drain, of which one answers no probes.
func (h *harness) drainUnreachable(up *roster.Upstream) {
	h.drainAll(up)
	up.Health.RecordTimeout(h.now)
	for range 3 {
		up.Health.StartProbe(h.now)
		h.now = h.now.Add(100 * time.Millisecond)
		h.engine.FinishProbe(h.now, up, health.OutcomeFailed)
	}
}
