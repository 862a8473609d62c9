package relay

import (
	"context"
	"io"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"hawthorncourse/internal/base/count"
	"hawthorncourse/internal/base/logs"
	"hawthorncourse/internal/core/model"
)

// fakeSource is a Source with fixed contents.
type fakeSource[T any] struct {
	at    model.Revision
	era   model.Era
	items []T
	// stale is an old state that ReadStale returns; nil for the current one.
	stale *model.Listing[T]
	since model.Changes[T]
	err   error
}

// Read implements Source.
func (s fakeSource[T]) Read(context.Context) (model.Listing[T], error) {
	return model.Listing[T]{Items: s.items, Revision: s.at, Era: s.era}, nil
}

// ReadStale implements Source.
func (s fakeSource[T]) ReadStale(context.Context, func([]T, model.Position)) (model.Listing[T], error) {
	if s.stale != nil {
		return *s.stale, nil
	}
	return model.Listing[T]{Items: s.items, Revision: s.at, Era: s.era}, nil
}

// ChangesSince implements Source.
func (s fakeSource[T]) ChangesSince(context.Context, model.Revision) (model.Changes[T], error) {
	return s.since, s.err
}

// fakeReaderRecords is a ReaderRecords whose claims always succeed.
type fakeReaderRecords struct {
	fakeSource[model.ReaderRecord]
}

// Claim implements ReaderRecords.
func (fakeReaderRecords) Claim(_ context.Context, record model.ReaderRecord) (model.ReaderRecord, error) {
	return record, nil
}

// TestRevision checks the revision of a snapshot that is read while the store changes. The snapshot must hold every change up to that
// revision: a later read starts there and would miss the others.
func TestRevision(t *testing.T) {
	table := model.RouteTable{Version: 3, Revision: 5}
	later := model.RouteTable{Version: 5, Revision: 192}
	cases := map[string]struct {
		cfg  Config
		have model.Snapshot
		want model.Revision
		// version is that of the expected route configuration.
		version model.Version
	}{
		"a first read whose route configuration is older than the rest": {
			cfg: Config{
				ReaderRecords: fakeReaderRecords{fakeSource[model.ReaderRecord]{at: 190}}, Upstreams: fakeSource[model.Registration]{at: 194},
				Routes: fakeSource[model.RouteTable]{at: 190, items: []model.RouteTable{table}}, DomainsOut: fakeSource[model.DomainID]{at: 194},
			},
			want: 190, version: 3,
		},
		"a first read of lists that are older than the reader records": {
			cfg: Config{
				ReaderRecords: fakeReaderRecords{fakeSource[model.ReaderRecord]{at: 192}},
				Upstreams: fakeSource[model.Registration]{
					stale: &model.Listing[model.Registration]{Revision: 181}, since: model.Changes[model.Registration]{Revision: 192},
				},
				Routes: fakeSource[model.RouteTable]{
					stale: &model.Listing[model.RouteTable]{Items: []model.RouteTable{table}, Revision: 185},
					since: model.Changes[model.RouteTable]{Items: []model.RouteTable{later}, Newest: 192, Revision: 192},
				},
				DomainsOut: fakeSource[model.DomainID]{stale: &model.Listing[model.DomainID]{Revision: 181}, since: model.Changes[model.DomainID]{Revision: 192}},
			},
			want: 192, version: 5,
		},
		"a first read of old lists whose changes the store withholds": {
			cfg: Config{
				ReaderRecords: fakeReaderRecords{fakeSource[model.ReaderRecord]{at: 192}},
				Upstreams: fakeSource[model.Registration]{
					stale: &model.Listing[model.Registration]{Revision: 181}, at: 193, since: model.Changes[model.Registration]{Revision: 181},
				},
				Routes: fakeSource[model.RouteTable]{
					stale: &model.Listing[model.RouteTable]{Items: []model.RouteTable{table}, Revision: 181}, at: 193, items: []model.RouteTable{later},
				},
				DomainsOut: fakeSource[model.DomainID]{stale: &model.Listing[model.DomainID]{Revision: 181}, at: 193},
			},
			want: 192, version: 5,
		},
		"changes that reach the current revision": {
			cfg: Config{
				ReaderRecords: fakeReaderRecords{fakeSource[model.ReaderRecord]{at: 192}}, Upstreams: fakeSource[model.Registration]{since: model.Changes[model.Registration]{Revision: 192}},
				Routes:     fakeSource[model.RouteTable]{since: model.Changes[model.RouteTable]{Items: []model.RouteTable{later}, Newest: 192, Revision: 192}},
				DomainsOut: fakeSource[model.DomainID]{since: model.Changes[model.DomainID]{Revision: 192}},
			},
			have: model.Snapshot{Revision: 181, Routes: table}, want: 192, version: 5,
		},
		"changes without the latest one": {
			cfg: Config{
				ReaderRecords: fakeReaderRecords{fakeSource[model.ReaderRecord]{at: 192}},
				Upstreams:     fakeSource[model.Registration]{at: 193, since: model.Changes[model.Registration]{Revision: 192}},
				Routes:        fakeSource[model.RouteTable]{at: 193, items: []model.RouteTable{later}, since: model.Changes[model.RouteTable]{Revision: 192}},
				DomainsOut:    fakeSource[model.DomainID]{at: 193, since: model.Changes[model.DomainID]{Revision: 192}},
			},
			have: model.Snapshot{Revision: 181, Routes: table}, want: 192, version: 5,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := &Relay{cfg: tc.cfg, log: logs.NewJSON(io.Discard, logrus.InfoLevel), counts: count.New(), snapshot: tc.have}
			snap, err := tc.have, error(nil)
			if tc.have.Revision == 0 {
				records, _ := tc.cfg.ReaderRecords.Read(context.Background())
				snap, err = r.readFirst(context.Background(), records)
			} else {
				snap, _, err = r.readSnapshot(context.Background(), tc.have)
			}
			is.NoErr(err)
			is.Equal(snap.Revision, tc.want)
			is.Equal(snap.Routes.Version, tc.version)
		})
	}
}

