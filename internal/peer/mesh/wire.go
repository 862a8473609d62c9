package mesh

import (
	"net/netip"
	"time"

	"hawthorncourse/internal/core/engine"
	"hawthorncourse/internal/core/model"
)

// Member is a model.Member on the wire. State holds a model.MemberState, and Hand the address for handed-off packets.
type Member struct {
	ID, Domain    string
	Boot          uint64
	Incarnation   uint32
	State         uint8
	Control, Hand netip.AddrPort
}

// PingArgs is a probe.
type PingArgs struct {
	// From is the sender.
	From Member
	// News holds membership updates about any instance.
	News []Member
	// Versions and Eras hold the versions of the sender's active objects, by kind, and the eras that these are of. Builds that know no eras send
	// zeros.
	Versions [kindCount]uint64
	Eras     [kindCount]uint64
	// Loads holds the utilisation of the sender's slots.
	Loads []Load
}

// Load is the utilisation of an instance's slots of one service.
type Load struct {
	Service string
	// Busy is the share of the slots recently in use; it may exceed 1, as waiting requests count too.
	Busy float32
}

// PingReply is the answer to a probe; its fields have the same meaning as those of PingArgs.
type PingReply struct {
	News     []Member
	Versions [kindCount]uint64
	Eras     [kindCount]uint64
	Loads    []Load
}

// HelpArgs asks an instance to probe the target.
type HelpArgs struct {
	Target Member
}

// HelpReply reports whether the target answered.
type HelpReply struct {
	Answered bool
}

// PullArgs requests the object of a kind if it was written after the version Above of the era AboveEra.
type PullArgs struct {
	Kind     uint8
	Above    uint64
	AboveEra uint64
}

// PullReply is the requested object; Version is zero if there is no later state.
type PullReply struct {
	Version uint64
	Era     uint64
	Body    []byte
}

// TellArgs carries observations of upstreams.
type TellArgs struct {
	Sightings []Sighting
}

// Sighting is an engine.Observation on the wire: what the sender has observed of one upstream.
type Sighting struct {
	Upstream string
	// Boot identifies the start of the upstream's process.
	Boot uint64
	// BootAge is the time since the sender first saw Boot, and HeardAge the time since an answer of the upstream confirmed it.
	BootAge, HeardAge time.Duration
	// Guessed is set if the upstream may have started long before the sender first saw Boot.
	Guessed bool
	// Down, Draining and Connections are the last result of the sender's health checks; Connections is the number of open streams.
	Down, Draining bool
	Connections    int
}

// CopyArgs carries flow assignments.
type CopyArgs struct {
	Flows []Flow
}

// Flow is the upstream that one flow is assigned to.
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

// fromWireAll converts members and leaves out those without an ID, with an unknown state or without a control address.
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

// position converts the version and era of a peer's object. A peer whose build knows no eras sends zero; its version is taken to be of the era of
// this instance's object.
func position(version, era uint64, own model.Position) model.Position {
	if era == 0 {
		return model.Position{Era: own.Era, Revision: model.Revision(version)}
	}
	return model.Position{Era: model.Era(era), Revision: model.Revision(version)}
}

func peerUpdateToWire(u engine.PeerUpdate) TellArgs {
	var args TellArgs
	for _, o := range u.Observations {
		args.Sightings = append(args.Sightings, Sighting{
			Upstream:    string(o.Upstream),
			Boot:        uint64(o.Boot),
			BootAge:     o.BootAge,
			HeardAge:    o.ConfirmedAge,
			Guessed:     o.BootTimeInferred,
			Down:        o.Health.Down,
			Draining:    o.Health.Draining,
			Connections: o.Health.Connections,
		})
	}
	return args
}

func peerUpdateFromWire(args TellArgs) engine.PeerUpdate {
	var u engine.PeerUpdate
	for _, o := range args.Sightings {
		u.Observations = append(u.Observations, engine.Observation{
			Upstream:         model.UpstreamID(o.Upstream),
			Boot:             model.BootID(o.Boot),
			BootAge:          max(o.BootAge, 0),
			ConfirmedAge:     max(o.HeardAge, 0),
			BootTimeInferred: o.Guessed,
			Health: engine.Health{
				Upstream:    model.UpstreamID(o.Upstream),
				Down:        o.Down,
				Draining:    o.Draining,
				Connections: o.Connections,
			},
		})
	}
	return u
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

func assignmentsToWire(assignments []engine.FlowAssignment) CopyArgs {
	var args CopyArgs
	for _, a := range assignments {
		args.Flows = append(args.Flows, Flow{Caller: a.Flow.Caller, Service: a.Flow.Service, Upstream: string(a.Upstream)})
	}
	return args
}

func assignmentsFromWire(args CopyArgs) []engine.FlowAssignment {
	out := make([]engine.FlowAssignment, 0, len(args.Flows))
	for _, f := range args.Flows {
		out = append(out, engine.FlowAssignment{
			Flow:     model.FlowKey{Caller: f.Caller, Service: f.Service},
			Upstream: model.UpstreamID(f.Upstream),
		})
	}
	return out
}
