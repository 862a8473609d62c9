// Package object reads, writes and watches the load balancer's own objects in the platform's store.
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
	// WatchTimeout is how long the platform holds a watch call open when nothing changes.
	WatchTimeout = 25 * time.Second
)

// The kinds under which the load balancer's own objects are stored.
const (
	// KindObjects holds the configuration document and the binding keys.
	KindObjects platform.Kind = "hawthornObjects"
	// KindInstances holds one object per instance. The platform maintains it, so it may be out of date.
	KindInstances platform.Kind = "hawthornInstances"
)

// Errors that callers compare with errors.Is.
var (
	// ErrConflict means that another writer changed the object first.
	ErrConflict = platform.ErrConflict
	// ErrNotFound means that the object does not exist.
	ErrNotFound = platform.ErrNotFound
	// ErrRejected means that the platform refused the request and would refuse it again.
	ErrRejected = platform.ErrRejected
	// ErrNoRevision means that the store's response to a list carried no revision.
	ErrNoRevision = eris.New("platform store returned a list without a revision")
	// ErrUnchanged means that a watch ended without a change.
	ErrUnchanged = eris.New("object did not change during the watch")
)

// Object is the content of a stored object at one version.
type Object struct {
	Version model.Version
	Body    []byte
}

// Instance is one entry of the platform's list of instances, which may be out of date.
type Instance struct {
	ID      model.InstanceID
	Domain  model.DomainID
	Control netip.AddrPort
	Leaving bool
}

// Client accesses objects in the platform's store. It is safe for concurrent use.
type Client struct {
	store *platform.Client
	// addrErr is returned by every call if the store's URL is invalid; store is nil then.
	addrErr error

	mu sync.Mutex
	// positions maps the name of each object to the store revision at which its next watch resumes. Guarded by mu.
	positions map[string]model.Revision
}

// NewClient returns a client of the store at the base URL, whose host must be an IP address and a port. Calls use local as their source
// address if it is valid. An invalid URL is reported by the calls.
func NewClient(base string, local netip.Addr) *Client {
	c := &Client{positions: map[string]model.Revision{}}
	u, err := url.Parse(base)
	if err != nil {
		c.addrErr = err
		return c
	}
	at, err := netip.ParseAddrPort(u.Host)
	if err != nil {
		c.addrErr = eris.Wrapf(err, "platform URL %q must have an IP address and a port as its host", base)
		return c
	}
	c.store = platform.NewClient(at, local)
	return c
}

// Get reads an object; the error is ErrNotFound if it does not exist.
func (c *Client) Get(ctx context.Context, name string) (obj Object, err error) {
	defer annotate(&err, "read object %s", name)
	if c.addrErr != nil {
		return Object{}, c.addrErr
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	got, err := c.store.Get(ctx, KindObjects, name)
	if err != nil {
		return Object{}, err
	}
	return decode(got)
}

// Watch waits up to WatchTimeout for a version above the given one. It returns ErrUnchanged if there is none.
func (c *Client) Watch(ctx context.Context, name string, above model.Version) (obj Object, err error) {
	defer annotate(&err, "watch object %s", name)
	if c.addrErr != nil {
		return Object{}, c.addrErr
	}
	ctx, cancel := context.WithTimeout(ctx, WatchTimeout+callTimeout)
	defer cancel()
	after := max(c.position(name), model.Revision(above))
	if after == 0 {
		return c.reread(ctx, name, above)
	}
	events, at, err := c.store.Watch(ctx, KindObjects, after, WatchTimeout)
	if errors.Is(err, platform.ErrHistoryGone) {
		return c.reread(ctx, name, above)
	}
	if err != nil {
		return Object{}, err
	}
	c.setPosition(name, at.Revision)
	for i := len(events) - 1; i >= 0; i-- {
		if events[i].Object.Name == name && !events[i].Deleted {
			return decode(events[i].Object)
		}
	}
	return Object{}, ErrUnchanged
}

// reread lists the current objects. It replaces a watch if there is no position to resume from, or if the store has compacted the changes
// since that position.
func (c *Client) reread(ctx context.Context, name string, above model.Version) (Object, error) {
	items, at, err := c.store.List(ctx, KindObjects)
	if err != nil {
		return Object{}, err
	}
	if at.Revision == 0 {
		// A watch needs a revision to resume from; without one, the caller would repeat the list without a pause.
		return Object{}, ErrNoRevision
	}
	c.setPosition(name, at.Revision)
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
	return c.positions[name]
}

func (c *Client) setPosition(name string, rev model.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.positions[name] = max(c.positions[name], rev)
}

// Put replaces an object that is still at the given version, or creates it if the version is zero. It returns the new version, or ErrConflict
// if the object is at another version or exists already.
func (c *Client) Put(ctx context.Context, name string, at model.Version, body []byte) (v model.Version, err error) {
	defer annotate(&err, "write object %s", name)
	if c.addrErr != nil {
		return 0, c.addrErr
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

// decode converts a stored object, whose spec is its body as one JSON string.
func decode(obj platform.Object) (Object, error) {
	var body string
	if err := json.Unmarshal(obj.Spec, &body); err != nil {
		return Object{}, eris.Wrap(err, "object spec is not a JSON string")
	}
	return Object{Version: model.Version(obj.Revision), Body: []byte(body)}, nil
}

// annotate wraps *err, if it is not nil, with the formatted message; it is meant to be deferred.
func annotate(err *error, format string, args ...any) {
	if *err != nil {
		*err = eris.Wrapf(*err, format, args...)
	}
}
