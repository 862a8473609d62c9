package model_test

import (
	"testing"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/model"
)

// TestNotBefore checks that no part of what is known goes back, whatever revision the whole bears.
func TestNotBefore(t *testing.T) {
	at := func(upstreams, routes, out model.Revision) model.Snapshot {
		k := model.Snapshot{Revision: 10, OutRevision: out}
		k.Upstreams.Revision, k.Routes.Revision = upstreams, routes
		return k
	}
	cases := map[string]struct {
		told, want model.Snapshot
	}{
		"all later":         {told: at(21, 22, 23), want: at(21, 22, 23)},
		"all earlier":       {told: at(11, 12, 13), want: at(20, 20, 20)},
		"earlier upstreams": {told: at(19, 22, 23), want: at(20, 22, 23)},
		"an earlier table":  {told: at(21, 19, 23), want: at(21, 20, 23)},
		"earlier domains":   {told: at(21, 22, 19), want: at(21, 22, 20)},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(tc.told.KeepNewer(at(20, 20, 20)), tc.want)
		})
	}
}

// TestDigest checks that states of knowledge with the same revision have different digests, whatever differs, and that order does not.
func TestDigest(t *testing.T) {
	is := is.New(t)
	base := func() model.Snapshot {
		k := model.Snapshot{Revision: 7, Out: []model.DomainID{"east"}}
		k.Upstreams.Items = []model.Registration{entry("a", 1), entry("b", 2)}
		return k
	}
	changes := map[string]func(*model.Snapshot){
		"an upstream has changed":   func(k *model.Snapshot) { k.Upstreams.Items[0].Revision++ },
		"an upstream has gone":      func(k *model.Snapshot) { k.Upstreams.Items = k.Upstreams.Items[:1] },
		"two changed places":        func(k *model.Snapshot) { k.Upstreams.Items[0].Revision, k.Upstreams.Items[1].Revision = 2, 1 },
		"one cannot be read":        func(k *model.Snapshot) { k.Upstreams.Unreadable = []string{"a"} },
		"another configuration":     func(k *model.Snapshot) { k.Routes.Revision = 5 },
		"no failure domain is out":  func(k *model.Snapshot) { k.Out = nil },
		"nothing is known any more": func(k *model.Snapshot) { k.Revision = 0 },
	}
	first := base()
	for name, change := range changes {
		k := base()
		change(&k)
		if k.Digest() == first.Digest() {
			t.Error(name)
		}
	}
	turned := base()
	turned.Upstreams.Items[0], turned.Upstreams.Items[1] = turned.Upstreams.Items[1], turned.Upstreams.Items[0]
	is.Equal(turned.Digest(), first.Digest())
}
