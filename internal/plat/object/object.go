// Package object keeps the project's own objects in the platform's store: one version of each, with watches.
package object

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/platform"
)

const (
	callTimeout = 3 * time.Second
	// WatchTimeout is how long one watch waits at the platform.
	WatchTimeout = 25 * time.Second
)

// The kinds of the project's objects in the store.
const (
	// KindObjects holds the document and the binding keys, by name.
	KindObjects platform.Kind = "hawthornObjects"
	// KindInstances is the platform's lagging list of instances, by their names.
	KindInstances platform.Kind = "hawthornInstances"
)

// The errors of calls.
var (
	// ErrConflict means that somebody else changed the object first.
	ErrConflict = platform.ErrConflict
	// ErrNotFound means that there is no such object.
	ErrNotFound = platform.ErrNotFound
	// ErrRejected means that the platform will never take the call as it is.
	ErrRejected = platform.ErrRejected
	// ErrUnchanged means that a watch ended without a change.
	ErrUnchanged = eris.New("object has not changed")
)

// Object is one object of the platform at one version.
type Object struct {
	Version model.Version
	Body    []byte
}

// Instance is one entry of the platform's lagging list of instances.
type Instance struct {
	ID      model.InstanceID
	Domain  model.DomainID
	Control netip.AddrPort
	Leaving bool
}

// Client keeps objects in the store.
type Client struct {
	store *platform.Client
	// bad is why no call can be made; nil if the store's address is known.
	bad error

	mu sync.Mutex
	// seen holds, for each object, a revision up to which it has not changed since its version; guarded by mu.
	seen map[string]model.Revision
}

// NewClient returns a client of the store at the URL that calls from the local address, if that is given.
func NewClient(base string, local netip.Addr) *Client {
	c := &Client{seen: map[string]model.Revision{}}
	u, err := url.Parse(base)
	if err != nil {
		c.bad = err
		return c
	}
	at, err := netip.ParseAddrPort(u.Host)
	if err != nil {
		c.bad = eris.Wrapf(err, "platform %q must be a URL with an IP address and a port", base)
		return c
	}
	c.store = platform.NewClient(at, local)
	return c
}

// Get reads an object.
func (c *Client) Get(ctx context.Context, name string) (obj Object, err error) {
	defer annotate(&err, "read object %s", name)
	if c.bad != nil {
		return Object{}, c.bad
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	got, err := c.store.Get(ctx, KindObjects, name)
	if err != nil {
		return Object{}, err
	}
	return decode(got)
}

// Watch waits for a version above the given one; it returns ErrUnchanged if none came.
func (c *Client) Watch(ctx context.Context, name string, above model.Version) (obj Object, err error) {
	defer annotate(&err, "watch object %s", name)
	if c.bad != nil {
		return Object{}, c.bad
	}
	ctx, cancel := context.WithTimeout(ctx, WatchTimeout+callTimeout)
	defer cancel()
	after := max(c.position(name), model.Revision(above))
	if after == 0 {
		return c.reread(ctx, name, above)
	}
	events, rev, err := c.store.Watch(ctx, KindObjects, after, WatchTimeout)
	if errors.Is(err, platform.ErrHistoryGone) {
		return c.reread(ctx, name, above)
	}
	if err != nil {
		return Object{}, err
	}
	c.setPosition(name, rev)
	for i := len(events) - 1; i >= 0; i-- {
		if events[i].Object.Name == name && !events[i].Deleted {
			return decode(events[i].Object)
		}
	}
	return Object{}, ErrUnchanged
}

// reread reads an object whose changes the store no longer holds, or that was never read.
func (c *Client) reread(ctx context.Context, name string, above model.Version) (Object, error) {
	items, rev, err := c.store.List(ctx, KindObjects)
	if err != nil {
		return Object{}, err
	}
	c.setPosition(name, rev)
	for _, item := range items {
		if item.Name == name && model.Version(item.Revision) > above {
			return decode(item)
		}
	}
	return Object{}, ErrUnchanged
}

func (c *Client) position(name string) model.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.seen[name]
}

func (c *Client) setPosition(name string, rev model.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen[name] = max(c.seen[name], rev)
}

// Put writes an object if it is still at the version, zero for one that must not exist yet.
func (c *Client) Put(ctx context.Context, name string, at model.Version, body []byte) (v model.Version, err error) {
	defer annotate(&err, "write object %s", name)
	if c.bad != nil {
		return 0, c.bad
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	spec, err := json.Marshal(string(body))
	if err != nil {
		return 0, err
	}
	var obj platform.Object
	if at == 0 {
		obj, err = c.store.Create(ctx, KindObjects, name, spec)
	} else {
		obj, err = c.store.Replace(ctx, KindObjects, name, model.Revision(at), spec)
	}
	if err != nil {
		return 0, err
	}
	return model.Version(obj.Revision), nil
}

// decode returns an object whose body lies in the store as one text.
func decode(obj platform.Object) (Object, error) {
	var body string
	if err := json.Unmarshal(obj.Spec, &body); err != nil {
		return Object{}, eris.Wrap(err, "body is not a text")
	}
	return Object{Version: model.Version(obj.Revision), Body: []byte(body)}, nil
}

func annotate(err *error, format string, args ...any) {
	if *err != nil {
		*err = eris.Wrapf(*err, format, args...)
	}
}
