package object_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/plat/object"
	"hawthorncourse/platform/stand"
)

// desk is a client and the stand-in platform that it calls.
type desk struct {
	*is.I
	ctx    context.Context
	store  *stand.Store
	client *object.Client
}

func TestClient(t *testing.T) {
	cases := map[string]func(*desk){
		"an object that does not exist": func(d *desk) {
			_, err := d.client.Get(d.ctx, "document")
			d.True(errors.Is(err, object.ErrNotFound))
		},
		"what is written is read": func(d *desk) {
			v := d.put(0, "one")
			obj, err := d.client.Get(d.ctx, "document")
			d.NoErr(err)
			d.Equal(obj, object.Object{Version: v, Body: []byte("one")})
		},
		"a second creation is refused": func(d *desk) {
			d.put(0, "one")
			_, err := d.client.Put(d.ctx, "document", 0, []byte("two"))
			d.True(errors.Is(err, object.ErrConflict))
		},
		"an update of an earlier version is refused": func(d *desk) {
			d.put(d.put(0, "one"), "two")
			_, err := d.client.Put(d.ctx, "document", 1, []byte("three"))
			d.True(errors.Is(err, object.ErrConflict))
		},
		"a watch sees the next version": func(d *desk) {
			v := d.put(0, "one")
			time.AfterFunc(20*time.Millisecond, func() { _, _ = d.client.Put(d.ctx, "document", v, []byte("two")) })
			obj, err := d.client.Watch(d.ctx, "document", v)
			d.NoErr(err)
			d.Equal(obj.Version, v+1)
		},
		"a watch goes on past changes of other objects, and past history that is gone": func(d *desk) {
			v := d.put(0, "one")
			d.store.Put(string(object.KindObjects), "other", []byte(`"x"`))
			_, err := d.client.Watch(d.ctx, "document", v)
			d.True(errors.Is(err, object.ErrUnchanged))
			d.store.Put(string(object.KindObjects), "document", []byte(`"two"`))
			d.store.DropHistory()
			obj, err := d.client.Watch(d.ctx, "document", v)
			d.NoErr(err)
			d.Equal(string(obj.Body), "two")
		},
		"a lost answer is an error, and the write took effect": func(d *desk) {
			v := d.put(0, "one")
			d.store.DropResponses(1)
			_, err := d.client.Put(d.ctx, "document", v, []byte("two"))
			d.True(err != nil && !errors.Is(err, object.ErrConflict))
			obj, err := d.client.Get(d.ctx, "document")
			d.NoErr(err)
			d.Equal(obj.Version, v+1)
		},
		"an object that is too large is rejected": func(d *desk) {
			_, err := d.client.Put(d.ctx, "document", 0, make([]byte, 1<<20+1))
			d.True(errors.Is(err, object.ErrRejected))
		},
		"an outage is an error": func(d *desk) {
			d.store.SetOutage(stand.OutageUnavailable)
			_, err := d.client.Instances(d.ctx)
			d.True(err != nil)
		},
		"the list of instances": func(d *desk) {
			spec, err := object.FormatInstance(object.Instance{Domain: "b", Control: netip.MustParseAddrPort("127.0.0.1:7003"), Leaving: true})
			d.NoErr(err)
			d.store.Put(string(object.KindInstances), "a", spec)
			list, err := d.client.Instances(d.ctx)
			d.NoErr(err)
			d.Equal(list, []object.Instance{{ID: "a", Domain: "b", Control: netip.MustParseAddrPort("127.0.0.1:7003"), Leaving: true}})
		},
		"a list that cannot be read": func(d *desk) {
			d.store.Put(string(object.KindInstances), "a", []byte(`{"controlAddress":"nowhere"}`))
			_, err := d.client.Instances(d.ctx)
			d.True(err != nil)
		},
	}
	for name, check := range cases {
		t.Run(name, func(t *testing.T) {
			st := stand.NewStore()
			srv := httptest.NewServer(st.Handler())
			defer srv.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			check(&desk{I: is.New(t), ctx: ctx, store: st, client: object.NewClient(srv.URL, netip.Addr{})})
		})
	}
}

func (d *desk) put(at model.Version, body string) model.Version {
	d.Helper()
	v, err := d.client.Put(d.ctx, "document", at, []byte(body))
	d.NoErr(err)
	return v
}
