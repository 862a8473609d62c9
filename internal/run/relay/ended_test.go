package relay

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/model"
)

// TestEndedPeers guards against requests for ended runs to the lead reader while it is polled: a peer of an earlier build answers them with an error, which
// closes the connection of the poll.
func TestEndedPeers(t *testing.T) {
	record := func(domain, holder string, port uint16) model.ReaderRecord {
		control := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
		return model.ReaderRecord{Domain: model.DomainID(domain), Holder: model.InstanceID(holder), Control: control}
	}
	east, north, south, west := record("east", "east-1", 1), record("north", "", 2), record("south", "south-1", 3), record("west", "west-1", 4)
	records := []model.ReaderRecord{east, north, south, west}
	cases := map[string]struct {
		own    model.DomainID
		polled model.InstanceID
		want   []netip.AddrPort
	}{
		"the lead reader":                      {own: "east", want: []netip.AddrPort{south.Control, west.Control}},
		"a reader that polls the lead":         {own: "south", polled: "east-1", want: []netip.AddrPort{west.Control}},
		"a reader that the lead has failed":    {own: "south", want: []netip.AddrPort{east.Control, west.Control}},
		"a domain without a record of its own": {own: "centre", polled: "east-1", want: []netip.AddrPort{south.Control, west.Control}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(endedPeers(records, tc.own, tc.polled), tc.want)
		})
	}
}
