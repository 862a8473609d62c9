package relay

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"hawthorncourse/internal/base/count"
	"hawthorncourse/internal/base/logs"
	"hawthorncourse/internal/base/ring"
	"hawthorncourse/internal/core/direct"
	"hawthorncourse/internal/core/fresh"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

const testStaleness = 3 * time.Second

// newTestRelay returns an instance without sockets, whose commands are queued and not run.
func newTestRelay(t *testing.T) *Relay {
	t.Helper()
	own, _ := newShare(t, "self")
	s := fresh.NewScheduler(fresh.SchedulerConfig{Self: "self", MaxStaleness: testStaleness})
	r := &Relay{
		cfg: Config{Instance: "self"}, log: logs.NewJSON(io.Discard, logrus.InfoLevel), counts: count.New(), share: own, scheduler: s, start: time.Now(),
		outages: fresh.NewOutageTracker(testStaleness, roster.OutageGrace), commands: ring.New[command](8), engine: direct.New(direct.Config{}),
	}
	r.ordinals = newOrdinalAllocator(s, r.now)
	return r
}

// snapshotAt returns a snapshot of the store at a state.
func snapshotAt(era model.Era, rev model.Revision) model.Snapshot {
	return model.Snapshot{Era: era, Revision: rev, Upstreams: model.Listing[model.Registration]{Era: era, Revision: rev}}
}

// TestSnapshotOrder guards against snapshots that replace newer ones: after the store was restored from an older copy, snapshots from before have
// higher revisions.
func TestSnapshotOrder(t *testing.T) {
	cases := map[string]struct {
		have, next model.Snapshot
		applied    bool
	}{
		"later revision":                                  {have: snapshotAt(1, 58), next: snapshotAt(1, 88), applied: true},
		"same revision":                                   {have: snapshotAt(1, 58), next: snapshotAt(1, 58), applied: true},
		"earlier revision":                                {have: snapshotAt(1, 88), next: snapshotAt(1, 58)},
		"lower revision after a restore":                  {have: snapshotAt(1, 88), next: snapshotAt(2, 58), applied: true},
		"higher revision from before a restore":           {have: snapshotAt(2, 58), next: snapshotAt(1, 88)},
		"the same revision, given out again by a restore": {have: snapshotAt(1, 58), next: snapshotAt(2, 58), applied: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newTestRelay(t)
			r.applySnapshot(context.Background(), tc.have, fromStore)
			r.applySnapshot(context.Background(), tc.next, fromReader)
			got, want := r.currentSnapshot(), tc.have
			if tc.applied {
				want = tc.next
			}
			is.Equal(got.At(), want.At())
			is.Equal(got.Upstreams.At(), want.Upstreams.At())
		})
	}
}
