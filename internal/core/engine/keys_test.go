package engine_test

import (
	"testing"

	"hawthorncourse/internal/core/bind"
	"hawthorncourse/internal/core/model"
)

// TestKeyAhead checks a bound packet that reaches an instance before the key of its binding does.
func TestKeyAhead(t *testing.T) {
	cases := map[string]struct {
		class model.Class
		use   bind.Use
		// epoch is that of the key that the binding was issued under; the instance holds key 1 alone.
		epoch  model.Epoch
		verb   model.Verb
		reason model.Reason
	}{
		"booking, a key that others have already":   {class: model.ClassOnce, use: bind.UseOnce, epoch: 2, verb: model.VerbDrop, reason: model.ReasonKeyAhead},
		"booking, a key that is no longer accepted": {class: model.ClassOnce, use: bind.UseOnce, epoch: 250, verb: model.VerbOutcomeUnknown, reason: model.ReasonBindingExpired},
		"stream, a key that others have already":    {class: model.ClassSticky, use: bind.UseStream, epoch: 2, verb: model.VerbDrop, reason: model.ReasonKeyAhead},
		"stream, a key that is no longer accepted":  {class: model.ClassSticky, use: bind.UseStream, epoch: 250, verb: model.VerbChallenge, reason: model.ReasonBindingForged},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			a := newAlone(t, nil)
			var issuer bind.Sealer
			issuer.SetKeys(bind.Keys{Version: 2, List: []bind.Key{{Epoch: tc.epoch}}})
			p := a.packet(tc.class, "t")
			raw, ok := issuer.Seal(p.Flow, bind.Binding{Use: tc.use, Expiry: 2_000_000_000})
			a.True(ok)
			p.Binding = raw
			got := a.one(p)
			a.Equal(got.Verb, tc.verb)
			a.Equal(got.Reason, tc.reason)
		})
	}
}
