package relay

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/base/count"
	"hawthorncourse/internal/core/fresh"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/peer/share"
)

// noOrdinals assigns no ordinals.
type noOrdinals struct{}

// Ordinal implements share.OrdinalAssigner.
func (noOrdinals) Ordinal(model.InstanceID) model.Ordinal { return model.Ordinal{} }

// newShare returns the share of an instance that answers peers, and its address.
func newShare(t *testing.T, id model.InstanceID) (*share.Share, netip.AddrPort) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s := share.New(share.Config{Self: id, Listener: l, Ordinals: noOrdinals{}, Counts: count.New()})
	go func() { _ = s.Run(ctx) }()
	return s, netip.MustParseAddrPort(l.Addr().String())
}

// TestStartFromReader checks that a starting instance takes its first snapshot from the reader only if the reader answers and has a recent one, and
// that otherwise it turns to the store soon: after an outage of all instances, the reader on record may not run.
func TestStartFromReader(t *testing.T) {
	upstream := model.Registration{ID: "a-1", Number: 1, Service: "desk", Address: netip.MustParseAddrPort("10.0.0.1:80")}
	snapshot := model.Snapshot{Revision: 7, Upstreams: model.Listing[model.Registration]{Items: []model.Registration{upstream}, Revision: 7}}
	outdated := snapshot
	outdated.Age = testStaleness
	cases := map[string]struct {
		// reader returns the reader record.
		reader  func(*testing.T) model.ReaderRecord
		started bool
	}{
		"reader with a recent snapshot": {started: true, reader: func(t *testing.T) model.ReaderRecord {
			s, addr := newShare(t, "reader")
			s.Publish(snapshot)
			return model.ReaderRecord{Holder: "reader", Revision: 5, Control: addr}
		}},
		"reader with a snapshot from before a restore of the store": {reader: func(t *testing.T) model.ReaderRecord {
			s, addr := newShare(t, "reader")
			s.Publish(snapshot)
			return model.ReaderRecord{Holder: "reader", Revision: 5, Era: 1, Control: addr}
		}},
		"reader with an outdated snapshot": {reader: func(t *testing.T) model.ReaderRecord {
			s, addr := newShare(t, "reader")
			s.Publish(outdated)
			return model.ReaderRecord{Holder: "reader", Revision: 5, Control: addr}
		}},
		"reader without a snapshot": {reader: func(t *testing.T) model.ReaderRecord {
			_, addr := newShare(t, "reader")
			return model.ReaderRecord{Holder: "reader", Revision: 5, Control: addr}
		}},
		"reader does not run": {reader: func(*testing.T) model.ReaderRecord {
			return model.ReaderRecord{Holder: "reader", Revision: 5, Control: netip.MustParseAddrPort("127.0.0.1:1")}
		}},
		"reader accepts connections and does not answer": {reader: func(t *testing.T) model.ReaderRecord {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = l.Close() })
			return model.ReaderRecord{Holder: "reader", Revision: 5, Control: netip.MustParseAddrPort(l.Addr().String())}
		}},
		"no reader":                  {reader: func(*testing.T) model.ReaderRecord { return model.ReaderRecord{} }},
		"this instance is on record": {reader: func(*testing.T) model.ReaderRecord { return model.ReaderRecord{Holder: "self"} }},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newTestRelay(t)
			f := &follower{Relay: r}
			start := time.Now()
			is.Equal(f.startFromReader(context.Background(), tc.reader(t)), tc.started)
			is.True(time.Since(start) < time.Second)
			is.Equal(r.currentSnapshot().Revision == snapshot.Revision, tc.started)
			step, _ := r.scheduler.Next(r.now())
			is.Equal(step == fresh.StepPollReader, tc.started)
		})
	}
}
