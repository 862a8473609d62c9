package model_test

import (
	"testing"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/model"
)

// TestKeepNewer checks that no part of a snapshot reverts to an earlier revision, whatever the revision of the whole snapshot is.
func TestKeepNewer(t *testing.T) {
	at := func(upstreams, routes, out model.Revision) model.Snapshot {
		s := model.Snapshot{Revision: 10, OutRevision: out}
		s.Upstreams.Revision, s.Routes.Revision = upstreams, routes
		return s
	}
	cases := map[string]struct {
		received, want model.Snapshot
	}{
		"all later":         {received: at(21, 22, 23), want: at(21, 22, 23)},
		"all earlier":       {received: at(11, 12, 13), want: at(20, 20, 20)},
		"earlier upstreams": {received: at(19, 22, 23), want: at(20, 22, 23)},
		"earlier routes":    {received: at(21, 19, 23), want: at(21, 20, 23)},
		"earlier domains":   {received: at(21, 22, 19), want: at(21, 22, 20)},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(tc.received.KeepNewer(at(20, 20, 20)), tc.want)
		})
	}
}

// TestRouteTableOrder guards against route configurations that come back older: a restore of the store sets revisions back, but not versions.
func TestRouteTableOrder(t *testing.T) {
	table := func(version model.Version, era model.Era, rev model.Revision) model.RouteTable {
		return model.RouteTable{Version: version, Era: era, Revision: rev}
	}
	cases := map[string]struct {
		have, next model.RouteTable
		newer      bool
	}{
		"a higher version":                              {have: table(49, 1, 88), next: table(53, 1, 91), newer: true},
		"a lower version from a restored copy":          {have: table(49, 1, 88), next: table(20, 2, 35)},
		"a higher version, written after a restore":     {have: table(49, 1, 88), next: table(51, 2, 60), newer: true},
		"the same version, written again":               {have: table(49, 1, 88), next: table(49, 2, 60), newer: true},
		"the same table":                                {have: table(49, 1, 88), next: table(49, 1, 88)},
		"a higher version at a revision that was lost":  {have: table(49, 2, 60), next: table(53, 1, 91), newer: true},
		"the same version from before it was rewritten": {have: table(49, 2, 60), next: table(49, 1, 88)},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tc.next.NewerThan(&tc.have), tc.newer)
			kept := model.Snapshot{Routes: tc.next}.KeepNewer(model.Snapshot{Routes: tc.have})
			is.Equal(kept.Routes.At() == tc.next.At(), tc.newer || tc.next.At() == tc.have.At())
		})
	}
}

// TestDigest checks that snapshots of equal revision have different digests if any part differs, and that the order of items is irrelevant.
func TestDigest(t *testing.T) {
	is := is.New(t)
	base := func() model.Snapshot {
		s := model.Snapshot{Revision: 7, Out: []model.DomainID{"east"}}
		s.Upstreams.Items = []model.Registration{reg("a", 1), reg("b", 2)}
		return s
	}
	changes := map[string]func(*model.Snapshot){
		"an upstream has changed":             func(s *model.Snapshot) { s.Upstreams.Items[0].Revision++ },
		"an upstream was deleted":             func(s *model.Snapshot) { s.Upstreams.Items = s.Upstreams.Items[:1] },
		"two upstreams swapped revisions":     func(s *model.Snapshot) { s.Upstreams.Items[0].Revision, s.Upstreams.Items[1].Revision = 2, 1 },
		"an upstream is unreadable":           func(s *model.Snapshot) { s.Upstreams.Unreadable = []string{"a"} },
		"the route table has changed":         func(s *model.Snapshot) { s.Routes.Revision = 5 },
		"no failure domain is out of service": func(s *model.Snapshot) { s.Out = nil },
		"the store was restored":              func(s *model.Snapshot) { s.Era++ },
		"the snapshot is empty":               func(s *model.Snapshot) { s.Revision = 0 },
	}
	original := base()
	for name, change := range changes {
		s := base()
		change(&s)
		if s.Digest() == original.Digest() {
			t.Error(name)
		}
	}
	reordered := base()
	reordered.Upstreams.Items[0], reordered.Upstreams.Items[1] = reordered.Upstreams.Items[1], reordered.Upstreams.Items[0]
	is.Equal(reordered.Digest(), original.Digest())
}
