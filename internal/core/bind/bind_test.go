package bind_test

import (
	"errors"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/bind"
	"hawthorncourse/internal/core/model"
)

func flow(caller, service string) model.FlowKey {
	return model.FlowKey{Caller: netip.MustParseAddrPort(caller), Service: netip.MustParseAddrPort(service)}
}

func keys(version model.Version, epochs ...model.Epoch) bind.Keys {
	k := bind.Keys{Version: version}
	for _, epoch := range epochs {
		k.List = append(k.List, bind.Key{Epoch: epoch, Secret: [32]byte{byte(epoch)}})
	}
	return k
}

func sealer(k bind.Keys) *bind.Sealer {
	s := &bind.Sealer{}
	s.SetKeys(k)
	return s
}

var (
	here    = flow("127.0.0.4:40000", "127.0.0.10:5683")
	content = bind.Binding{Use: bind.UseStream, Upstream: 7, Boot: 8, Issuer: 9, Serial: 10, Expiry: 11}
)

func TestOpen(t *testing.T) {
	raw, _ := sealer(keys(1, 2, 1)).Seal(here, content)
	cut := raw[:len(raw)-1]
	bent := append([]byte{}, raw...)
	bent[20]++
	cases := map[string]struct {
		flow model.FlowKey
		raw  []byte
		keys bind.Keys
		want error
	}{
		"own":                {flow: here, raw: raw, keys: keys(1, 2, 1)},
		"after one rotation": {flow: here, raw: raw, keys: keys(1, 3, 2)},
		"after two rotations": {
			flow: here, raw: raw, keys: keys(1, 4, 3), want: bind.ErrUnknownKey,
		},
		"another caller":  {flow: flow("127.0.0.5:40000", "127.0.0.10:5683"), raw: raw, keys: keys(1, 2), want: bind.ErrForged},
		"another service": {flow: flow("127.0.0.4:40000", "127.0.0.11:5683"), raw: raw, keys: keys(1, 2), want: bind.ErrForged},
		"short":           {flow: here, raw: cut, keys: keys(1, 2), want: bind.ErrForged},
		"changed":         {flow: here, raw: bent, keys: keys(1, 2), want: bind.ErrForged},
		"empty":           {flow: here, keys: keys(1, 2), want: bind.ErrForged},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, err := sealer(tc.keys).Open(tc.flow, tc.raw)
			is.True(errors.Is(err, tc.want))
			if tc.want == nil {
				want := content
				want.Epoch = 2
				is.Equal(got, want)
			}
		})
	}
}

func TestKeysNeverRevert(t *testing.T) {
	is := is.New(t)
	s := sealer(keys(2, 2))
	s.SetKeys(keys(1, 1))
	is.Equal(s.Newest(), model.Epoch(2))
}

func TestSealWithoutKeys(t *testing.T) {
	is := is.New(t)
	_, ok := (&bind.Sealer{}).Seal(here, content)
	is.True(!ok)
}

func FuzzOpen(f *testing.F) {
	s := sealer(keys(1, 1))
	raw, _ := s.Seal(here, content)
	f.Add(raw)
	f.Fuzz(func(t *testing.T, mangled []byte) {
		if _, err := s.Open(here, mangled); err == nil && string(mangled) != string(raw) {
			t.Error("a binding that was never issued was accepted")
		}
	})
}
