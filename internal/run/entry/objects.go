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
	// rewriteInterval is the mean time between two rounds of rewrite. It is random, so that one instance writes before the others try.
	rewriteInterval = time.Second
	// rewriteRounds is the number of rounds after which instances that are no watchers write a reverted object, too.
	rewriteRounds = 5
)

// objectNames maps the replicated objects to their names in the platform's store.
var objectNames = [objectKinds]string{
	mesh.KindDocument: config.ObjectName,
	mesh.KindKeys:     keys.ObjectName,
}

// activeObject is the state of an object that this instance uses.
type activeObject struct {
	// installMu serialises installations. It may be held while the queue of the decision loop is full, so readers of the object do not take it.
	installMu sync.Mutex

	mu sync.Mutex
	// The fields below are guarded by mu and written only while installMu is held as well.

	// at is where the object was written; it never goes back. The zero value means that there is no object yet.
	at      model.Position
	body    []byte
	content content
	// reverted is where the store, restored from an older copy, holds an earlier state of the object; its revision is zero if the store lacks the
	// object. The zero value means that neither is known.
	reverted model.Position
}

// content is the content of a replicated object; only the field of its kind is set.
type content struct {
	doc  *model.Document
	keys bind.Keys
}

// parse parses the body of an object that was written at the given state of the store.
func parse(kind mesh.Kind, at model.Position, body []byte) (c content, err error) {
	if kind == mesh.KindKeys {
		c.keys, err = keys.Parse(at, body)
		return c, err
	}
	if c.doc, err = config.Parse(body); err != nil {
		return c, err
	}
	c.doc.Era, c.doc.Version = at.Era, model.Version(at.Revision)
	return c, nil
}

// derivesFrom reports whether c is known to be an update of other, by any number of steps.
func (c content) derivesFrom(other content) bool {
	if c.doc != nil && other.doc != nil {
		return c.doc.DerivesFrom(other.doc)
	}
	return c.keys.DerivesFrom(other.keys)
}

// Object implements mesh.Host.
func (e *Entry) Object(kind mesh.Kind) (model.Position, []byte) {
	o := &e.objects[kind]
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.at, o.body
}

// Offer implements mesh.Host. It activates an object if it was written after the active one and can be parsed. A store that was restored from
// an older copy may hold an object that the active one is an update of; that does not count as written later.
func (e *Entry) Offer(kind mesh.Kind, at model.Position, body []byte) {
	o := &e.objects[kind]
	o.installMu.Lock()
	defer o.installMu.Unlock()
	if at.Compare(o.at) <= 0 {
		return
	}
	log := e.logger("objects").With("version", at.Revision).With("era", at.Era)
	next, err := parse(kind, at, body)
	if err != nil {
		e.counts.Counter("objects.unreadable").Inc(1)
		log.With("error", err).
			Error("A new version of the configuration document or of the binding keys cannot be parsed; the previous version stays active.")
		return
	}
	if at.Era != o.at.Era && o.content.derivesFrom(next) {
		e.counts.Counter("objects.reverted").Inc(1)
		o.setReverted(at)
		log.With("active", o.at.Revision).Info("The store was restored from a copy that holds an older configuration document or older binding keys; the active version stays.")
		return
	}
	e.install(next)
	o.mu.Lock()
	o.at, o.body, o.content = at, body, next
	if at.Compare(o.reverted) > 0 {
		o.reverted = model.Position{}
	}
	o.mu.Unlock()
	e.mesh.Push()
}

// setReverted records where the store holds an earlier state of the object. o.installMu must be held.
func (o *activeObject) setReverted(at model.Position) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if at.Compare(o.at) > 0 && at.Compare(o.reverted) > 0 {
		o.reverted = at
	}
}

// toRewrite returns the active object and where the store holds an earlier state of it; ok is false if the store is not known to.
func (o *activeObject) toRewrite() (reverted model.Position, body []byte, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.reverted, o.body, o.reverted != model.Position{}
}

