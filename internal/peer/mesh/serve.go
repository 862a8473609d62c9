package mesh

import (
	"context"
	"net/rpc"

	"github.com/rotisserie/eris"

	"hawthorncourse/internal/core/model"
)

const serviceName = "Mesh"

// The errors of calls.
var (
	errUnknownPeer = eris.New("peer is not known")
	errUnknownKind = eris.New("kind of object is not known")
)

// calls holds the methods that peers call.
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

// Ping answers a probe.
func (c *calls) Ping(args PingArgs, reply *PingReply) error {
	m := c.m
	from := fromWireAll([]Member{args.From})
	m.mu.Lock()
	m.list.Merge(m.now(), from)
	m.list.Merge(m.now(), fromWireAll(args.News))
	m.list.RecordContact(m.now(), model.InstanceID(args.From.ID))
	reply.News = toWireAll(append(m.list.NextUpdates(newsPerCall), m.mine(args.From)...))
	m.mu.Unlock()
	reply.Versions, reply.Loads = m.versions(), loadsToWire(m.cfg.Host.Loads())
	m.cfg.Host.SetPeerLoads(model.InstanceID(args.From.ID), loadsFromWire(args.Loads))
	m.report()
	for _, peer := range from {
		m.compare(peer, args.Versions)
	}
	return nil
}

// mine returns this instance, and the caller if it is believed to be worse than it says.
func (m *Mesh) mine(from Member) []model.Member {
	out := []model.Member{m.list.Self()}
	if known, ok := m.list.Find(model.InstanceID(from.ID)); ok && known.State != model.MemberState(from.State) {
		out = append(out, known)
	}
	return out
}

// Help probes another instance for the caller.
func (c *calls) Help(args HelpArgs, reply *HelpReply) error {
	targets := fromWireAll([]Member{args.Target})
	if len(targets) == 1 {
		reply.Answered = c.m.ping(context.Background(), targets[0]) == nil
	}
	return nil
}

// Pull returns an object that is newer than the caller's.
func (c *calls) Pull(args PullArgs, reply *PullReply) error {
	if Kind(args.Kind) >= kindCount {
		return errUnknownKind
	}
	version, body := c.m.cfg.Host.Object(Kind(args.Kind))
	if uint64(version) > args.Above {
		reply.Version, reply.Body = uint64(version), body
	}
	return nil
}

// Tell takes a letter about upstreams.
func (c *calls) Tell(args TellArgs, _ *Done) error {
	c.m.cfg.Host.ApplyPeerUpdate(letterFromWire(args))
	return nil
}

// Copy takes word of flows.
func (c *calls) Copy(args CopyArgs, _ *Done) error {
	c.m.cfg.Host.AddAssignments(copiesFromWire(args))
	return nil
}
