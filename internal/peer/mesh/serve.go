package mesh

import (
	"context"
	"net/rpc"

	"github.com/rotisserie/eris"

	"hawthorncourse/internal/core/model"
)

const serviceName = "Mesh"

var (
	errUnknownPeer = eris.New("peer is not a member of the mesh")
	errUnknownKind = eris.New("kind of object is not known")
)

// calls is the net/rpc receiver: its exported methods are what peers call.
type calls struct {
	m *Mesh
}

func (m *Mesh) serve(ctx context.Context) error {
	srv := rpc.NewServer()
	if err := srv.RegisterName(serviceName, &calls{m: m}); err != nil {
		return err
	}
	return m.links.Serve(ctx, m.cfg.Listener, srv)
}

// Ping answers a probe. The reply holds membership updates, loads and object versions, like the probe itself.
func (c *calls) Ping(args PingArgs, reply *PingReply) error {
	m := c.m
	from := fromWireAll([]Member{args.From})
	m.mu.Lock()
	m.list.Merge(m.now(), from)
	m.list.Merge(m.now(), fromWireAll(args.News))
	reply.News = toWireAll(append(m.list.NextUpdates(updatesPerCall), m.selfAndSender(args.From)...))
	m.mu.Unlock()
	reply.Versions, reply.Eras = m.versions()
	reply.Loads = loadsToWire(m.cfg.Host.Loads())
	m.cfg.Host.SetPeerLoads(model.InstanceID(args.From.ID), loadsFromWire(args.Loads))
	m.notifyHost()
	for _, peer := range from {
		m.requestNewer(peer, args.Versions, args.Eras)
	}
	return nil
}

// selfAndSender returns this instance, and the sender if its state here differs from the one that it reports: a sender that is suspected or
// considered dead can refute that. m.mu must be held.
func (m *Mesh) selfAndSender(from Member) []model.Member {
	out := []model.Member{m.list.Self()}
	if known, ok := m.list.Find(model.InstanceID(from.ID)); ok && known.State != model.MemberState(from.State) {
		out = append(out, known)
	}
	return out
}

// Help probes another instance on behalf of the caller (an indirect probe).
func (c *calls) Help(args HelpArgs, reply *HelpReply) error {
	targets := fromWireAll([]Member{args.Target})
	if len(targets) == 1 {
		reply.Answered = c.m.ping(context.Background(), targets[0]) == nil
	}
	return nil
}

// Pull returns an object if it was written after the caller's.
func (c *calls) Pull(args PullArgs, reply *PullReply) error {
	if Kind(args.Kind) >= kindCount {
		return errUnknownKind
	}
	at, body := c.m.cfg.Host.Object(Kind(args.Kind))
	if at.Compare(position(args.Above, args.AboveEra, at)) > 0 {
		reply.Version, reply.Era, reply.Body = uint64(at.Revision), uint64(at.Era), body
	}
	return nil
}

// Tell receives a peer's observations of upstreams.
func (c *calls) Tell(args TellArgs, _ *Done) error {
	c.m.cfg.Host.ApplyPeerUpdate(peerUpdateFromWire(args))
	return nil
}

// Copy receives flow assignments.
func (c *calls) Copy(args CopyArgs, _ *Done) error {
	c.m.cfg.Host.AddAssignments(assignmentsFromWire(args))
	return nil
}
