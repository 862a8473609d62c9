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

// fixture is a client and the fake platform that it calls.
type fixture struct {
	*is.I
	ctx    context.Context
	store  *stand.Store
	client *object.Client
	// url is the base URL of the store.
	url string
}

// TestClient checks reads, conditional writes and watches of objects against the fake platform.
func TestClient(t *testing.T) {
	cases := map[string]func(*fixture){
		"an object that does not exist": func(f *fixture) {
			_, err := f.client.Get(f.ctx, "document")
			f.True(errors.Is(err, object.ErrNotFound))
		},
		"a written object can be read back": func(f *fixture) {
			v := f.put(none, "one")
			obj, err := f.client.Get(f.ctx, "document")
			f.NoErr(err)
			f.Equal(obj, object.Object{Era: v.Era, Version: model.Version(v.Revision), Body: []byte("one")})
		},
		"creating an existing object is a conflict": func(f *fixture) {
			f.put(none, "one")
			_, err := f.client.Put(f.ctx, "document", none, []byte("two"))
			f.True(errors.Is(err, object.ErrConflict))
		},
		"replacing an outdated version is a conflict": func(f *fixture) {
			f.put(f.put(none, "one"), "two")
			_, err := f.client.Put(f.ctx, "document", model.Position{Era: 1, Revision: 1}, []byte("three"))
			f.True(errors.Is(err, object.ErrConflict))
		},
		"a watch returns the next version": func(f *fixture) {
			v := f.put(none, "one")
			time.AfterFunc(20*time.Millisecond, func() { _, _ = f.client.Put(f.ctx, "document", v, []byte("two")) })
			obj, err := f.client.Watch(f.ctx, "document", v)
			f.NoErr(err)
			f.Equal(obj.At(), next(v))
		},
		"a watch ignores changes of other objects and survives compaction": func(f *fixture) {
			v := f.put(none, "one")
			f.store.Put(string(object.KindObjects), "other", []byte(`"x"`))
			_, err := f.client.Watch(f.ctx, "document", v)
			f.True(errors.Is(err, object.ErrUnchanged))
			f.store.Put(string(object.KindObjects), "document", []byte(`"two"`))
			f.store.DropHistory()
			obj, err := f.client.Watch(f.ctx, "document", v)
			f.NoErr(err)
			f.Equal(string(obj.Body), "two")
		},
		"a write whose response is lost fails but takes effect": func(f *fixture) {
			v := f.put(none, "one")
			f.store.DropResponses(1)
			_, err := f.client.Put(f.ctx, "document", v, []byte("two"))
			f.True(err != nil && !errors.Is(err, object.ErrConflict))
			obj, err := f.client.Get(f.ctx, "document")
			f.NoErr(err)
			f.Equal(obj.At(), next(v))
		},
		"an object that is too large is rejected": func(f *fixture) {
			_, err := f.client.Put(f.ctx, "document", none, make([]byte, 1<<20+1))
			f.True(errors.Is(err, object.ErrRejected))
		},
		"an outage is an error": func(f *fixture) {
			f.store.SetOutage(stand.OutageUnavailable)
			_, err := f.client.Instances(f.ctx)
			f.True(err != nil)
		},
		"the list of instances is parsed": func(f *fixture) {
			spec, err := object.FormatInstance(object.Instance{Domain: "b", Control: netip.MustParseAddrPort("127.0.0.1:7003"), Leaving: true})
			f.NoErr(err)
			f.store.Put(string(object.KindInstances), "a", spec)
			list, err := f.client.Instances(f.ctx)
			f.NoErr(err)
			f.Equal(list, []object.Instance{{ID: "a", Domain: "b", Control: netip.MustParseAddrPort("127.0.0.1:7003"), Leaving: true}})
		},
		"an invalid instance fails the list": func(f *fixture) {
			f.store.Put(string(object.KindInstances), "a", []byte(`{"controlAddress":"nowhere"}`))
			_, err := f.client.Instances(f.ctx)
			f.True(err != nil)
		},
	}
	for name, check := range cases {
		t.Run(name, func(t *testing.T) {
			st := stand.NewStore()
			srv := httptest.NewServer(st.Handler())
			defer srv.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			check(&fixture{I: is.New(t), ctx: ctx, store: st, client: object.NewClient(srv.URL, netip.Addr{}), url: srv.URL})
		})
	}
}

// none is the position of an object that does not exist yet.
var none model.Position

// next returns the position of the write that follows.
func next(at model.Position) model.Position {
	at.Revision++
	return at
}

func (f *fixture) put(at model.Position, body string) model.Position {
	f.Helper()
	v, err := f.client.Put(f.ctx, "document", at, []byte(body))
	f.NoErr(err)
	return v
}

// get returns where the document was last written.
func (f *fixture) get() model.Position {
	f.Helper()
	obj, err := f.client.Get(f.ctx, "document")
	f.NoErr(err)
	return obj.At()
}

// watch returns the body of the document's next state.
func (f *fixture) watch(above model.Position) string {
	f.Helper()
	obj, err := f.client.Watch(f.ctx, "document", above)
	f.NoErr(err)
	return string(obj.Body)
}
