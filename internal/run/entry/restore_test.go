package entry

import (
	"context"
	"net"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/base/logs"
	"hawthorncourse/internal/base/ring"
	"hawthorncourse/internal/conf/config"
	"hawthorncourse/internal/conf/keys"
	"hawthorncourse/internal/core/bind"
	"hawthorncourse/internal/core/engine"
	"hawthorncourse/internal/core/member"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/oper/change"
	"hawthorncourse/internal/peer/mesh"
	"hawthorncourse/internal/plat/object"
	"hawthorncourse/platform/stand"
)

// lostChanges is the number of changes of the document that a restore loses.
const lostChanges = 40

const emptyDocument = `{"domains": [{"id": "a", "region": "r"}], "services": []}`

// restoreFixture is an instance whose decision loop does not run, and the store that it and an operator use.
type restoreFixture struct {
	*is.I
	ctx      context.Context
	entry    *Entry
	store    *stand.Store
	operator *object.Client
}

func newRestoreFixture(t *testing.T) *restoreFixture {
	t.Helper()
	f := &restoreFixture{I: is.New(t), store: stand.NewStore()}
	srv := httptest.NewServer(f.store.Handler())
	t.Cleanup(srv.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	f.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	e := newIdleEntry()
	e.commands = ring.New[command](1 << 10)
	e.self = model.Member{ID: "i-1", Domain: "a", Control: netip.MustParseAddrPort(listener.Addr().String()), State: model.MemberAlive}
	e.engine = engine.New(engine.Config{Self: e.self})
	e.mesh = mesh.New(mesh.Config{
		Listener: listener,
		Member:   member.Config{Self: e.self, Detection: initialDetection},
		Host:     e,
		Log:      logs.Named(e.log, "mesh"),
		Counts:   e.counts,
	})
	e.platform = object.NewClient(srv.URL, netip.Addr{})
	f.ctx, f.entry, f.operator = ctx, e, object.NewClient(srv.URL, netip.Addr{})
	return f
}

// submit submits a document as an update of base.
func (f *restoreFixture) submit(base change.StoredDocument) change.StoredDocument {
	f.Helper()
	_, err := change.Submit(f.ctx, f.operator, base, []byte(emptyDocument), "operator")
	f.NoErr(err)
	return f.stored()
}

// stored returns the document in the store.
func (f *restoreFixture) stored() change.StoredDocument {
	f.Helper()
	d, err := change.Read(f.ctx, f.operator)
	f.NoErr(err)
	return d
}

func (f *restoreFixture) offer(d change.StoredDocument) {
	f.entry.Offer(mesh.KindDocument, d.At(), d.Text)
}

// operation returns the operation that wrote the instance's document.
func (f *restoreFixture) operation() string {
	f.Helper()
	_, body := f.entry.Object(mesh.KindDocument)
	doc, err := config.Parse(body)
	f.NoErr(err)
	return doc.Operation
}

// TestOfferAfterRestore checks which document is active after the store was restored from a copy that lacks the active one.
func TestOfferAfterRestore(t *testing.T) {
	cases := map[string]func(f *restoreFixture, active change.StoredDocument){
		"the older document of the copy": func(f *restoreFixture, active change.StoredDocument) {
			f.offer(f.stored())
			f.Equal(f.operation(), active.Document.Operation)
		},
		"a change of the older document, at a lower version": func(f *restoreFixture, _ change.StoredDocument) {
			next := f.submit(f.stored())
			f.offer(next)
			f.Equal(f.operation(), next.Document.Operation)
		},
		"the active document, written again": func(f *restoreFixture, active change.StoredDocument) {
			at, err := f.operator.Put(f.ctx, config.ObjectName, f.stored().At(), active.Text)
			f.NoErr(err)
			f.offer(f.stored())
			now, _ := f.entry.Object(mesh.KindDocument)
			f.Equal(now, at)
		},
		"a document from before the restore, sent late by a peer": func(f *restoreFixture, active change.StoredDocument) {
			next := f.submit(f.stored())
			f.offer(next)
			f.offer(active)
			f.Equal(f.operation(), next.Document.Operation)
		},
	}
	for name, check := range cases {
		t.Run(name, func(t *testing.T) {
			f := newRestoreFixture(t)
			older := f.submit(change.StoredDocument{})
			backup := f.store.Backup()
			active := older
			for range lostChanges {
				active = f.submit(active)
			}
			f.offer(older)
			f.offer(active)
			f.Equal(f.operation(), active.Document.Operation)
			f.store.Restore(backup)
			check(f, active)
		})
	}
}

// TestOfferKeysAfterRestore checks that a restore of the store does not take binding keys of a later epoch back.
func TestOfferKeysAfterRestore(t *testing.T) {
	f := newRestoreFixture(t)
	first, err := keys.Rotate(bind.Keys{}, 1)
	f.NoErr(err)
	at := model.Position{Era: 1, Revision: 2}
	f.entry.Offer(mesh.KindKeys, at, first)
	old, err := keys.Parse(at, first)
	f.NoErr(err)
	second, err := keys.Rotate(old, 2)
	f.NoErr(err)
	f.entry.Offer(mesh.KindKeys, model.Position{Era: 1, Revision: 7}, second)
	f.entry.Offer(mesh.KindKeys, model.Position{Era: 2, Revision: 2}, first)
	_, body := f.entry.Object(mesh.KindKeys)
	f.Equal(string(body), string(second))
}
