package share

import (
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/base/count"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/load/gauge"
)

// leadAddr is the address of a lead reader that is not polled.
var leadAddr = netip.MustParseAddrPort("127.0.0.1:9")

// newTableShare returns a Share that answers no peers.
func newTableShare(t *testing.T) *Share {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return New(Config{Self: "self", Listener: l, Counts: count.New()})
}

// runsSnapshot returns a snapshot that lists n upstreams with IDs from first on, all with the same boot ID and revision.
func runsSnapshot(rev model.Revision, first, n int, boot model.BootID) model.Snapshot {
	snap := model.Snapshot{Revision: rev}
	for i := range n {
		snap.Upstreams.Items = append(snap.Upstreams.Items, model.Registration{ID: model.UpstreamID(fmt.Sprint("i-", first+i)), Revision: rev, Boot: boot, Slots: 2})
	}
	return snap
}

// replyWith returns a reply with a load of each upstream of a snapshot.
func replyWith(snap *model.Snapshot, work int) *NextReply {
	reports := make([]gauge.Report, len(snap.Upstreams.Items))
	for i := range reports {
		reports[i] = gauge.Report{Running: work, Slots: 1}
	}
	return &NextReply{Loads: gauge.Pack(reports), LoadsOf: snap.Digest()}
}

// TestFollowerEvictsLoads guards against a table that grows without bound at an instance that is never polled: each run that was ever listed stayed in it.
func TestFollowerEvictsLoads(t *testing.T) {
	is := is.New(t)
	s := newTableShare(t)
	for n := range 20 {
		snap := runsSnapshot(model.Revision(n+1), 100*n, 100, 5)
		s.receiveLoads(&snap, snap.Digest(), replyWith(&snap, 3))
		s.Publish(snap)
		s.loads.evictedAt = s.loads.evictedAt.Add(-evictInterval)
	}
	is.True(len(s.loads.entries) <= 200) // Those of the last snapshot, and those of the one before, which were evicted after it.
	last := runsSnapshot(20, 1900, 100, 5)
	is.True(func() bool { _, ok := s.loads.entries[last.Upstreams.Items[0].ID]; return ok }())

	// Loads that are listed are evicted when they are too old.
	for id, e := range s.loads.entries {
		e.at = e.at.Add(-gauge.MaxAge)
		s.loads.entries[id] = e
	}
	evicted := s.loads.evictedAt
	s.evictLoads(evicted.Add(evictInterval - 1))
	is.True(len(s.loads.entries) > 0) // At most once a second.
	s.evictLoads(evicted.Add(evictInterval))
	is.Equal(len(s.loads.entries), 0)
}

// TestLoadOfEarlierRun guards against the load of an earlier run of an upstream that replaces that of the current one: a reader of another failure domain
// may be one or two snapshots behind.
func TestLoadOfEarlierRun(t *testing.T) {
	const id = "i-0"
	before, restarted := runsSnapshot(10, 0, 1, 5), runsSnapshot(11, 0, 1, 6)
	setBack := runsSnapshot(12, 0, 1, 4)
	send := func(s *Share, snap *model.Snapshot) {
		reply := replyWith(snap, 9)
		s.mergeSentLoads(&NextArgs{Readers: true, Loads: reply.Loads, LoadsOf: reply.LoadsOf, LoadStamp: 1})
	}
	receive := func(s *Share, snap *model.Snapshot) { s.receiveLoads(snap, snap.Digest(), replyWith(snap, 9)) }
	publish := func(s *Share, snap *model.Snapshot) {
		s.PublishLoads(model.LoadReport{Digest: snap.Digest(), Loads: []model.UpstreamLoad{{ID: id, Boot: snap.Upstreams.Items[0].Boot, Work: 9, Known: true}}})
	}
	cases := map[string]struct {
		add  func(*Share, *model.Snapshot)
		of   model.Snapshot
		want model.BootID
		work int
		// first means that no load of the upstream is known.
		first bool
	}{
		"sent with the snapshot before":          {add: send, of: before, want: 6, work: 3},
		"received with the snapshot before":      {add: receive, of: before, want: 6, work: 3},
		"published for the snapshot before":      {add: publish, of: before, want: 6, work: 3},
		"received with a later snapshot":         {add: receive, of: runsSnapshot(12, 0, 1, 7), want: 7, work: 9},
		"received for the current run":           {add: receive, of: restarted, want: 6, work: 9},
		"received, later listed, boot set back":  {add: receive, of: setBack, want: 6, work: 3},
		"published, later listed, boot set back": {add: func(s *Share, snap *model.Snapshot) { s.Publish(*snap); publish(s, snap) }, of: setBack, want: 6, work: 3},
		"first one sent":                         {add: send, of: before, first: true},
		"first one received":                     {add: receive, of: before, first: true},
		"first one published":                    {add: publish, of: before, first: true},
		"first one of the current run":           {add: publish, of: restarted, first: true, want: 6, work: 9},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newTableShare(t)
			s.loads.start = time.Now().Add(-time.Second)
			for _, snap := range []*model.Snapshot{&before, &restarted} {
				s.Publish(*snap)
				s.evictLoads(time.Now())
				_, ok := s.orderOf(snap.Digest())
				is.True(ok)
			}
			if !tc.first {
				s.loads.set(id, loadEntry{boot: 6, work: 3, known: true, at: time.Now().Add(-500 * time.Millisecond)})
			}
			tc.add(s, &tc.of)
			got := s.loads.entries[id]
			is.Equal([]any{got.boot, got.work}, []any{tc.want, tc.work})
		})
	}
}

