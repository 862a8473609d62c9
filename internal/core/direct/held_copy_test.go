package direct_test

import (
	"testing"
	"time"

	"hawthorncourse/internal/core/direct"
	"hawthorncourse/internal/core/model"
)

// TestCopyOfHeldSyn guards against callers that wait for their deadline for a SYN that cannot be placed: all copies came to this instance, which held
// the first one while it started, until the caller sent the next.
func TestCopyOfHeldSyn(t *testing.T) {
	h := newHarness(t)
	h.engine = direct.New(direct.Config{Domain: "east", Seed: 1, Limits: direct.Limits{FlowLife: time.Minute}})
	h.True(h.engine.SetRoutes(withoutFeed()))
	h.Equal(h.send(syn1(0, 0)).Verb, model.VerbHold)
	h.advance(205 * time.Millisecond)
	h.sync(threeUpstreams()...)
	h.engine.SetReady(h.now)
	h.Equal(h.send(syn1(0, 1)).Verb, model.VerbReset)
}
