package mesh

import (
	"context"
	"time"

	"hawthorncourse/internal/core/model"
)

// Seed probes the given instances; those that answer become members.
func (m *Mesh) Seed(ctx context.Context, seeds []model.Member) {
	for _, s := range seeds {
		if _, known := m.find(s.ID); known || s.ID == m.cfg.Member.Self.ID {
			continue
		}
		if err := m.ping(ctx, s); err != nil {
			m.cfg.Log.With("peer", s.ID).Debug("An instance on the platform's list did not answer a probe; it is not a member of the mesh yet.")
		}
	}
}

// probe runs the failure detector: it probes one member per interval.
func (m *Mesh) probe(ctx context.Context) error {
	for {
		m.mu.Lock()
		target, ok := m.list.Tick(m.now())
		interval := m.list.ProbeInterval()
		m.mu.Unlock()
		m.notifyHost()
		if ok {
			go m.check(ctx, target)
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return nil
		}
	}
}

// check probes an instance directly and, if that fails, through other members. The instance becomes a suspect if all probes fail.
func (m *Mesh) check(ctx context.Context, target model.Member) {
	if m.ping(ctx, target) == nil {
		return
	}
	m.cfg.Counts.Counter("mesh.ping_lost").Inc(1)
	m.mu.Lock()
	helpers := m.list.RandomLive(indirectProbes, target.ID)
	timeout := 2 * m.list.ProbeTimeout()
	m.mu.Unlock()
	answered := make(chan bool, len(helpers))
	for _, h := range helpers {
		go func() {
			var reply HelpReply
			err := m.links.Call(ctx, h.Control, serviceName+".Help", HelpArgs{Target: toWire(target)}, &reply, timeout)
			answered <- err == nil && reply.Answered
		}()
	}
	for range helpers {
		if <-answered {
			return
		}
	}
	m.mu.Lock()
	m.list.Suspect(m.now(), target.ID)
	m.mu.Unlock()
	m.notifyHost()
}

// ping probes an instance and exchanges membership updates, loads and object versions with it.
func (m *Mesh) ping(ctx context.Context, target model.Member) error {
	args := PingArgs{Loads: loadsToWire(m.cfg.Host.Loads())}
	args.Versions, args.Eras = m.versions()
	m.mu.Lock()
	args.From, args.News = toWire(m.list.Self()), toWireAll(m.list.NextUpdates(updatesPerCall))
	timeout := m.list.ProbeTimeout()
	m.mu.Unlock()
	var reply PingReply
	if err := m.links.Call(ctx, target.Control, serviceName+".Ping", args, &reply, timeout); err != nil {
		return err
	}
	m.mu.Lock()
	m.list.Merge(m.now(), fromWireAll(reply.News))
	m.mu.Unlock()
	m.notifyHost()
	m.cfg.Host.SetPeerLoads(target.ID, loadsFromWire(reply.Loads))
	m.requestNewer(target, reply.Versions, reply.Eras)
	return nil
}

// notifyHost calls MembersChanged if the membership has changed since the last call.
func (m *Mesh) notifyHost() {
	m.notifyMu.Lock()
	defer m.notifyMu.Unlock()
	m.mu.Lock()
	changes := m.list.ChangeCount()
	changed := changes != m.notified
	m.notified = changes
	members := m.list.Members()
	m.mu.Unlock()
	if changed {
		m.cfg.Host.MembersChanged(members)
	}
}