// TestLoadsPerCaller guards against loads in each of the replies that suspicions and new snapshots cause, which may be 20 a second.
func TestLoadsPerCaller(t *testing.T) {
	cases := map[string]struct {
		upstreams int
		interval  time.Duration
	}{
		"few upstreams":  {upstreams: 20, interval: wakeInterval},
		"many upstreams": {upstreams: 1000, interval: 600 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newTableShare(t)
			snap, now := runsSnapshot(10, 0, tc.upstreams, 5), time.Now()
			s.Publish(snap)
			attached := func(from string, readers bool, after time.Duration) bool {
				var reply NextReply
				s.fillLoads(now.Add(after), &NextArgs{From: from, Readers: readers}, &reply)
				is.Equal(reply.LoadStamp != 0, readers)
				return len(reply.Loads) > 0
			}
			is.True(!attached("a", false, 0)) // Nothing is known, so that this reply does not count.
			s.receiveLoads(&snap, snap.Digest(), replyWith(&snap, 3))
			is.True(attached("a", false, 0))
			is.True(!attached("a", false, 50*time.Millisecond))
			is.True(attached("b", true, 50*time.Millisecond))
			is.True(!attached("b", true, 100*time.Millisecond))
			is.True(!attached("a", false, tc.interval-1))
			is.True(attached("a", false, tc.interval))

			// The memory for callers is bounded, and they are forgotten.
			for n := range 3 * maxCallers {
				attached(strconv.Itoa(n), false, time.Second)
			}
			is.True(len(s.loads.callers) <= maxCallers)
			s.evictLoads(now.Add(time.Second + callerTTL))
			is.Equal(len(s.loads.callers), 0)
		})
	}
}

// TestUrgentWaitOfReader guards against a reader that polls the lead reader four times a second with the loads of many upstreams, which takes more than the
// traffic that loads may cause.
func TestUrgentWaitOfReader(t *testing.T) {
	cases := map[string]struct {
		upstreams int
		want      time.Duration
	}{
		"few upstreams":  {upstreams: 20, want: urgentWait},
		"many upstreams": {upstreams: 1000, want: 600 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newTableShare(t)
			snap := runsSnapshot(10, 0, tc.upstreams, 5)
			s.Publish(snap)
			s.receiveLoads(&snap, snap.Digest(), replyWith(&snap, 3))
			s.markLoadsUrgent(time.Now())
			s.recordLoadStamp(leadAddr, &NextReply{LoadStamp: 1}, nil)
			first, second := NextArgs{Wait: int64(time.Second)}, NextArgs{Wait: int64(100 * time.Millisecond)}
			s.addLoads(&first, leadAddr)
			is.Equal(time.Duration(first.Wait), tc.want)
			is.Equal(len(first.Loads), 2*tc.upstreams)
			// A poll that is answered early because of something else does not send them again.
			s.addLoads(&second, leadAddr)
			is.Equal(time.Duration(second.Wait), 100*time.Millisecond)
			is.Equal(len(second.Loads), 0)
		})
	}
}
