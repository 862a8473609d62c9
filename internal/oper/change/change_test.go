package change_test

import (
	"context"
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/oper/change"
	"hawthorncourse/internal/plat/object"
)

var errLost = errors.New("connection lost")

// fakePlatform is an in-memory platform that can reject writes, fail them, or lose their responses.
type fakePlatform struct {
	obj object.Object
	// losesResponse is called after each write that took effect; if it returns true, the response is lost.
	losesResponse func() bool
	// rejects makes every write fail with ErrRejected.
	rejects bool
	// failingWrites is the number of next writes that fail without effect.
	failingWrites int
}

// Get implements change.Platform.
func (f *fakePlatform) Get(context.Context, string) (object.Object, error) {
	if f.obj.Version == 0 {
		return f.obj, object.ErrNotFound
	}
	return f.obj, nil
}

// Put implements change.Platform.
func (f *fakePlatform) Put(_ context.Context, _ string, at model.Position, body []byte) (model.Position, error) {
	if f.rejects {
		return at, object.ErrRejected
	}
	if f.failingWrites > 0 {
		f.failingWrites--
		return at, errLost
	}
	if at != f.obj.At() {
		return at, object.ErrConflict
	}
	f.obj.Version, f.obj.Body = f.obj.Version+1, body
	if f.losesResponse != nil && f.losesResponse() {
		return at, errLost
	}
	return f.obj.At(), nil
}

func newFakePlatform(t *testing.T) (*fakePlatform, change.StoredDocument) {
	t.Helper()
	is := is.New(t)
	text, err := os.ReadFile("testdata/document.jsonc")
	is.NoErr(err)
	f := &fakePlatform{}
	_, err = change.Submit(context.Background(), f, change.StoredDocument{}, text, "first")
	is.NoErr(err)
	return f, read(t, f)
}

func read(t *testing.T, f *fakePlatform) change.StoredDocument {
	t.Helper()
	d, err := change.Read(context.Background(), f)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func TestSubmit(t *testing.T) {
	cases := map[string]struct {
		prepare  func(*testing.T, *fakePlatform)
		conflict bool
		version  model.Version
	}{
		"success":                      {prepare: func(*testing.T, *fakePlatform) {}, version: 2},
		"response is lost":             {prepare: func(_ *testing.T, f *fakePlatform) { f.losesResponse = once() }, version: 2},
		"first write fails":            {prepare: func(_ *testing.T, f *fakePlatform) { f.failingWrites = 1 }, version: 2},
		"another operator wrote first": {prepare: func(t *testing.T, f *fakePlatform) { submit(t, f, "second") }, conflict: true},
		"response is lost and another operator writes":       {prepare: loseResponseThenConflict, version: 3},
		"the store was restored and holds the same document": {prepare: func(_ *testing.T, f *fakePlatform) { f.obj.Era++ }, version: 2},
		"the store was restored and the version is that of another change": {prepare: func(t *testing.T, f *fakePlatform) {
			at := f.obj.Version
			submit(t, f, "a second operator")
			f.obj.Era, f.obj.Version = f.obj.Era+1, at
		}, conflict: true},
		"write fails and another operator wrote first": {prepare: func(t *testing.T, f *fakePlatform) {
			submit(t, f, "second")
			f.failingWrites = 1
		}, conflict: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, base := newFakePlatform(t)
			tc.prepare(t, f)
			text, err := change.SetDomainOut(base, "musanze", true, "seed week")
			is.NoErr(err)
			at, err := change.Submit(context.Background(), f, base, text, "me")
			var conflict *change.ConflictError
			is.Equal(errors.As(err, &conflict), tc.conflict)
			if tc.conflict {
				is.True(strings.Contains(err.Error(), "second"))
				return
			}
			is.NoErr(err)
			is.Equal(at, read(t, f).At())
			is.Equal(model.Version(at.Revision), tc.version)
		})
	}
}

// once returns a function that returns true on its first call only.
func once() func() bool {
	done := false
	return func() bool {
		first := !done
		done = true
		return first
	}
}

// loseResponseThenConflict loses the response of a write and has another operator change the document before it is read back.
func loseResponseThenConflict(t *testing.T, f *fakePlatform) {
	f.losesResponse = func() bool {
		f.losesResponse = nil
		submit(t, f, "second")
		return true
	}
}

func submit(t *testing.T, f *fakePlatform, author string) {
	t.Helper()
	is := is.New(t)
	base := read(t, f)
	text, err := change.SetUpstreamLeaving(base, "order-desk-2", true, "")
	is.NoErr(err)
	_, err = change.Submit(context.Background(), f, base, text, author)
	is.NoErr(err)
}

func TestSubmitTimeout(t *testing.T) {
	is := is.New(t)
	f, base := newFakePlatform(t)
	f.failingWrites = 1 << 20
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := change.Submit(ctx, f, base, base.Text, "me")
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "not known whether"))
}