// countingSource counts the calls for changes of a source.
type countingSource[T any] struct {
	fakeSource[T]
	calls *atomic.Int64
}

// ChangesSince implements Source.
func (s countingSource[T]) ChangesSince(ctx context.Context, after model.Revision) (model.Changes[T], error) {
	s.calls.Add(1)
	return s.fakeSource.ChangesSince(ctx, after)
}

// TestCallsAfterChanges checks that routes and failure domains are read only if the changes of upstreams do not account for every new revision.
// Calls to the store are limited and paid for, and upstreams change all the time.
func TestCallsAfterChanges(t *testing.T) {
	upstreams := func(revisions ...model.Revision) model.Changes[model.Registration] {
		c := model.Changes[model.Registration]{Revision: 184, Revisions: revisions}
		for _, rev := range revisions {
			c.Newest = max(c.Newest, rev)
			c.Items = append(c.Items, model.Registration{ID: "a", Revision: rev})
		}
		return c
	}
	later := model.Changes[model.RouteTable]{Items: []model.RouteTable{{Version: 5, Revision: 183}}, Newest: 183, Revisions: []model.Revision{183}, Revision: 184}
	cases := map[string]struct {
		records   []model.ReaderRecord
		upstreams model.Changes[model.Registration]
		routes    model.Changes[model.RouteTable]
		calls     int
		version   model.Version
	}{
		"upstreams and a reader record": {
			records: []model.ReaderRecord{{Domain: "east", Holder: "a", Revision: 183}}, upstreams: upstreams(182, 184),
			routes: model.Changes[model.RouteTable]{Revision: 184}, calls: 1, version: 3,
		},
		"upstreams only":       {upstreams: upstreams(182, 183, 184), routes: model.Changes[model.RouteTable]{Revision: 184}, calls: 1, version: 3},
		"upstreams and routes": {upstreams: upstreams(182, 184), routes: later, calls: 3, version: 5},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var calls atomic.Int64
			r := &Relay{
				cfg: Config{
					ReaderRecords: fakeReaderRecords{fakeSource[model.ReaderRecord]{at: 184, items: tc.records}},
					Upstreams:     countingSource[model.Registration]{fakeSource[model.Registration]{since: tc.upstreams}, &calls},
					Routes:        countingSource[model.RouteTable]{fakeSource[model.RouteTable]{since: tc.routes}, &calls},
					DomainsOut:    countingSource[model.DomainID]{fakeSource[model.DomainID]{since: model.Changes[model.DomainID]{Revision: 184}}, &calls},
				},
				log: logs.NewJSON(io.Discard, logrus.InfoLevel), counts: count.New(),
				snapshot: model.Snapshot{Revision: 181, Routes: model.RouteTable{Version: 3, Revision: 5}},
			}
			snap, _, err := r.readSnapshot(context.Background(), r.snapshot)
			is.NoErr(err)
			is.Equal(int(calls.Load()), tc.calls)
			is.Equal(snap.Revision, model.Revision(184))
			is.Equal(snap.Routes.Version, tc.version)
			is.True(len(snap.Upstreams.Items) > 0)
		})
	}
}
