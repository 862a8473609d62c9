// Package object reads, writes and watches the load balancer's own objects in the platform's store.
package object

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"net/url"
	"slices"
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
	// Era is the era of the store in which the object was read; versions of different eras say nothing about which is newer.
	Era     model.Era
	Version model.Version
	Body    []byte
}

// At returns the state of the store in which the object was last written, as seen in the era.
func (o Object) At() model.Position {
	return model.Position{Era: o.Era, Revision: model.Revision(o.Version)}
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
	// positions maps the name of each object to the state of the store at which its next watch resumes. It has no entry after a failed watch, as
	// the store may have been restored meanwhile. Guarded by mu.
	positions map[string]model.Position
	// era is the highest era in a response so far. Guarded by mu.
	era model.Era
}

// NewClient returns a client of the store at the base URL, whose host must be an IP address and a port. Calls use local as their source
// address if it is valid. An invalid URL is reported by the calls.
func NewClient(base string, local netip.Addr) *Client {
	c := &Client{positions: map[string]model.Position{}}
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
	c.noteEra(got.Era)
	return decode(got)
}

// Watch waits up to WatchTimeout for a state of the object after the given one. It returns ErrUnchanged if there is none. If the store was restored
// from an older copy that lacks the object, the error is ErrNotFound, and the result holds the era.
func (c *Client) Watch(ctx context.Context, name string, above model.Position) (obj Object, err error) {
	defer annotate(&err, "watch object %s", name)
	if c.addrErr != nil {
		return Object{}, c.addrErr
	}
	ctx, cancel := context.WithTimeout(ctx, WatchTimeout+callTimeout)
	defer cancel()
	after, ok := c.position(name)
	if !ok {
		obj, err = c.reread(ctx, name, above)
		after, _ = c.position(name)
		// Changes of other objects end a watch without a result as well.
		if !errors.Is(err, ErrUnchanged) || after != above {
			return obj, err
		}
	}
	events, at, err := c.store.Watch(ctx, KindObjects, after.Revision, WatchTimeout)
	if errors.Is(err, platform.ErrHistoryGone) || err == nil && at.Era != after.Era {
		return c.reread(ctx, name, above)
	}
	if err != nil {
		c.forgetPosition(name)
		return Object{}, err
	}
	c.setPosition(name, at)
	return latest(events, name, above)
}

// latest returns the last state of the object in events if it is after the given one, and ErrUnchanged if there is none.
func latest(events []platform.Event, name string, above model.Position) (Object, error) {
	for i := len(events) - 1; i >= 0; i-- {
		if e := events[i]; e.Object.Name == name && !e.Deleted && written(e.Object).Compare(above) > 0 {
			return decode(e.Object)
		}
	}
	return Object{}, ErrUnchanged
}

// reread lists the current objects. It replaces a watch if there is no position to resume from, or if the store no longer holds the changes
// since that position: it has compacted them, or it was restored from an older copy.
func (c *Client) reread(ctx context.Context, name string, above model.Position) (Object, error) {
	items, at, err := c.store.List(ctx, KindObjects)
	if err != nil {
		return Object{}, err
	}
	if at.Revision == 0 {
		// A watch needs a revision to resume from; without one, the caller would repeat the list without a pause.
		return Object{}, ErrNoRevision
	}
	c.setPosition(name, at)
	i := slices.IndexFunc(items, func(o platform.Object) bool { return o.Name == name })
	switch {
	case i < 0 && above.Revision != 0 && above.Era < at.Era:
		return Object{Era: at.Era}, ErrNotFound
	case i < 0 || written(items[i]).Compare(above) <= 0:
		return Object{}, ErrUnchanged
	}
	return decode(items[i])
}

// position returns the state at which the next watch resumes; ok is false if there is none, or if it is of an earlier era than the store's.
func (c *Client) position(name string) (at model.Position, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok = c.positions[name]
	return at, ok && at.Era >= c.era
}

func (c *Client) setPosition(name string, at model.Position) {
	c.noteEra(at.Era)
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.Compare(c.positions[name]) > 0 {
		c.positions[name] = at
	}
}

func (c *Client) forgetPosition(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.positions, name)
}

// noteEra records the era of a response.
func (c *Client) noteEra(era model.Era) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.era = max(c.era, era)
}

// restoredSince reports whether the store is known to have been restored since the state.
func (c *Client) restoredSince(at model.Position) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return at.Era < c.era
}

// Put replaces an object that is still at the given version of the given era, or creates it if the revision is zero. It returns where the
// object was written, or ErrConflict if the object is at another version or exists already, or if the store is known to have been restored since that
// era: the version may then be that of another write.
func (c *Client) Put(ctx context.Context, name string, at model.Position, body []byte) (now model.Position, err error) {
	defer annotate(&err, "write object %s", name)
	if c.addrErr != nil {
		return model.Position{}, c.addrErr
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	spec, err := json.Marshal(string(body))
	if err != nil {
		return model.Position{}, err
	}
	var obj platform.Object
	switch {
	case at.Revision == 0:
		obj, err = c.store.Create(ctx, KindObjects, name, spec)
	case c.restoredSince(at):
		return model.Position{}, ErrConflict
	default:
		obj, err = c.store.Replace(ctx, KindObjects, name, at.Revision, spec)
	}
	if err != nil {
		return model.Position{}, err
	}
	c.noteEra(obj.Era)
	return written(obj), nil
}

// written returns the state of the store in which an object was last written.
func written(obj platform.Object) model.Position {
	return model.Position{Era: obj.Era, Revision: obj.Revision}
}

// decode converts a stored object, whose spec is its body as one JSON string.
func decode(obj platform.Object) (Object, error) {
	var body string
	if err := json.Unmarshal(obj.Spec, &body); err != nil {
		return Object{}, eris.Wrap(err, "object spec is not a JSON string")
	}
	return Object{Era: obj.Era, Version: model.Version(obj.Revision), Body: []byte(body)}, nil
}

// annotate wraps *err, if it is not nil, with the formatted message; it is meant to be deferred.
func annotate(err *error, format string, args ...any) {
	if *err != nil {
		*err = eris.Wrapf(*err, format, args...)
	}
}
