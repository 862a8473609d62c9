package direct_test

import (
	"testing"
	"time"

	"hawthorncourse/internal/core/model"
)

// TestUnknownTagsOverLimit checks that packets with many other unknown tags do not restart the wait of a tag that the next confirmation of the
// registry resolves: the flow is reset although the limit of remembered tags was reached in between.
func TestUnknownTagsOverLimit(t *testing.T) {
	h := newHarness(t, threeUpstreams()...)
	h.Equal(h.data(1, feedAddress, 77).Reason, model.ReasonTagUnknown)
	for n := range 3000 {
		h.Equal(h.data(uint16(2+n), feedAddress, model.RoutingTag(1_000_000+n)).Reason, model.ReasonTagUnknown)
	}
	h.now = h.now.Add(200 * time.Millisecond)
	h.engine.Roster().Confirm(h.now, h.now.Add(-50*time.Millisecond))
	h.Equal(h.data(1, feedAddress, 77).Reason, model.ReasonUpstreamGone)
}

// TestUnknownTagsExpire checks that tags that are no longer seen make room for others.
func TestUnknownTagsExpire(t *testing.T) {
	h := newHarness(t, threeUpstreams()...)
	for n := range 3000 {
		h.data(uint16(2+n), feedAddress, model.RoutingTag(1_000_000+n))
	}
	h.advance(4 * time.Second)
	h.Equal(h.data(1, feedAddress, 77).Reason, model.ReasonTagUnknown)
	h.now = h.now.Add(200 * time.Millisecond)
	h.engine.Roster().Confirm(h.now, h.now.Add(-50*time.Millisecond))
	h.Equal(h.data(1, feedAddress, 77).Reason, model.ReasonUpstreamGone)
}

// TestTagChanged checks that packets of an established flow whose tag names another upstream than before are counted as such.
func TestTagChanged(t *testing.T) {
	h := newHarness(t, threeUpstreams()...)
	ups := h.engine.Roster().ByService("desk")
	h.Equal(h.data(1, feedAddress, ups[0].Tag).Reason, model.ReasonNone)
	h.Equal(h.data(1, feedAddress, ups[0].Tag).Reason, model.ReasonNone)
	h.Equal(h.data(1, feedAddress, ups[1].Tag).Reason, model.ReasonTagChanged)
	h.Equal(h.data(1, feedAddress, ups[1].Tag).Reason, model.ReasonNone)
}
