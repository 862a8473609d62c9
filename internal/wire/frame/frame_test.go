package frame_test

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"hawthorncourse/internal/wire/frame"
)

func fullFrame() frame.Frame {
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
	ipv6 := fullFrame()
	ipv6.Source, ipv6.Dest = netip.MustParseAddrPort("[::1]:1"), netip.MustParseAddrPort("[::2]:2")
	minimal := fullFrame()
	minimal.Boot, minimal.Hops, minimal.From, minimal.Upstream, minimal.Payload = 0, 0, netip.AddrPort{}, "", []byte{}
	cases := map[string]frame.Frame{"all fields": fullFrame(), "IPv6": ipv6, "no optional fields": minimal}
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

func TestParseRejects(t *testing.T) {
	valid, _ := frame.Format(fullFrame())
	stream := append([]byte{}, valid...)
	stream[13] = 0x11
	local := append([]byte{}, valid...)
	local[12] = 0x20
	cases := map[string][]byte{
		"empty":         {},
		"no header":     []byte("CON GET /hives"),
		"short header":  valid[:20],
		"TCP addresses": stream,
		"LOCAL command": local,
		"version 1":     []byte("PROXY TCP4 127.0.0.1 127.0.0.2 1 2\r\nx"),
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
	valid, _ := frame.Format(fullFrame())
	f.Add(valid)
	f.Add(valid[:30])
	f.Fuzz(func(t *testing.T, raw []byte) {
		fr, err := frame.Parse(raw)
		if err != nil {
			return
		}
		if _, err := frame.Format(fr); err != nil {
			t.Errorf("parsed frame cannot be formatted: %v", err)
		}
	})
}
