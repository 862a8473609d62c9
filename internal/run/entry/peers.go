package entry

import (
	"context"
	"time"

	"hawthorncourse/internal/core/engine"
	"hawthorncourse/internal/core/model"
)

const (
	shareInterval = 500 * time.Millisecond
	seedInterval  = 5 * time.Second
	// calmInterval is how often the platform's list is read while every domain has a live instance.
	calmInterval = 5 * time.Minute
	// copiesPerShare paces word of flows.
	copiesPerShare = 100
)

// listing is what the platform's list of instances last showed.
type listing struct {
	// live holds the domains with at least one instance.
	live map[model.DomainID]bool
}

// MembersChanged implements mesh.Host.
func (e *Entry) MembersChanged(members []model.Member) {
	adopted := e.adopted(members)
	e.do(func(now model.Instant) {
		clear(e.hands)
		for _, m := range members {
			e.hands[m.ID] = m.HandOff
		}
		e.engine.SetMembers(now, members, adopted)
	})
}

// adopted returns the domains that have no instance by the mesh and by the platform's list.
func (e *Entry) adopted(members []model.Member) map[model.DomainID]bool {
	list := e.listed.Load()
	if list == nil {
		return nil
	}
	out := map[model.DomainID]bool{}
	for _, m := range members {
		out[m.Domain] = e.mesh.DomainDown(m.Domain) && !list.live[m.Domain]
	}
	return out
}

// ApplyPeerUpdate implements mesh.Host.
func (e *Entry) ApplyPeerUpdate(l engine.PeerUpdate) {
	e.do(func(now model.Instant) { e.act(e.engine.ApplyPeerUpdate(now, l)) })
}

// Loads implements mesh.Host.
func (e *Entry) Loads() []engine.Load {
	loads := e.loads.Load()
	if loads == nil {
		return nil
	}
	return *loads
}

// SetPeerLoads implements mesh.Host.
func (e *Entry) SetPeerLoads(from model.InstanceID, loads []engine.Load) {
	e.do(func(model.Instant) { e.engine.SetPeerLoads(from, loads) })
}

// AddAssignments implements mesh.Host.
func (e *Entry) AddAssignments(copies []engine.FlowAssignment) {
	e.do(func(now model.Instant) { e.engine.AddAssignments(now, copies) })
}

// seed reads the platform's list for instances that are not known yet.
func (e *Entry) seed(ctx context.Context) error {
	for ctx.Err() == nil {
		e.seedOnce(ctx)
		last := time.Now()
		for ctx.Err() == nil && e.calm() && time.Since(last) < calmInterval {
			sleep(ctx, seedInterval)
		}
		sleep(ctx, seedInterval)
	}
	return nil
}

// calm reports whether the platform's list was read and every domain that it shows has a live instance.
func (e *Entry) calm() bool {
	list := e.listed.Load()
	if list == nil {
		return false
	}
	for domain := range list.live {
		if e.mesh.DomainDown(domain) {
			return false
		}
	}
	return true
}

func (e *Entry) seedOnce(ctx context.Context) {
	list, err := e.platform.Instances(ctx)
	if err != nil {
		e.counts.Counter("platform.list_failed").Inc(1)
		return
	}
	live := map[model.DomainID]bool{}
	var seeds []model.Member
	for _, in := range list {
		live[in.Domain] = true
		seeds = append(seeds, model.Member{ID: in.ID, Domain: in.Domain, Control: in.Control})
	}
	e.listed.Store(&listing{live: live})
	e.mesh.Seed(ctx, seeds)
	e.MembersChanged(e.mesh.Members())
	e.do(func(model.Instant) { e.engine.SetPeersContacted() })
}

// share tells co-owners of upstreams what was heard of them, and homes where flows sit.
func (e *Entry) share(ctx context.Context) error {
	for ctx.Err() == nil {
		e.do(func(now model.Instant) {
			loads := e.engine.Loads(now)
			e.loads.Store(&loads)
			e.post(e.engine.PeerUpdates(now), e.engine.TakeAssignments(copiesPerShare))
		})
		sleep(ctx, shareInterval)
	}
	return nil
}

// tellNow tells co-owners at once of a restarted upstream.
func (e *Entry) tellNow() {
	e.post(e.engine.PeerUpdates(e.now()), nil)
}

// post sends letters and copies without waiting for them.
func (e *Entry) post(letters []engine.PeerUpdate, copies []engine.FlowAssignment) {
	for _, l := range letters {
		go func() {
			if e.mesh.SendPeerUpdate(context.Background(), l) != nil {
				e.counts.Counter("mesh.tell_failed").Inc(1)
			}
		}()
	}
	byPeer := map[model.InstanceID][]engine.FlowAssignment{}
	for _, c := range copies {
		byPeer[c.Peer] = append(byPeer[c.Peer], c)
	}
	for peer, batch := range byPeer {
		go func() {
			if e.mesh.SendAssignments(context.Background(), peer, batch) != nil {
				e.counts.Counter("mesh.copy_failed").Inc(1)
				e.do(func(model.Instant) { e.engine.RequeueAssignments(batch) })
			}
		}()
	}
}
