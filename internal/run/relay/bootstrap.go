package relay

import (
	"context"
	"sync"

	"hawthorncourse/internal/core/model"
)

// bootstrap lets an instance serve before its first read is complete, as soon as it has the routes, the failure domains that are out of
// service, and the first page of the upstreams. Packets of flows to the remaining upstreams are held until the read is complete.
type bootstrap struct {
	relay *Relay
	ctx   context.Context
	// current is a state of the store from after the start. Parts that are older may name upstreams that have left, and parts of another era do not
	// add up with the others, so nothing is served from them.
	current model.Position

	mu sync.Mutex
	// The fields below are guarded by mu.

	// outdated is set once a part was older than current or of another era.
	outdated bool

	table *model.RouteTable
	// out holds the failure domains that are out of service; outRead is set once they have been read, as the list may be empty.
	out     []model.DomainID
	outRead bool
	// pending holds upstreams that the engine does not have yet.
	pending []model.Registration
}

// routes adds the route table, which is complete up to a state of the store.
func (b *bootstrap) routes(t model.RouteTable, at model.Position) {
	b.update(at, func() { b.table = &t })
}

// domainsOut adds the failure domains that are out of service, which are complete up to a state of the store.
func (b *bootstrap) domainsOut(list []model.DomainID, at model.Position) {
	b.update(at, func() { b.out, b.outRead = list, true })
}

// upstreams adds a page of the upstreams that was read at a state of the store.
func (b *bootstrap) upstreams(list []model.Registration, at model.Position) {
	b.update(at, func() { b.pending = append(b.pending, list...) })
}

// update runs set. Once routes, failure domains and upstreams are available and none is outdated, it passes the new ones to the engine and
// makes the instance ready. It does nothing if b is nil, which is the case for an instance that is already serving.
func (b *bootstrap) update(at model.Position, set func()) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	set()
	b.outdated = b.outdated || at.Era != b.current.Era || at.Revision < b.current.Revision
	if b.outdated || b.table == nil || !b.outRead || len(b.pending) == 0 {
		return
	}
	r, table, out, pending, era := b.relay, *b.table, b.out, b.pending, b.current.Era
	b.pending = nil
	r.submit(b.ctx, func(now model.Instant) {
		r.engine.Roster().SetOut(now, out, era)
		r.engine.Roster().Add(now, pending, era)
		r.discardStateChanges()
		r.engine.SetRoutes(table)
		r.startServing(b.ctx, now)
		r.act(b.ctx, now, r.engine.ReleaseHeld(now))
	})
}