// TestInvalidDocument checks that a valid document can replace an object that does not parse.
func TestInvalidDocument(t *testing.T) {
	is := is.New(t)
	f, good := newFakePlatform(t)
	f.obj = object.Object{Version: 2, Body: []byte("{broken")}
	base, err := change.Read(context.Background(), f)
	is.True(errors.Is(err, change.ErrInvalidDocument))
	is.Equal(base.Version, model.Version(2))
	at, err := change.Submit(context.Background(), f, base, good.Text, "me")
	is.NoErr(err)
	is.Equal(at.Revision, model.Revision(3))
}

func TestSubmitRejected(t *testing.T) {
	is := is.New(t)
	f, base := newFakePlatform(t)
	f.rejects = true
	_, err := change.Submit(context.Background(), f, base, base.Text, "me")
	is.True(errors.Is(err, object.ErrRejected))
}

func TestCheckTransition(t *testing.T) {
	cases := map[string]struct {
		old, new string
		want     string
	}{
		"an address moves to another service": {
			old:  `127.0.0.23:7100`,
			new:  `127.0.0.21:7100`,
			want: "already",
		},
		"an upstream takes the address of a service": {
			old:  `127.0.0.21:7100`,
			new:  `127.0.0.10:5683`,
			want: "already",
		},
		"the key epoch falls": {old: `"keyEpoch": 2`, new: `"keyEpoch": 1`, want: "must not fall"},
		"a note changes":      {old: `Two sites`, new: `Both sites`},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, base := newFakePlatform(t)
			text := strings.Replace(string(base.Text), tc.old, tc.new, 1)
			is.True(text != string(base.Text))
			_, err := change.Check(base, []byte(text))
			is.Equal(err != nil, tc.want != "")
			if err != nil {
				is.True(strings.Contains(err.Error(), tc.want))
			}
		})
	}
}

// TestAddressSwap checks that upstreams of two services cannot swap addresses in one change.
func TestAddressSwap(t *testing.T) {
	is := is.New(t)
	_, base := newFakePlatform(t)
	swap := strings.NewReplacer("127.0.0.21:7100", "127.0.0.23:7100", "127.0.0.23:7100", "127.0.0.21:7100")
	_, err := change.Check(base, []byte(swap.Replace(string(base.Text))))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "remove it there first"))
}

func TestEffects(t *testing.T) {
	is := is.New(t)
	_, base := newFakePlatform(t)
	text, err := change.SetDomainOut(base, "gakenke", true, "")
	is.NoErr(err)
	next, err := change.Check(base, text)
	is.NoErr(err)
	effects := change.Effects(base.Document, next, map[model.UpstreamID]int{"order-desk-1": 5, "order-desk-2": 14})
	is.Equal(effects, []change.Effect{
		{Text: "14 open streams are closed."},
		{Text: "Capacity of order-desk changes from 6 to 3 slots."},
		{Text: "Service field-claims has no upstream that accepts new work.", Grave: true},
	})
	diff := change.Diff(base.Document, next)
	is.Equal(len(diff), 1)
	is.Equal(diff[0].What, "domain gakenke")
}

func TestEditKeepsComments(t *testing.T) {
	cases := map[string]change.Edit{
		"add": {Kind: change.KindUpstream, ID: "order-desk-9", Service: "order-desk", Fields: []change.Field{
			{Name: "domain", Value: "musanze"},
			{Name: "address", Value: "127.0.0.29:7100"},
			{Name: "slots", Value: 3},
			{Name: "connections", Value: 9},
		}},
		"change": {Kind: change.KindUpstream, ID: "order-desk-1", Service: "order-desk", Fields: []change.Field{{Name: "slots", Value: 4}, {Name: "note", Value: nil}}},
		"remove": {Kind: change.KindUpstream, ID: "order-desk-1", Service: "order-desk", Remove: true},
	}
	for name, edit := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, base := newFakePlatform(t)
			text, err := edit.Apply(base)
			is.NoErr(err)
			is.True(strings.Contains(string(text), "// The valley sites"))
			is.True(strings.Contains(string(text), "// Bought second-hand"))
		})
	}
}

// TestConflictError checks the message of a conflict with a version that has no content: commands print it when the stored document is missing
// or invalid.
func TestConflictError(t *testing.T) {
	cases := map[string]struct {
		current change.StoredDocument
		want    string
	}{
		"no document":      {want: "no document is in force"},
		"invalid document": {current: change.StoredDocument{Version: 7, Text: []byte("{")}, want: "version 7"},
		"valid document":   {current: change.StoredDocument{Version: 7, Document: &model.Document{Author: "wanjiru"}}, want: "wanjiru"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			err := &change.ConflictError{Current: tc.current}
			is.New(t).True(strings.Contains(err.Error(), tc.want))
		})
	}
}
