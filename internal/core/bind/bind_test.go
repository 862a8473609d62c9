package bind_test

import (
	"errors"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/bind"
	"hawthorncourse/internal/core/model"
)

func newFlow(caller, service string) model.FlowKey {
	return model.FlowKey{Caller: netip.MustParseAddrPort(caller), Service: netip.MustParseAddrPort(service)}
}

func newKeys(version model.Version, epochs ...model.Epoch) bind.Keys {
	k := bind.Keys{Version: version}
	for _, epoch := range epochs {
		k.List = append(k.List, bind.Key{Epoch: epoch, Secret: [32]byte{byte(epoch)}})
	}
	return k
}

func newSigner(k bind.Keys) *bind.Signer {
	s := &bind.Signer{}
	s.SetKeys(k)
	return s
}

var (
	testFlow    = newFlow("127.0.0.4:40000", "127.0.0.10:5683")
	testBinding = bind.Binding{Use: bind.UseStream, Upstream: 7, Boot: 8, Issuer: 9, Serial: 10, Expiry: 11}
)

// TestVerify checks that a binding is accepted for its own flow only, and as long as its key is one of the two valid ones.
func TestVerify(t *testing.T) {
	raw, _ := newSigner(newKeys(1, 2, 1)).Sign(testFlow, testBinding)
	truncated := raw[:len(raw)-1]
	altered := append([]byte{}, raw...)
	altered[20]++
	cases := map[string]struct {
		flow model.FlowKey
		raw  []byte
		keys bind.Keys
		want error
	}{
		"issued here":        {flow: testFlow, raw: raw, keys: newKeys(1, 2, 1)},
		"after one rotation": {flow: testFlow, raw: raw, keys: newKeys(1, 3, 2)},
		"after two rotations": {
			flow: testFlow, raw: raw, keys: newKeys(1, 4, 3), want: bind.ErrUnknownKey,
		},
		"another caller":  {flow: newFlow("127.0.0.5:40000", "127.0.0.10:5683"), raw: raw, keys: newKeys(1, 2), want: bind.ErrForged},
		"another service": {flow: newFlow("127.0.0.4:40000", "127.0.0.11:5683"), raw: raw, keys: newKeys(1, 2), want: bind.ErrForged},
		"truncated":       {flow: testFlow, raw: truncated, keys: newKeys(1, 2), want: bind.ErrForged},
		"altered":         {flow: testFlow, raw: altered, keys: newKeys(1, 2), want: bind.ErrForged},
		"empty":           {flow: testFlow, keys: newKeys(1, 2), want: bind.ErrForged},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, err := newSigner(tc.keys).Verify(tc.flow, tc.raw)
			is.True(errors.Is(err, tc.want))
			if tc.want == nil {
				want := testBinding
				want.Epoch = 2
				is.Equal(got, want)
			}
		})
	}
}

// TestKeysNeverRevert checks that SetKeys ignores keys of an earlier version.
func TestKeysNeverRevert(t *testing.T) {
	is := is.New(t)
	s := newSigner(newKeys(2, 2))
	s.SetKeys(newKeys(1, 1))
	is.Equal(s.NewestEpoch(), model.Epoch(2))
}

func TestSignWithoutKeys(t *testing.T) {
	is := is.New(t)
	_, ok := (&bind.Signer{}).Sign(testFlow, testBinding)
	is.True(!ok)
}

func FuzzVerify(f *testing.F) {
	s := newSigner(newKeys(1, 1))
	raw, _ := s.Sign(testFlow, testBinding)
	f.Add(raw)
	f.Fuzz(func(t *testing.T, altered []byte) {
		if _, err := s.Verify(testFlow, altered); err == nil && string(altered) != string(raw) {
			t.Error("Verify accepted a binding that was never issued")
		}
	})
}

// TestKeysAfterRestore checks that keys written after a restore of the store replace those in use, although their version is lower, and that
// keys from before it do not return.
func TestKeysAfterRestore(t *testing.T) {
	is := is.New(t)
	lost, later := newKeys(9, 2), newKeys(5, 3)
	lost.Era, later.Era = 1, 2
	s := newSigner(lost)
	s.SetKeys(later)
	is.Equal(s.NewestEpoch(), model.Epoch(3))
	s.SetKeys(lost)
	is.Equal(s.NewestEpoch(), model.Epoch(3))
}

func TestKeysDeriveFrom(t *testing.T) {
	cases := map[string]struct {
		keys, other bind.Keys
		want        bool
	}{
		"rotated":                 {keys: newKeys(1, 2, 1), other: newKeys(1, 1), want: true},
		"rotated more than once":  {keys: newKeys(1, 4, 3), other: newKeys(1, 1), want: true},
		"the same":                {keys: newKeys(1, 2, 1), other: newKeys(2, 2, 1)},
		"an earlier state":        {keys: newKeys(2, 1), other: newKeys(1, 2, 1)},
		"nothing to compare with": {keys: newKeys(2, 1)},
		"no keys":                 {other: newKeys(1, 1)},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(tc.keys.DerivesFrom(tc.other), tc.want)
		})
	}
}
