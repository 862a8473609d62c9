package mesh

import (
	"context"

	"hawthorncourse/internal/core/model"
)

type pull struct {
	kind Kind
	from model.Member
}

// Push tells some peers at once what is new here.
func (m *Mesh) Push() {
	m.push.Offer(struct{}{})
}

func (m *Mesh) versions() (v [kindCount]uint64) {
	for kind := range kindCount {
		version, _ := m.cfg.Host.Object(kind)
		v[kind] = uint64(version)
	}
	return v
}

// compare asks for each object that a peer has at a higher version.
func (m *Mesh) compare(from model.Member, versions [kindCount]uint64) {
	for kind := range kindCount {
		have, _ := m.cfg.Host.Object(kind)
		if versions[kind] > uint64(have) && !m.pulls.Offer(pull{kind: kind, from: from}) {
			m.cfg.Counts.Counter("mesh.pull_ring_full").Inc(1)
		}
	}
}

func (m *Mesh) pullAll(ctx context.Context) error {
	for {
		p, ok := m.pulls.Take(ctx)
		if !ok {
			return nil
		}
		m.pullOne(ctx, p)
	}
}

func (m *Mesh) pullOne(ctx context.Context, p pull) {
	have, _ := m.cfg.Host.Object(p.kind)
	var reply PullReply
	args := PullArgs{Kind: uint8(p.kind), Above: uint64(have)}
	if err := m.links.Call(ctx, p.from.Control, serviceName+".Pull", args, &reply, pullTimeout); err != nil {
		m.cfg.Counts.Counter("mesh.pull_failed").Inc(1)
		return
	}
	if reply.Version > uint64(have) {
		m.cfg.Host.Offer(p.kind, model.Version(reply.Version), reply.Body)
	}
}

// pushAll probes a few instances out of turn when there is something new.
func (m *Mesh) pushAll(ctx context.Context) error {
	for {
		if _, ok := m.push.Take(ctx); !ok {
			return nil
		}
		m.mu.Lock()
		targets := m.list.RandomLive(pushFan, "")
		m.mu.Unlock()
		for _, target := range targets {
			go func() {
				if m.ping(ctx, target) != nil {
					m.cfg.Counts.Counter("mesh.push_failed").Inc(1)
				}
			}()
		}
	}
}
