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

var errLost = errors.New("connection was lost")

// fake is a platform that loses answers on demand.
type fake struct {
	obj object.Object
	// loses is called for each write that took effect; true loses its answer.
	loses func() bool
	// rejects is set while the platform rejects every write.
	rejects bool
	// fails is the number of writes that fail without effect.
	fails int
}

// Get implements change.Platform.
func (f *fake) Get(context.Context, string) (object.Object, error) {
	if f.obj.Version == 0 {
		return f.obj, object.ErrNotFound
	}
	return f.obj, nil
}

// Put implements change.Platform.
func (f *fake) Put(_ context.Context, _ string, at model.Version, body []byte) (model.Version, error) {
	if f.rejects {
		return 0, object.ErrRejected
	}
	if f.fails > 0 {
		f.fails--
		return 0, errLost
	}
	if at != f.obj.Version {
		return 0, object.ErrConflict
	}
	f.obj = object.Object{Version: at + 1, Body: body}
	if f.loses != nil && f.loses() {
		return 0, errLost
	}
	return f.obj.Version, nil
}

func newFake(t *testing.T) (*fake, change.Draft) {
	t.Helper()
	is := is.New(t)
	text, err := os.ReadFile("testdata/document.jsonc")
	is.NoErr(err)
	f := &fake{}
	_, err = change.Submit(context.Background(), f, change.Draft{}, text, "first")
	is.NoErr(err)
	return f, read(t, f)
}

func read(t *testing.T, f *fake) change.Draft {
	t.Helper()
	d, err := change.Read(context.Background(), f)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func TestSubmit(t *testing.T) {
	cases := map[string]struct {
		prepare  func(*testing.T, *fake)
		conflict bool
		version  model.Version
	}{
		"all is well":                     {prepare: func(*testing.T, *fake) {}, version: 2},
		"an answer is lost":               {prepare: func(_ *testing.T, f *fake) { f.loses = once() }, version: 2},
		"a write fails first":             {prepare: func(_ *testing.T, f *fake) { f.fails = 1 }, version: 2},
		"another operator was first":      {prepare: func(t *testing.T, f *fake) { submit(t, f, "second") }, conflict: true},
		"an answer is lost and overtaken": {prepare: overtaken, version: 3},
		"a write fails and another is first": {prepare: func(t *testing.T, f *fake) {
			submit(t, f, "second")
			f.fails = 1
		}, conflict: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, base := newFake(t)
			tc.prepare(t, f)
			text, err := change.SetOut(base, "musanze", true, "seed week")
			is.NoErr(err)
			v, err := change.Submit(context.Background(), f, base, text, "me")
			var conflict *change.ConflictError
			is.Equal(errors.As(err, &conflict), tc.conflict)
			if tc.conflict {
				is.True(strings.Contains(err.Error(), "second"))
				return
			}
			is.NoErr(err)
			is.Equal(v, tc.version)
		})
	}
}

// once returns a function that is true the first time.
func once() func() bool {
	done := false
	return func() bool {
		first := !done
		done = true
		return first
	}
}

// overtaken loses an answer and lets another operator change the document before it is read back.
func overtaken(t *testing.T, f *fake) {
	f.loses = func() bool {
		f.loses = nil
		submit(t, f, "second")
		return true
	}
}

func submit(t *testing.T, f *fake, author string) {
	t.Helper()
	is := is.New(t)
	base := read(t, f)
	text, err := change.SetLeaving(base, "order-desk-2", true, "")
	is.NoErr(err)
	_, err = change.Submit(context.Background(), f, base, text, author)
	is.NoErr(err)
}

func TestSubmitGivesUp(t *testing.T) {
	is := is.New(t)
	f, base := newFake(t)
	f.fails = 1 << 20
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := change.Submit(ctx, f, base, base.Text, "me")
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "not known whether"))
}

// TestUnreadable checks that an object that is no document can be replaced by one.
func TestUnreadable(t *testing.T) {
	is := is.New(t)
	f, good := newFake(t)
	f.obj = object.Object{Version: 2, Body: []byte("{broken")}
	base, err := change.Read(context.Background(), f)
	is.True(errors.Is(err, change.ErrUnreadable))
	is.Equal(base.Version, model.Version(2))
	v, err := change.Submit(context.Background(), f, base, good.Text, "me")
	is.NoErr(err)
	is.Equal(v, model.Version(3))
}

func TestSubmitIsRejected(t *testing.T) {
	is := is.New(t)
	f, base := newFake(t)
	f.rejects = true
	_, err := change.Submit(context.Background(), f, base, base.Text, "me")
	is.True(errors.Is(err, object.ErrRejected))
}

func TestSuccession(t *testing.T) {
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
			_, base := newFake(t)
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

// TestAddressSwap checks that two upstreams of different services cannot trade addresses in one change.
func TestAddressSwap(t *testing.T) {
	is := is.New(t)
	_, base := newFake(t)
	swap := strings.NewReplacer("127.0.0.21:7100", "127.0.0.23:7100", "127.0.0.23:7100", "127.0.0.21:7100")
	_, err := change.Check(base, []byte(swap.Replace(string(base.Text))))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "remove it there first"))
}

func TestEffects(t *testing.T) {
	is := is.New(t)
	_, base := newFake(t)
	text, err := change.SetOut(base, "gakenke", true, "")
	is.NoErr(err)
	next, err := change.Check(base, text)
	is.NoErr(err)
	effects := change.Effects(base.Document, next, map[model.UpstreamID]int{"order-desk-1": 5, "order-desk-2": 14})
	is.Equal(effects, []change.Effect{
		{Text: "14 streams end."},
		{Text: "Capacity of order-desk changes from 6 to 3 slots."},
		{Text: "Service field-claims has no upstream for new work.", Grave: true},
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
			_, base := newFake(t)
			text, err := edit.Apply(base)
			is.NoErr(err)
			is.True(strings.Contains(string(text), "// The valley sites"))
			is.True(strings.Contains(string(text), "// Bought second-hand"))
		})
	}
}
