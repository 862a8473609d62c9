package engine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/engine"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/rendez"
)

// flowCold is longer than the time in which the owners of an upstream hear of its start.
const flowCold = 3 * time.Second

// joinerUpstreams are so many that each instance is the prober of some.
const joinerUpstreams = 12

// joiner is an instance that has become the home of flows which others placed before.
type joiner struct {
	*is.I
	e    *engine.Engine
	doc  *model.Document
	now  model.Instant
	self model.Member
	all  []model.Member
}

func newJoiner(t *testing.T) *joiner {
	t.Helper()
	j := &joiner{I: is.New(t), doc: worldDocument(1), self: member("instance-9"), now: model.Instant(200 * time.Millisecond)}
	svc := &j.doc.Services[0]
	svc.Kind = model.KindDatagram
	for n := range joinerUpstreams {
		up := svc.Upstreams[0]
		up.ID, up.Address = model.UpstreamID(fmt.Sprintf("up-%d", n)), addr(byte(100+n), 7100)
		up.Domain, up.ColdFor = "east", flowCold
		svc.Upstreams = append(svc.Upstreams, up)
	}
	svc.Upstreams = svc.Upstreams[worldUpstreams:]
	j.all = []model.Member{member("instance-0"), member("instance-1"), member("instance-2"), j.self}
	j.e = engine.New(engine.Config{Self: j.self, Start: time.Unix(1_700_000_000, 0), Seed: 1, StreamLimit: 1000})
	j.e.SetDocument(j.now, j.doc)
	return j
}

func member(id model.InstanceID) model.Member {
	return model.Member{ID: id, Domain: "east", Boot: 1, State: model.MemberAlive, Control: addr(90, 1)}
}

// meet lets the instance know every other.
func (j *joiner) meet() {
	j.e.SetMembers(j.now, j.all, nil)
	j.e.SetPeersContacted()
}

// wait lets time pass in small steps, so that the instance was never paused.
func (j *joiner) wait(d time.Duration) (out []model.Action) {
	for end := j.now.Add(d); j.now < end; {
		j.now = j.now.Add(step)
		out = append(out, j.e.Tick(j.now)...)
	}
	return out
}

// flow returns a flow whose home is the joiner and whose default is the upstream.
func (j *joiner) flow(up model.UpstreamID) model.FlowKey {
	j.Helper()
	var homes []rendez.Candidate[model.InstanceID]
	for _, m := range j.all {
		homes = append(homes, rendez.NewCandidate(string(m.ID), m.ID))
	}
	for port := uint16(1); port < 10_000; port++ {
		f := model.FlowKey{Caller: addr(200, port), Service: j.doc.Services[0].Address}
		key := rendez.Key(f.Hash())
		best, top := model.UpstreamID(""), 0.0
		for _, u := range j.doc.Services[0].Upstreams {
			if score := rendez.WeightedScore(key, string(u.ID), float64(u.Connections)); score > top {
				best, top = u.ID, score
			}
		}
		if home, _ := rendez.First(key, homes); home == j.self.ID && best == up {
			return f
		}
	}
	j.Fail()
	return model.FlowKey{}
}

// asked passes a packet of a flow that comes back from its earlier home, which does not know it.
func (j *joiner) asked(f model.FlowKey) []model.Action {
	return j.e.Packet(j.now, &model.Packet{Flow: f, Class: model.ClassFlow, Hops: 3, Raw: []byte("x")})
}

// answer lets an upstream answer a flow.
func (j *joiner) answer(f model.FlowKey, up model.UpstreamID) {
	for _, u := range j.doc.Services[0].Upstreams {
		if u.ID == up {
			j.e.Answer(j.now, &model.Answer{Flow: f, Outcome: model.OutcomeNotification, From: u.Address, Boot: 7})
		}
	}
}

