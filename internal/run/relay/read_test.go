package relay

import (
	"context"
	"io"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"hawthorncourse/internal/base/count"
	"hawthorncourse/internal/base/logs"
	"hawthorncourse/internal/core/model"
)

// listed is a source that answers at one revision.
type listed[T any] struct {
	at    model.Revision
	items []T
	since model.Changes[T]
	err   error
}

// Read implements Source.
func (l listed[T]) Read(context.Context) (model.Listing[T], error) {
	return model.Listing[T]{Items: l.items, Revision: l.at}, nil
}

// ReadPaged implements Source.
func (l listed[T]) ReadPaged(ctx context.Context, _ func([]T)) (model.Listing[T], error) {
	return l.Read(ctx)
}

// ChangesSince implements Source.
func (l listed[T]) ChangesSince(context.Context, model.Revision) (model.Changes[T], error) {
	return l.since, l.err
}

// seats is a source of seats that nobody claims.
type seats struct {
	listed[model.ReaderRecord]
}

// Claim implements Seats.
func (seats) Claim(_ context.Context, seat model.ReaderRecord) (model.ReaderRecord, error) {
	return seat, nil
}

// TestRevision checks which revision is put on what was read while the store changed: everything up to it must be known, or the change
// would not be read again.
func TestRevision(t *testing.T) {
	table := model.RouteTable{Version: 3, Revision: 5}
	later := model.RouteTable{Version: 5, Revision: 192}
	cases := map[string]struct {
		cfg  Config
		have model.Snapshot
		want model.Revision
		// version is that of the configuration then.
		version model.Version
	}{
		"the first read, a configuration older than all else": {
			cfg: Config{
				ReaderRecords: seats{listed[model.ReaderRecord]{at: 193}}, Upstreams: listed[model.Registration]{at: 194},
				Routes: listed[model.RouteTable]{at: 190, items: []model.RouteTable{table}}, DomainsOut: listed[model.DomainID]{at: 194},
			},
			want: 190, version: 3,
		},
		"changes that lead there": {
			cfg: Config{
				ReaderRecords: seats{listed[model.ReaderRecord]{at: 192}}, Upstreams: listed[model.Registration]{since: model.Changes[model.Registration]{Revision: 192}},
				Routes:     listed[model.RouteTable]{since: model.Changes[model.RouteTable]{Items: []model.RouteTable{later}, Newest: 192, Revision: 192}},
				DomainsOut: listed[model.DomainID]{since: model.Changes[model.DomainID]{Revision: 192}},
			},
			have: model.Snapshot{Revision: 181, Routes: table}, want: 192, version: 5,
		},
		"changes that leave something unexplained": {
			cfg: Config{
				ReaderRecords: seats{listed[model.ReaderRecord]{at: 192}}, Upstreams: listed[model.Registration]{at: 193, since: model.Changes[model.Registration]{Revision: 192}},
				Routes:     listed[model.RouteTable]{at: 193, items: []model.RouteTable{later}, since: model.Changes[model.RouteTable]{Revision: 192}},
				DomainsOut: listed[model.DomainID]{at: 193, since: model.Changes[model.DomainID]{Revision: 192}},
			},
			have: model.Snapshot{Revision: 181, Routes: table}, want: 192, version: 5,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := &Relay{cfg: tc.cfg, log: logs.NewJSON(io.Discard, logrus.InfoLevel), counts: count.New(), known: tc.have}
			k, _, err := r.readKnowledge(context.Background())
			is.NoErr(err)
			is.Equal(k.Revision, tc.want)
			is.Equal(k.Routes.Version, tc.version)
		})
	}
}