// install passes an object to the engine.
func (e *Entry) install(c content) {
	if c.doc != nil {
		e.installDocument(c.doc)
		return
	}
	e.submit(func(model.Instant) { e.engine.SetKeys(c.keys) })
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
	e.logger("objects").With("version", doc.Version).With("era", doc.Era).Info("A new configuration document is active.")
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
	// seen is the last state that the platform returned, including those that were not activated.
	var seen model.Position
	for ctx.Err() == nil {
		if !e.isWatcher(kind) {
			sleep(ctx, watchRetryInterval)
			continue
		}
		have, _ := e.Object(kind)
		if seen.Compare(have) > 0 {
			have = seen
		}
		obj, err := e.platform.Watch(ctx, objectNames[kind], have)
		switch {
		case err == nil:
			e.Offer(kind, obj.At(), obj.Body)
			seen = obj.At()
		case errors.Is(err, object.ErrNotFound):
			e.setMissing(kind, obj.At())
			sleep(ctx, watchRetryInterval)
		case errors.Is(err, object.ErrUnchanged):
		default:
			e.counts.Counter("platform.watch_failed").Inc(1)
			sleep(ctx, watchRetryInterval)
		}
	}
	return nil
}

// setMissing records that the store, restored from an older copy, lacks an object.
func (e *Entry) setMissing(kind mesh.Kind, at model.Position) {
	o := &e.objects[kind]
	o.installMu.Lock()
	defer o.installMu.Unlock()
	o.setReverted(at)
}

// rewrite writes active objects to the store if it was restored from a copy that lacks them or holds earlier states of them: nobody else would, and an
// instance that starts, or an operator, would go on from the earlier state.
func (e *Entry) rewrite(ctx context.Context) error {
	var rounds [objectKinds]int
	for ctx.Err() == nil {
		sleep(ctx, rewriteInterval/2+rand.N(rewriteInterval))
		for kind := range mesh.Kind(objectKinds) {
			if _, _, ok := e.objects[kind].toRewrite(); !ok {
				rounds[kind] = 0
				continue
			}
			rounds[kind]++
			if e.isWatcher(kind) || rounds[kind] > rewriteRounds {
				e.rewriteOnce(ctx, kind)
			}
		}
	}
	return nil
}

func (e *Entry) rewriteOnce(ctx context.Context, kind mesh.Kind) {
	reverted, body, ok := e.objects[kind].toRewrite()
	if !ok {
		return
	}
	written, err := e.platform.Put(ctx, objectNames[kind], reverted, body)
	switch {
	case err == nil:
		e.counts.Counter("objects.rewritten").Inc(1)
		e.logger("objects").With("object", objectNames[kind]).With("era", written.Era).With("replaced", reverted.Revision).With("version", written.Revision).
			Info("The store was restored from an older copy; the active object was written to it again.")
		e.Offer(kind, written, body)
	case errors.Is(err, object.ErrConflict):
		e.refetch(ctx, kind)
	default:
		e.counts.Counter("objects.rewrite_failed").Inc(1)
		e.logger("objects").With("object", objectNames[kind]).With("error", err).
			Info("The active object could not be written to the restored store; the write is repeated.")
	}
}

// resync periodically reads all objects from the platform's store, in case an instance missed an update from its peers. Its interval is
// random, so that instances do not read at the same time.
func (e *Entry) resync(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, resyncInterval/2+rand.N(resyncInterval))
		for kind := range mesh.Kind(objectKinds) {
			obj, err := e.platform.Get(ctx, objectNames[kind])
			if err == nil {
				e.Offer(kind, obj.At(), obj.Body)
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
	at, body := e.Object(mesh.KindKeys)
	var old bind.Keys
	if at.Revision > 0 {
		var err error
		if old, err = keys.Parse(at, body); err != nil {
			e.logger("keys").With("version", at.Revision).With("error", err).Error("The active binding keys cannot be parsed, so they are not rotated.")
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
	written, err := e.platform.Put(ctx, keys.ObjectName, at, rotated)
	switch {
	case err == nil:
		e.logger("keys").With("epoch", epoch).Info("A new binding key was generated and stored.")
		e.Offer(mesh.KindKeys, written, rotated)
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
		e.Offer(kind, obj.At(), obj.Body)
	}
}

// sleep waits for d or until ctx is cancelled.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
