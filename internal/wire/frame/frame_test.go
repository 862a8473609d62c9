package frame_test

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"hawthorncourse/internal/wire/frame"
)

func sample() frame.Frame {
	return frame.Frame{
		Source:   netip.MustParseAddrPort("127.0.0.4:40000"),
		Dest:     netip.MustParseAddrPort("127.0.0.10:5683"),
		Boot:     7,
		Hops:     1,
		From:     netip.MustParseAddrPort("127.0.0.21:7100"),
		Upstream: "order-desk-1",
		Payload:  []byte("payload"),
	}
}

func TestRoundTrip(t *testing.T) {
	six := sample()
	six.Source, six.Dest = netip.MustParseAddrPort("[::1]:1"), netip.MustParseAddrPort("[::2]:2")
	bare := sample()
	bare.Boot, bare.Hops, bare.From, bare.Upstream, bare.Payload = 0, 0, netip.AddrPort{}, "", []byte{}
	cases := map[string]frame.Frame{"every field": sample(), "version 6": six, "bare": bare}
	for name, want := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			raw, err := frame.Format(want)
			is.NoErr(err)
			got, err := frame.Parse(raw)
			is.NoErr(err)
			is.Equal(got, want)
		})
	}
}

func TestParseRefuses(t *testing.T) {
	good, _ := frame.Format(sample())
	stream := append([]byte{}, good...)
	stream[13] = 0x11
	local := append([]byte{}, good...)
	local[12] = 0x20
	cases := map[string][]byte{
		"nothing":         {},
		"no header":       []byte("CON GET /hives"),
		"a short header":  good[:20],
		"TCP addresses":   stream,
		"a LOCAL command": local,
		"version 1":       []byte("PROXY TCP4 127.0.0.1 127.0.0.2 1 2\r\nx"),
	}
	for name, raw := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := frame.Parse(raw)
			is.True(err != nil)
		})
	}
}

func FuzzParse(f *testing.F) {
	good, _ := frame.Format(sample())
	f.Add(good)
	f.Add(good[:30])
	f.Fuzz(func(t *testing.T, raw []byte) {
		fr, err := frame.Parse(raw)
		if err != nil {
			return
		}
		if _, err := frame.Format(fr); err != nil {
			t.Errorf("what was parsed cannot be written: %v", err)
		}
	})
}