// prober returns who owns the first slot of an upstream.
func (j *joiner) prober(up model.UpstreamID) model.InstanceID {
	var pool []rendez.Candidate[model.InstanceID]
	for _, m := range j.all {
		pool = append(pool, rendez.NewCandidate(string(m.ID), m.ID))
	}
	id, _ := rendez.First(rendez.KeyOf(string(up), 0), pool)
	return id
}

// TestFirstWord replays an instance that has just become a flow's home and heard of the flow's upstream for the first time
// from the upstream itself, which may have been warm for hours: the flow must not move.
func TestFirstWord(t *testing.T) {
	j := newJoiner(t)
	var own, other model.UpstreamID
	for _, u := range j.doc.Services[0].Upstreams {
		if j.prober(u.ID) == j.self.ID {
			own = u.ID
		} else {
			other = u.ID
		}
	}
	cases := map[string]struct {
		up model.UpstreamID
		// told is set if the earlier prober says when the upstream started.
		told bool
	}{
		"another instance is the prober":                   {up: other},
		"this instance is the prober, and is told":         {up: own, told: true},
		"this instance is the prober, the earlier is dead": {up: own},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			j := newJoiner(t)
			j.meet()
			f := j.flow(tc.up)
			j.answer(f, tc.up)
			var got []model.Action
			got = append(got, j.asked(f)...)
			if tc.told {
				j.wait(100 * time.Millisecond)
				got = append(got, j.e.ApplyPeerUpdate(j.now, engine.PeerUpdate{Observations: []engine.Observation{{Upstream: tc.up, Boot: 7, BootAge: time.Hour, ConfirmedAge: step}}})...)
				got = append(got, j.asked(f)...)
			} else {
				got = append(got, j.wait(flowCold)...)
				j.answer(f, tc.up)
				got = append(got, j.asked(f)...)
			}
			reached := false
			for _, a := range got {
				switch a.Verb {
				case model.VerbForward:
					j.Equal(a.Upstream, tc.up)
					reached = true
				case model.VerbHandOff:
					j.Equal(a.Peer, j.prober(tc.up))
					j.Equal(a.Packet.Upstream, tc.up)
					reached = true
				default:
				}
			}
			j.True(reached)
		})
	}
}

// TestNotMet replays an instance that gets a packet before it knows all others: it must not place a flow that one of them may know.
func TestNotMet(t *testing.T) {
	j := newJoiner(t)
	got := j.asked(j.flow("up-1"))
	j.Equal(len(got), 1)
	j.Equal(got[0].Verb, model.VerbDrop)
	j.Equal(got[0].Reason, model.ReasonNotReady)
	j.wait(worldTiming.Detection)
	got = j.asked(j.flow("up-1"))
	j.Equal(got[len(got)-1].Verb, model.VerbForward)
}

// TestSucceed replays a change of an upstream's prober: the earlier one tells the next when the upstream started.
func TestSucceed(t *testing.T) {
	cases := map[string]struct {
		change func(*joiner)
	}{
		"two instances join": {change: func(j *joiner) {
			j.e.SetMembers(j.now, append(j.all, member("instance-10"), member("instance-11")), nil)
		}},
		"this one stops": {change: func(j *joiner) { j.e.Stop(j.now) }},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			j := newJoiner(t)
			j.meet()
			for _, u := range j.doc.Services[0].Upstreams {
				j.answer(j.flow(u.ID), u.ID)
			}
			j.wait(flowCold)
			for _, u := range j.doc.Services[0].Upstreams {
				j.e.ApplyPeerUpdate(j.now, engine.PeerUpdate{Observations: []engine.Observation{{Upstream: u.ID, Boot: 7, BootAge: time.Hour}}})
			}
			j.e.PeerUpdates(j.now)
			tc.change(j)
			j.True(j.e.TakeUrgent())
			heard := false
			for _, l := range j.e.PeerUpdates(j.now) {
				for _, s := range l.Observations {
					if j.prober(s.Upstream) == j.self.ID {
						heard = true
						j.True(!s.BootTimeInferred)
					}
				}
			}
			j.True(heard)
		})
	}
}
