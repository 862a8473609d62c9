package mesh

import (
	"net/netip"
	"time"

	"hawthorncourse/internal/core/engine"
	"hawthorncourse/internal/core/model"
)

// Member is one instance on the wire.
type Member struct {
	ID, Domain    string
	Boot          uint64
	Incarnation   uint32
	State         uint8
	Control, Hand netip.AddrPort
}

// PingArgs is a probe with word of others.
type PingArgs struct {
	From Member
	News []Member
	// Versions are those of the objects in force at the sender, by kind.
	Versions [kindCount]uint64
	Loads    []Load
}

// Load is how busy an instance's slots of one service are.
type Load struct {
	Service string
	Busy    float32
}

// PingReply is the answer to a probe.
type PingReply struct {
	News     []Member
	Versions [kindCount]uint64
	Loads    []Load
}

// HelpArgs asks an instance to probe another.
type HelpArgs struct {
	Target Member
}

// HelpReply tells whether the target answered.
type HelpReply struct {
	Answered bool
}

// PullArgs asks for an object that the sender has at an older version.
type PullArgs struct {
	Kind  uint8
	Above uint64
}

// PullReply is an object, or version zero for none above the asked one.
type PullReply struct {
	Version uint64
	Body    []byte
}

// TellArgs is one letter about upstreams.
type TellArgs struct {
	Sightings []Sighting
}

// Sighting is what is told of one upstream.
type Sighting struct {
	Upstream          string
	Boot              uint64
	BootAge, HeardAge time.Duration
	Guessed           bool
	Down, Draining    bool
	Connections       int
}

// CopyArgs tells where flows sit.
type CopyArgs struct {
	Flows []Flow
}

// Flow is the place of one flow.
type Flow struct {
	Caller, Service netip.AddrPort
	Upstream        string
}

// Done is an empty reply.
type Done struct{}

func toWire(m model.Member) Member {
	return Member{
		ID:          string(m.ID),
		Domain:      string(m.Domain),
		Boot:        uint64(m.Boot),
		Incarnation: m.Incarnation,
		State:       uint8(m.State),
		Control:     m.Control,
		Hand:        m.HandOff,
	}
}

func fromWire(m Member) model.Member {
	return model.Member{
		ID:          model.InstanceID(m.ID),
		Domain:      model.DomainID(m.Domain),
		Boot:        model.BootID(m.Boot),
		Incarnation: m.Incarnation,
		State:       model.MemberState(m.State),
		Control:     m.Control,
		HandOff:     m.Hand,
	}
}

func toWireAll(members []model.Member) []Member {
	out := make([]Member, 0, len(members))
	for _, m := range members {
		out = append(out, toWire(m))
	}
	return out
}

// fromWireAll leaves out what no instance would say.
func fromWireAll(members []Member) []model.Member {
	out := make([]model.Member, 0, len(members))
	for _, w := range members {
		m := fromWire(w)
		if m.ID == "" || m.State < model.MemberAlive || m.State > model.MemberDead || !m.Control.IsValid() {
			continue
		}
		out = append(out, m)
	}
	return out
}

func letterToWire(l engine.PeerUpdate) TellArgs {
	var args TellArgs
	for _, s := range l.Observations {
		args.Sightings = append(args.Sightings, Sighting{
			Upstream:    string(s.Upstream),
			Boot:        uint64(s.Boot),
			BootAge:     s.BootAge,
			HeardAge:    s.ConfirmedAge,
			Guessed:     s.BootTimeInferred,
			Down:        s.Health.Down,
			Draining:    s.Health.Draining,
			Connections: s.Health.Connections,
		})
	}
	return args
}

func letterFromWire(args TellArgs) engine.PeerUpdate {
	var l engine.PeerUpdate
	for _, s := range args.Sightings {
		l.Observations = append(l.Observations, engine.Observation{
			Upstream:         model.UpstreamID(s.Upstream),
			Boot:             model.BootID(s.Boot),
			BootAge:          max(s.BootAge, 0),
			ConfirmedAge:     max(s.HeardAge, 0),
			BootTimeInferred: s.Guessed,
			Health: engine.Health{
				Upstream:    model.UpstreamID(s.Upstream),
				Down:        s.Down,
				Draining:    s.Draining,
				Connections: s.Connections,
			},
		})
	}
	return l
}

func loadsToWire(loads []engine.Load) []Load {
	out := make([]Load, 0, len(loads))
	for _, l := range loads {
		out = append(out, Load{Service: string(l.Service), Busy: float32(l.Utilisation)})
	}
	return out
}

func loadsFromWire(loads []Load) []engine.Load {
	out := make([]engine.Load, 0, len(loads))
	for _, l := range loads {
		out = append(out, engine.Load{Service: model.ServiceID(l.Service), Utilisation: float64(l.Busy)})
	}
	return out
}

func copiesToWire(copies []engine.FlowAssignment) CopyArgs {
	var args CopyArgs
	for _, c := range copies {
		args.Flows = append(args.Flows, Flow{Caller: c.Flow.Caller, Service: c.Flow.Service, Upstream: string(c.Upstream)})
	}
	return args
}

func copiesFromWire(args CopyArgs) []engine.FlowAssignment {
	out := make([]engine.FlowAssignment, 0, len(args.Flows))
	for _, f := range args.Flows {
		out = append(out, engine.FlowAssignment{
			Flow:     model.FlowKey{Caller: f.Caller, Service: f.Service},
			Upstream: model.UpstreamID(f.Upstream),
		})
	}
	return out
}
