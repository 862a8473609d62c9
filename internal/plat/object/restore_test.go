package object_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/plat/object"
	"hawthorncourse/platform/stand"
)

// TestRestore checks reads and writes of objects after the store was restored from an older copy, which gives version numbers out again.
func TestRestore(t *testing.T) {
	cases := map[string]func(*fixture){
		"a watch returns a write at a lower version than the lost one": func(f *fixture) {
			first := f.put(none, "one")
			backup := f.store.Backup()
			lost := f.put(f.put(first, "two"), "three")
			f.store.Restore(backup)
			f.put(f.get(), "new")
			f.Equal(f.watch(lost), "new")
		},
		"a watch returns a write at the version of the lost one": func(f *fixture) {
			first := f.put(none, "one")
			backup := f.store.Backup()
			lost := f.put(first, "two")
			f.store.Restore(backup)
			f.put(f.get(), "new")
			f.Equal(f.watch(lost), "new")
		},
		"a watch reports that the copy lacks the object": func(f *fixture) {
			backup := f.store.Backup()
			lost := f.put(none, "one")
			f.store.Restore(backup)
			obj, err := f.client.Watch(f.ctx, "document", lost)
			f.True(errors.Is(err, object.ErrNotFound))
			f.Equal(obj.Era, lost.Era+1)
		},
		"a watch that was cut off returns a write, although the store's revision has passed the lost one": func(f *fixture) {
			first := f.put(none, "one")
			backup := f.store.Backup()
			lost := f.put(first, "two")
			time.AfterFunc(50*time.Millisecond, func() { f.store.SetOutage(stand.OutageReset) })
			_, err := f.client.Watch(f.ctx, "document", lost)
			f.True(err != nil && !errors.Is(err, object.ErrUnchanged))
			f.store.Restore(backup)
			f.store.SetOutage(stand.OutageNone)
			_, err = object.NewClient(f.url, netip.Addr{}).Put(f.ctx, "document", first, []byte("new"))
			f.NoErr(err)
			for _, name := range []string{"a", "b", "c"} {
				f.store.Put(string(object.KindObjects), name, []byte(`"x"`))
			}
			f.Equal(f.watch(lost), "new")
		},
		"a write based on a lost version is a conflict, although another write has its number": func(f *fixture) {
			first := f.put(none, "one")
			backup := f.store.Backup()
			lost := f.put(first, "two")
			f.store.Restore(backup)
			f.put(f.get(), "new")
			_, err := f.client.Put(f.ctx, "document", lost, []byte("three"))
			f.True(errors.Is(err, object.ErrConflict))
			obj, err := f.client.Get(f.ctx, "document")
			f.NoErr(err)
			f.Equal(string(obj.Body), "new")
		},
	}
	for name, check := range cases {
		t.Run(name, func(t *testing.T) {
			st := stand.NewStore()
			srv := httptest.NewServer(st.Handler())
			defer srv.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			check(&fixture{I: is.New(t), ctx: ctx, store: st, client: object.NewClient(srv.URL, netip.Addr{}), url: srv.URL})
		})
	}
}
