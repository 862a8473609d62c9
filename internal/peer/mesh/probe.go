package mesh

import (
	"context"
	"time"

	"hawthorncourse/internal/core/model"
)

// Seed makes the addresses known, which a first probe turns into members.
func (m *Mesh) Seed(ctx context.Context, seeds []model.Member) {
	for _, s := range seeds {
		if _, known := m.find(s.ID); known || s.ID == m.cfg.Member.Self.ID {
			continue
		}
		if err := m.ping(ctx, s); err != nil {
			m.cfg.Log.With("peer", s.ID).Debug("A listed instance does not answer.")
		}
	}
}

// probe asks one instance after another whether it lives.
func (m *Mesh) probe(ctx context.Context) error {
	for {
		m.mu.Lock()
		target, ok := m.list.Tick(m.now())
		period := m.list.ProbeInterval()
		m.mu.Unlock()
		m.report()
		if ok {
			go m.check(ctx, target)
		}
		select {
		case <-time.After(period):
		case <-ctx.Done():
			return nil
		}
	}
}

// check probes an instance, by way of others if it does not answer.
func (m *Mesh) check(ctx context.Context, target model.Member) {
	if m.ping(ctx, target) == nil {
		return
	}
	m.cfg.Counts.Counter("mesh.ping_lost").Inc(1)
	m.mu.Lock()
	helpers := m.list.RandomLive(helperCount, target.ID)
	patience := 2 * m.list.ProbeTimeout()
	m.mu.Unlock()
	answered := make(chan bool, len(helpers))
	for _, h := range helpers {
		go func() {
			var reply HelpReply
			err := m.links.Call(ctx, h.Control, serviceName+".Help", HelpArgs{Target: toWire(target)}, &reply, patience)
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
	m.report()
}

// ping probes an instance and exchanges word with it.
func (m *Mesh) ping(ctx context.Context, target model.Member) error {
	args := PingArgs{Versions: m.versions(), Loads: loadsToWire(m.cfg.Host.Loads())}
	m.mu.Lock()
	args.From, args.News = toWire(m.list.Self()), toWireAll(m.list.NextUpdates(newsPerCall))
	patience := m.list.ProbeTimeout()
	m.mu.Unlock()
	var reply PingReply
	if err := m.links.Call(ctx, target.Control, serviceName+".Ping", args, &reply, patience); err != nil {
		return err
	}
	m.mu.Lock()
	m.list.RecordContact(m.now(), target.ID)
	m.list.Merge(m.now(), fromWireAll(reply.News))
	m.mu.Unlock()
	m.report()
	m.cfg.Host.SetPeerLoads(target.ID, loadsFromWire(reply.Loads))
	m.compare(target, reply.Versions)
	return nil
}

// report tells the host of changed members.
func (m *Mesh) report() {
	m.reporting.Lock()
	defer m.reporting.Unlock()
	m.mu.Lock()
	changes := m.list.ChangeCount()
	changed := changes != m.told
	m.told = changes
	members := m.list.Members()
	m.mu.Unlock()
	if changed {
		m.cfg.Host.MembersChanged(members)
	}
}
