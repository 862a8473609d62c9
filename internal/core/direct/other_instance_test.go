package direct_test

import (
	"testing"
	"time"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

// TestTagOfOtherInstanceBeforeAnswer guards against packets of an open flow that go to another upstream, or end the flow, since that upstream has
// answered a copy of the SYN that another instance sent there. The first packet of the caller went to the upstream that its tag names. If the flow were
// open elsewhere, that upstream would have reset it by then, so no later tag can show that the flow is open at another one.
func TestTagOfOtherInstanceBeforeAnswer(t *testing.T) {
	cases := map[string]func(*harness, *roster.Upstream) model.RoutingTag{
		"the other serves": func(_ *harness, other *roster.Upstream) model.RoutingTag { return other.Tag },
		"the other has ended": func(h *harness, other *roster.Upstream) model.RoutingTag {
			var rest []model.Registration
			for _, r := range threeUpstreams() {
				if r.ID != other.ID {
					rest = append(rest, r)
				}
			}
			h.sync(rest...)
			h.failProbesOf(other)
			return other.Tag
		},
		"the other is unreachable": func(h *harness, other *roster.Upstream) model.RoutingTag {
			other.Health.RecordTimeout(h.now)
			h.failProbesOf(other)
			return other.Tag
		},
		"the other is unknown": func(*harness, *roster.Upstream) model.RoutingTag { return 12345 },
	}
	for name, tag := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, threeUpstreams()...)
			up := h.send(syn1(0, 0)).Upstream
			h.now = h.now.Add(8 * time.Millisecond)
			handshake := packet(up.Tag, 1)
			handshake.Size = 0
			h.goesTo(up, handshake)
			late := tag(h, h.other(up))
			h.goesTo(up, packet(late, 1))
		})
	}
}
