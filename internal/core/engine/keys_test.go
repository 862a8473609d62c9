package engine_test

import (
	"testing"

	"hawthorncourse/internal/core/bind"
	"hawthorncourse/internal/core/model"
)

// TestKeyAhead checks a bound packet that reaches an instance before the key of its binding does, as happens right after a key rotation. The
// packet must be dropped, so that a retransmission is served once the key has arrived; a binding with an expired key must be rejected.
func TestKeyAhead(t *testing.T) {
	cases := map[string]struct {
		class model.Class
		use   bind.Use
		// epoch is the epoch of the key that signed the binding; the instance holds only the key of epoch 1.
		epoch  model.Epoch
		verb   model.Verb
		reason model.Reason
	}{
		"booking signed with a newer key":    {class: model.ClassOnce, use: bind.UseOnce, epoch: 2, verb: model.VerbDrop, reason: model.ReasonKeyAhead},
		"booking signed with an expired key": {class: model.ClassOnce, use: bind.UseOnce, epoch: 250, verb: model.VerbOutcomeUnknown, reason: model.ReasonBindingExpired},
		"stream signed with a newer key":     {class: model.ClassSticky, use: bind.UseStream, epoch: 2, verb: model.VerbDrop, reason: model.ReasonKeyAhead},
		"stream signed with an expired key":  {class: model.ClassSticky, use: bind.UseStream, epoch: 250, verb: model.VerbChallenge, reason: model.ReasonBindingForged},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			a := newSingleInstance(t, nil)
			var issuer bind.Signer
			issuer.SetKeys(bind.Keys{Version: 2, List: []bind.Key{{Epoch: tc.epoch}}})
			p := a.packet(tc.class, "t")
			raw, ok := issuer.Sign(p.Flow, bind.Binding{Use: tc.use, Expiry: 2_000_000_000})
			a.True(ok)
			p.Binding = raw
			got := a.onlyAction(p)
			a.Equal(got.Verb, tc.verb)
			a.Equal(got.Reason, tc.reason)
		})
	}
}
