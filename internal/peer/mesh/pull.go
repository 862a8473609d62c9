package mesh

import (
	"context"

	"hawthorncourse/internal/core/model"
)

// pullRequest asks servePulls to fetch an object from a peer.
type pullRequest struct {
	kind Kind
	from model.Member
}

// Push makes the mesh probe a few peers immediately, so that they receive changes before the next regular probe.
func (m *Mesh) Push() {
	m.pushRequests.Offer(struct{}{})
}

// versions returns the versions of the active objects and their eras, by kind.
func (m *Mesh) versions() (v, eras [kindCount]uint64) {
	for kind := range kindCount {
		at, _ := m.cfg.Host.Object(kind)
		v[kind], eras[kind] = uint64(at.Revision), uint64(at.Era)
	}
	return v, eras
}

// requestNewer queues a pull for each object that a peer has in a later state.
func (m *Mesh) requestNewer(from model.Member, versions, eras [kindCount]uint64) {
	for kind := range kindCount {
		have, _ := m.cfg.Host.Object(kind)
		if position(versions[kind], eras[kind], have).Compare(have) > 0 && !m.pullRequests.Offer(pullRequest{kind: kind, from: from}) {
			m.cfg.Counts.Counter("mesh.pull_ring_full").Inc(1)
		}
	}
}

// servePulls fetches the requested objects one after the other.
func (m *Mesh) servePulls(ctx context.Context) error {
	for {
		p, ok := m.pullRequests.Take(ctx)
		if !ok {
			return nil
		}
		m.pull(ctx, p)
	}
}

// pull fetches an object and offers it to the host if it is newer than the host's.
func (m *Mesh) pull(ctx context.Context, p pullRequest) {
	have, _ := m.cfg.Host.Object(p.kind)
	var reply PullReply
	args := PullArgs{Kind: uint8(p.kind), Above: uint64(have.Revision), AboveEra: uint64(have.Era)}
	if err := m.links.Call(ctx, p.from.Control, serviceName+".Pull", args, &reply, callTimeout); err != nil {
		m.cfg.Counts.Counter("mesh.pull_failed").Inc(1)
		return
	}
	if reply.Version != 0 {
		m.cfg.Host.Offer(p.kind, position(reply.Version, reply.Era, have), reply.Body)
	}
}

// servePushes probes pushFanout random live members for each Push.
func (m *Mesh) servePushes(ctx context.Context) error {
	for {
		if _, ok := m.pushRequests.Take(ctx); !ok {
			return nil
		}
		m.mu.Lock()
		targets := m.list.RandomLive(pushFanout, "")
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
