package direct_test

import (
	"testing"
	"time"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

// TestRivalThatNeverAnswered guards against resets of the open flows of a run that serves: a dead run, whose last heartbeat was executed late, counts as the
// later one at its address, and a packet of a caller looks like an answer of the dead run.
func TestRivalThatNeverAnswered(t *testing.T) {
	flow3 := func(rival *roster.Upstream, ackSeq uint32) model.Segment {
		return model.Segment{Flow: flowKey(3, feedAddress), HasAck: true, Tag: rival.Tag, Seq: 1, AckSeq: ackSeq, Size: 100}
	}
	cases := map[string]func(*harness, *roster.Upstream){
		"no packet of a flow of the dead run": func(*harness, *roster.Upstream) {},
		"a caller resets a flow whose SYN is unanswered": func(h *harness, rival *roster.Upstream) {
			h.Equal(h.syn(1, feedAddress, 0).Upstream, rival)
			h.now = h.now.Add(1400 * time.Millisecond)
			h.send(model.Segment{Flow: flowKey(1, feedAddress), Reset: true})
		},
		"a caller acknowledges what the dead run had sent, in two packets": func(h *harness, rival *roster.Upstream) {
			h.send(flow3(rival, 1000))
			h.send(flow3(rival, 2200))
		},
	}
	for name, packets := range cases {
		t.Run(name, func(t *testing.T) {
			serves, dead := registration(4, "east"), registration(5, "east")
			dead.Boot, dead.Address = 9, serves.Address
			h := newHarness(t, serves, dead)
			rival := h.engine.Roster().Get(dead.ID)
			h.Equal(h.data(2, feedAddress, tagOf(serves)).Verb, model.VerbForward)
			h.now = h.now.Add(time.Second)
			packets(h, rival)
			seg := packet(tagOf(serves), 101)
			seg.Flow = flowKey(2, feedAddress)
			h.Equal(h.send(seg).Verb, model.VerbForward)
		})
	}
}
