package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"hawthorncourse/internal/conf/config"
	"hawthorncourse/internal/conf/keys"
	"hawthorncourse/internal/core/bind"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/rendez"
	"hawthorncourse/internal/peer/mesh"
	"hawthorncourse/internal/plat/object"
)

const (
	// objectKinds is the number of replicated objects.
	objectKinds = 2
	// watchersPerDomain is the number of instances per failure domain that watch an object in the platform's store.
	watchersPerDomain  = 2
	watchRetryInterval = time.Second
	// resyncInterval is the mean time between two rounds of resync.
	resyncInterval = time.Minute
	// rotateInterval is how often rotateKeys checks for a new key epoch.
	rotateInterval = time.Second
)

// objectNames maps the replicated objects to their names in the platform's store.
var objectNames = [objectKinds]string{
	mesh.KindDocument: config.ObjectName,
	mesh.KindKeys:     keys.ObjectName,
}

// activeObject is the version of an object that this instance uses.
type activeObject struct {
	// installMu serialises installations. It may be held while the queue of the decision loop is full, so readers of the object do not take it.
	installMu sync.Mutex

	mu sync.Mutex
	// The fields below are guarded by mu and written only while installMu is held as well.

	// version never decreases; zero means that there is no object yet.
	version model.Version
	body    []byte
}

// Object implements mesh.Host.
func (e *Entry) Object(kind mesh.Kind) (model.Version, []byte) {
	o := &e.objects[kind]
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.version, o.body
}

// Offer implements mesh.Host. It activates an object if its version is higher than the active one and it can be parsed.
func (e *Entry) Offer(kind mesh.Kind, version model.Version, body []byte) {
	o := &e.objects[kind]
	o.installMu.Lock()
	defer o.installMu.Unlock()
	if version <= o.version {
		return
	}
	if err := e.install(kind, version, body); err != nil {
		e.counts.Counter("objects.unreadable").Inc(1)
		e.logger("objects").With("version", version).With("error", err).
			Error("A new version of the configuration document or of the binding keys cannot be parsed; the previous version stays active.")
		return
	}
	o.mu.Lock()
	o.version, o.body = version, body
	o.mu.Unlock()
	e.mesh.Push()
}

// install parses an object and passes it to the engine.
func (e *Entry) install(kind mesh.Kind, version model.Version, body []byte) error {
	if kind == mesh.KindKeys {
		parsed, err := keys.Parse(version, body)
		if err != nil {
			return err
		}
		e.submit(func(model.Instant) { e.engine.SetKeys(parsed) })
		return nil
	}
	doc, err := config.Parse(body)
	if err != nil {
		return err
	}
	doc.Version = version
	e.installDocument(doc)
	return nil
}

func (e *Entry) installDocument(doc *model.Document) {
	services := make(map[netip.AddrPort]model.Kind, len(doc.Services))
	for i := range doc.Services {
		services[doc.Services[i].Address] = doc.Services[i].Kind
	}
	e.services.Store(&services)
	e.keyEpoch.Store(uint32(doc.KeyEpoch))
	e.mesh.SetDetection(doc.Timing.Detection)
	e.submit(func(now model.Instant) { e.engine.SetDocument(now, doc) })
	e.logger("objects").With("version", doc.Version).Info("A new configuration document is active.")
}

// watchDocument watches the operators' configuration document.
func (e *Entry) watchDocument(ctx context.Context) error {
	return e.watch(ctx, mesh.KindDocument)
}

// watchKeys watches the binding keys and rotates them when the document's key epoch is raised.
func (e *Entry) watchKeys(ctx context.Context) error {
	go e.rotateKeys(ctx)
	return e.watch(ctx, mesh.KindKeys)
}

// watch watches an object in the platform's store while this instance is one of its domain's watchers. The other instances get the object
// from peers.
func (e *Entry) watch(ctx context.Context, kind mesh.Kind) error {
	// seen is the last version that the platform returned, including versions that could not be parsed.
	var seen model.Version
	for ctx.Err() == nil {
		if !e.isWatcher(kind) {
			sleep(ctx, watchRetryInterval)
			continue
		}
		have, _ := e.Object(kind)
		obj, err := e.platform.Watch(ctx, objectNames[kind], max(have, seen))
		switch {
		case err == nil:
			e.Offer(kind, obj.Version, obj.Body)
			seen = obj.Version
		case errors.Is(err, object.ErrUnchanged):
		default:
			e.counts.Counter("platform.watch_failed").Inc(1)
			sleep(ctx, watchRetryInterval)
		}
	}
	return nil
}

// resync periodically reads all objects from the platform's store, in case an instance missed an update from its peers. Its interval is
// random, so that instances do not read at the same time.
func (e *Entry) resync(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, resyncInterval/2+rand.N(resyncInterval))
		for kind := range mesh.Kind(objectKinds) {
			obj, err := e.platform.Get(ctx, objectNames[kind])
			if err == nil {
				e.Offer(kind, obj.Version, obj.Body)
			}
		}
	}
	return nil
}

// isWatcher reports whether rendezvous hashing selects this instance as one of its domain's watchers of the object.
func (e *Entry) isWatcher(kind mesh.Kind) bool {
	var pool []rendez.Candidate[model.InstanceID]
	for _, m := range e.mesh.Members() {
		if m.Domain == e.self.Domain && m.State != model.MemberDead {
			pool = append(pool, rendez.NewCandidate(string(m.ID), m.ID))
		}
	}
	first, second := rendez.FirstTwo(rendez.KeyOf(objectNames[kind], watchersPerDomain), pool)
	return first == e.self.ID || second == e.self.ID
}

// rotateKeys adds a binding key for the document's key epoch as soon as the newest key is of an earlier epoch.
func (e *Entry) rotateKeys(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, rotateInterval)
		if e.isWatcher(mesh.KindKeys) {
			e.rotateOnce(ctx)
		}
	}
}

func (e *Entry) rotateOnce(ctx context.Context) {
	epoch := model.Epoch(e.keyEpoch.Load())
	if epoch == 0 {
		return
	}
	version, body := e.Object(mesh.KindKeys)
	var old bind.Keys
	if version > 0 {
		var err error
		if old, err = keys.Parse(version, body); err != nil {
			e.logger("keys").With("version", version).With("error", err).Error("The active binding keys cannot be parsed, so they are not rotated.")
			return
		}
		if old.List[0].Epoch >= epoch {
			return
		}
	}
	rotated, err := keys.Rotate(old, epoch)
	if err != nil {
		e.logger("keys").With("epoch", epoch).With("error", err).Error("A new binding key cannot be generated; the rotation is retried.")
		return
	}
	newVersion, err := e.platform.Put(ctx, keys.ObjectName, version, rotated)
	switch {
	case err == nil:
		e.logger("keys").With("epoch", epoch).Info("A new binding key was generated and stored.")
		e.Offer(mesh.KindKeys, newVersion, rotated)
	case errors.Is(err, object.ErrConflict):
		e.counts.Counter("keys.conflict").Inc(1)
		e.refetch(ctx, mesh.KindKeys)
	default:
		e.counts.Counter("keys.write_failed").Inc(1)
	}
}

// refetch reads an object after a write conflict, which means that another instance has written it first.
func (e *Entry) refetch(ctx context.Context, kind mesh.Kind) {
	obj, err := e.platform.Get(ctx, objectNames[kind])
	if err == nil {
		e.Offer(kind, obj.Version, obj.Body)
	}
}

// sleep waits for d or until ctx is cancelled.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
