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

// TestRewrite checks that an instance writes its document again to a store that was restored from a copy that lacks it, but not over a change that was
// accepted since.
func TestRewrite(t *testing.T) {
	cases := map[string]struct {
		// existed is set if the copy holds an earlier document.
		existed bool
		// change is set if an operator changes that document after the restore.
		change bool
		// failures is the number of times that the store does not answer a write.
		failures int
	}{
		"the copy holds an earlier document": {existed: true},
		"the copy holds no document":         {},
		"a response is lost":                 {existed: true, failures: 1},
		"an operator changed the copy":       {existed: true, change: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newRestoreFixture(t)
			var backup *stand.Backup
			if !tc.existed {
				backup = f.store.Backup()
			}
			first := f.submit(change.StoredDocument{})
			if tc.existed {
				backup = f.store.Backup()
			}
			want := f.submit(f.submit(first))
			f.offer(want)
			f.store.Restore(backup)
			if tc.change {
				f.offer(f.stored())
				want = f.submit(f.stored())
			}
			f.store.DropResponses(tc.failures)
			ctx, cancel := context.WithCancel(f.ctx)
			defer cancel()
			go func() { _ = f.entry.rewrite(ctx) }()
			go func() { _ = f.entry.watchDocument(ctx) }()
			f.awaitActive(want.Document.Operation, 2)
			f.Equal(f.stored().Document.Operation, want.Document.Operation)
		})
	}
}

// TestRewriteKeys checks that binding keys that a restore of the store loses are written again as they were, so that bindings stay valid.
func TestRewriteKeys(t *testing.T) {
	f := newRestoreFixture(t)
	backup := f.store.Backup()
	body, err := keys.Rotate(bind.Keys{}, 1)
	f.NoErr(err)
	at, err := f.operator.Put(f.ctx, keys.ObjectName, model.Position{}, body)
	f.NoErr(err)
	f.entry.Offer(mesh.KindKeys, at, body)
	f.entry.keyEpoch.Store(1)
	f.store.Restore(backup)
	ctx, cancel := context.WithCancel(f.ctx)
	defer cancel()
	go func() { _ = f.entry.rewrite(ctx) }()
	go func() { _ = f.entry.watchKeys(ctx) }()
	for at.Era == 1 && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
		at, _ = f.entry.Object(mesh.KindKeys)
	}
	obj, err := f.operator.Get(f.ctx, keys.ObjectName)
	f.NoErr(err)
	f.Equal(obj.At(), at)
	f.Equal(string(obj.Body), string(body))
}

// awaitActive waits until the instance's document is that of the operation, written in the era.
func (f *restoreFixture) awaitActive(operation string, era model.Era) {
	f.Helper()
	for f.ctx.Err() == nil {
		at, _ := f.entry.Object(mesh.KindDocument)
		if at.Era == era && f.operation() == operation {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.Fail()
}
