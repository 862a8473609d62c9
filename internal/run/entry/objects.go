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
	objectKinds   = 2
	watchersEach  = 2
	watchPause    = time.Second
	backstopEvery = time.Minute
	rotatePause   = time.Second
)

// objectNames holds the platform's names of the objects that instances keep alike.
var objectNames = [objectKinds]string{
	mesh.KindDocument: config.ObjectName,
	mesh.KindKeys:     keys.ObjectName,
}

// held is one object in force here.
type held struct {
	mu sync.Mutex
	// version never falls.
	version model.Version
	body    []byte
}

// Object implements mesh.Host.
func (e *Entry) Object(kind mesh.Kind) (model.Version, []byte) {
	h := &e.objects[kind]
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.version, h.body
}

// Offer implements mesh.Host: only a higher version that can be read is put in force.
func (e *Entry) Offer(kind mesh.Kind, version model.Version, body []byte) {
	h := &e.objects[kind]
	h.mu.Lock()
	defer h.mu.Unlock()
	if version <= h.version {
		return
	}
	if err := e.install(kind, version, body); err != nil {
		e.counts.Counter("objects.unreadable").Inc(1)
		e.part("objects").With("version", version).With("error", err).Error("An object cannot be read, the earlier one stays in force.")
		return
	}
	h.version, h.body = version, body
	e.mesh.Push()
}

func (e *Entry) install(kind mesh.Kind, version model.Version, body []byte) error {
	if kind == mesh.KindKeys {
		parsed, err := keys.Parse(version, body)
		if err != nil {
			return err
		}
		e.do(func(model.Instant) { e.engine.SetKeys(parsed) })
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
	e.do(func(now model.Instant) { e.engine.SetDocument(now, doc) })
	e.part("objects").With("version", doc.Version).Info("A document is in force.")
}

// watchDocument follows the operators' document.
func (e *Entry) watchDocument(ctx context.Context) error {
	return e.watch(ctx, mesh.KindDocument)
}

// watchKeys follows the binding keys and makes new ones when the document asks for them.
func (e *Entry) watchKeys(ctx context.Context) error {
	go e.rotateKeys(ctx)
	return e.watch(ctx, mesh.KindKeys)
}

// watch follows an object at the platform while this instance is one of its domain's watchers.
func (e *Entry) watch(ctx context.Context, kind mesh.Kind) error {
	// seen is the last version that the platform gave, readable or not.
	var seen model.Version
	for ctx.Err() == nil {
		if !e.watcher(kind) {
			sleep(ctx, watchPause)
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
			sleep(ctx, watchPause)
		}
	}
	return nil
}

// backstop reads the objects now and then, in case that no peer brought them.
func (e *Entry) backstop(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, backstopEvery/2+rand.N(backstopEvery))
		for kind := range mesh.Kind(objectKinds) {
			obj, err := e.platform.Get(ctx, objectNames[kind])
			if err == nil {
				e.Offer(kind, obj.Version, obj.Body)
			}
		}
	}
	return nil
}

// watcher reports whether this instance is among the few of its domain that watch the object.
func (e *Entry) watcher(kind mesh.Kind) bool {
	var pool []rendez.Candidate[model.InstanceID]
	for _, m := range e.mesh.Members() {
		if m.Domain == e.self.Domain && m.State != model.MemberDead {
			pool = append(pool, rendez.NewCandidate(string(m.ID), m.ID))
		}
	}
	first, second := rendez.FirstTwo(rendez.KeyOf(objectNames[kind], watchersEach), pool)
	return first == e.self.ID || second == e.self.ID
}

// rotateKeys makes the key of the document's epoch when it is missing.
func (e *Entry) rotateKeys(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, rotatePause)
		if e.watcher(mesh.KindKeys) {
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
		if old, err = keys.Parse(version, body); err != nil || old.List[0].Epoch >= epoch {
			return
		}
	}
	fresh, err := keys.Rotate(old, epoch)
	if err != nil {
		return
	}
	now, err := e.platform.Put(ctx, keys.ObjectName, version, fresh)
	switch {
	case err == nil:
		e.part("keys").With("epoch", epoch).Info("A new binding key is valid.")
		e.Offer(mesh.KindKeys, now, fresh)
	case errors.Is(err, object.ErrConflict):
		e.counts.Counter("keys.conflict").Inc(1)
		e.refetch(ctx, mesh.KindKeys)
	default:
		e.counts.Counter("keys.write_failed").Inc(1)
	}
}

func (e *Entry) refetch(ctx context.Context, kind mesh.Kind) {
	obj, err := e.platform.Get(ctx, objectNames[kind])
	if err == nil {
		e.Offer(kind, obj.Version, obj.Body)
	}
}

// sleep waits for the time or for the end of the context.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
