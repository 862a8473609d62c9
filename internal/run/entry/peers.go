package entry

import (
	"context"
	"time"

	"hawthorncourse/internal/core/engine"
	"hawthorncourse/internal/core/model"
)

const (
	disseminateInterval = 500 * time.Millisecond
	seedInterval        = 5 * time.Second
	// stableSeedInterval is the time between two reads of the platform's list while every listed domain has a live instance.
	stableSeedInterval = 5 * time.Minute
	// assignmentsPerRound bounds the flow assignments that one round of disseminate sends.
	assignmentsPerRound = 100
)

// instanceList summarises the platform's list of instances.
type instanceList struct {
	// domains holds the failure domains with at least one listed instance.
	domains map[model.DomainID]bool
}

// MembersChanged implements mesh.Host.
func (e *Entry) MembersChanged(members []model.Member) {
	orphaned := e.orphanedDomains(members)
	e.submit(func(now model.Instant) {
		clear(e.handOffAddrs)
		for _, m := range members {
			e.handOffAddrs[m.ID] = m.HandOff
		}
		e.engine.SetMembers(now, members, orphaned)
	})
}

// orphanedDomains returns the domains that have no live instance according to both the mesh and the platform's list. The slots of their
// upstreams go to instances of other domains.
func (e *Entry) orphanedDomains(members []model.Member) map[model.DomainID]bool {
	list := e.platformList.Load()
	if list == nil {
		return nil
	}
	out := map[model.DomainID]bool{}
	for _, m := range members {
		out[m.Domain] = e.mesh.DomainDown(m.Domain) && !list.domains[m.Domain]
	}
	return out
}

// ApplyPeerUpdate implements mesh.Host.
func (e *Entry) ApplyPeerUpdate(u engine.PeerUpdate) {
	e.submit(func(now model.Instant) { e.act(e.engine.ApplyPeerUpdate(now, u)) })
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
	e.submit(func(model.Instant) { e.engine.SetPeerLoads(from, loads) })
}

// AddAssignments implements mesh.Host.
func (e *Entry) AddAssignments(assignments []engine.FlowAssignment) {
	e.submit(func(now model.Instant) { e.engine.AddAssignments(now, assignments) })
}

// seed reads the platform's list periodically to discover instances that are not members of the mesh yet. It reads less often while every
// listed domain has a live instance.
func (e *Entry) seed(ctx context.Context) error {
	for ctx.Err() == nil {
		e.seedOnce(ctx)
		last := time.Now()
		for ctx.Err() == nil && e.allDomainsLive() && time.Since(last) < stableSeedInterval {
			sleep(ctx, seedInterval)
		}
		sleep(ctx, seedInterval)
	}
	return nil
}

// allDomainsLive reports whether the platform's list has been read and every domain on it has a live instance.
func (e *Entry) allDomainsLive() bool {
	list := e.platformList.Load()
	if list == nil {
		return false
	}
	for domain := range list.domains {
		if e.mesh.DomainDown(domain) {
			return false
		}
	}
	return true
}

// seedOnce reads the platform's list and probes the instances on it.
func (e *Entry) seedOnce(ctx context.Context) {
	list, err := e.platform.Instances(ctx)
	if err != nil {
		e.counts.Counter("platform.list_failed").Inc(1)
		return
	}
	domains := map[model.DomainID]bool{}
	var seeds []model.Member
	for _, in := range list {
		domains[in.Domain] = true
		seeds = append(seeds, model.Member{ID: in.ID, Domain: in.Domain, Control: in.Control})
	}
	e.platformList.Store(&instanceList{domains: domains})
	e.mesh.Seed(ctx, seeds)
	e.MembersChanged(e.mesh.Members())
	e.submit(func(model.Instant) { e.engine.SetPeersContacted() })
}

// disseminate periodically sends observations of upstreams to the co-owners of their slots, and flow assignments to the home instances of
// the flows.
func (e *Entry) disseminate(ctx context.Context) error {
	for ctx.Err() == nil {
		e.submit(func(now model.Instant) {
			loads := e.engine.Loads(now)
			e.loads.Store(&loads)
			e.sendToPeers(e.engine.PeerUpdates(now), e.engine.TakeAssignments(assignmentsPerRound))
		})
		sleep(ctx, disseminateInterval)
	}
	return nil
}

// sendUrgentUpdates reports the restart of an upstream to the co-owners of its slots without waiting for the next round of disseminate.
func (e *Entry) sendUrgentUpdates() {
	e.sendToPeers(e.engine.PeerUpdates(e.now()), nil)
}

// sendToPeers sends updates and assignments in the background. Assignments that cannot be sent are queued again.
func (e *Entry) sendToPeers(updates []engine.PeerUpdate, assignments []engine.FlowAssignment) {
	for _, u := range updates {
		go func() {
			if e.mesh.SendPeerUpdate(context.Background(), u) != nil {
				e.counts.Counter("mesh.tell_failed").Inc(1)
			}
		}()
	}
	byPeer := map[model.InstanceID][]engine.FlowAssignment{}
	for _, a := range assignments {
		byPeer[a.Peer] = append(byPeer[a.Peer], a)
	}
	for peer, batch := range byPeer {
		go func() {
			if e.mesh.SendAssignments(context.Background(), peer, batch) != nil {
				e.counts.Counter("mesh.copy_failed").Inc(1)
				e.submit(func(model.Instant) { e.engine.RequeueAssignments(batch) })
			}
		}()
	}
}
