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

// flowCold is longer than the owners of an upstream take to receive the observation of its boot.
const flowCold = 3 * time.Second

// joinerUpstreams is large enough for each instance to be the primary of some upstream.
const joinerUpstreams = 12

// joiner is an instance that has just joined and become the home of flows that other instances placed before.
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

// learnMembers passes all members to the instance and marks them as contacted.
func (j *joiner) learnMembers() {
	j.e.SetMembers(j.now, j.all, nil)
	j.e.SetPeersContacted()
}

// wait advances the time in small steps, so that the engine does not take the gap for a stall of the process.
func (j *joiner) wait(d time.Duration) (out []model.Action) {
	for end := j.now.Add(d); j.now < end; {
		j.now = j.now.Add(step)
		out = append(out, j.e.Tick(j.now)...)
	}
	return out
}

// flow returns a flow whose home is the joiner and whose first-ranked upstream is up.
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

// returnedPacket passes a packet of the flow that the flow's previous home, which does not know the flow, has handed back.
func (j *joiner) returnedPacket(f model.FlowKey) []model.Action {
	return j.e.Packet(j.now, &model.Packet{Flow: f, Class: model.ClassFlow, Hops: 3, Raw: []byte("x")})
}

// answer passes an answer of the upstream to the flow.
func (j *joiner) answer(f model.FlowKey, up model.UpstreamID) {
	for _, u := range j.doc.Services[0].Upstreams {
		if u.ID == up {
			j.e.Answer(j.now, &model.Answer{Flow: f, Outcome: model.OutcomeNotification, From: u.Address, Boot: 7})
		}
	}
}

// primary returns the owner of the upstream's first slot.
func (j *joiner) primary(up model.UpstreamID) model.InstanceID {
	var pool []rendez.Candidate[model.InstanceID]
	for _, m := range j.all {
		pool = append(pool, rendez.NewCandidate(string(m.ID), m.ID))
	}
	id, _ := rendez.First(rendez.KeyOf(string(up), 0), pool)
	return id
}

// TestFirstAnswerKeepsFlow checks that a flow does not move when its new home first learns of the flow's upstream from an answer of the
// upstream itself. The new home cannot tell from the answer when the upstream started; if it took the upstream for cold, it would assign the
// flow elsewhere although the upstream may have served it for hours.
func TestFirstAnswerKeepsFlow(t *testing.T) {
	j := newJoiner(t)
	var primaryHere, primaryElsewhere model.UpstreamID
	for _, u := range j.doc.Services[0].Upstreams {
		if j.primary(u.ID) == j.self.ID {
			primaryHere = u.ID
		} else {
			primaryElsewhere = u.ID
		}
	}
	cases := map[string]struct {
		up model.UpstreamID
		// bootTimeReported is set if the previous primary reports when the upstream started.
		bootTimeReported bool
	}{
		"another instance is the primary":                  {up: primaryElsewhere},
		"this instance is the primary, boot time reported": {up: primaryHere, bootTimeReported: true},
		"this instance is the primary, previous one dead":  {up: primaryHere},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			j := newJoiner(t)
			j.learnMembers()
			f := j.flow(tc.up)
			j.answer(f, tc.up)
			var got []model.Action
			got = append(got, j.returnedPacket(f)...)
			if tc.bootTimeReported {
				j.wait(100 * time.Millisecond)
				got = append(got, j.e.ApplyPeerUpdate(j.now, engine.PeerUpdate{Observations: []engine.Observation{{Upstream: tc.up, Boot: 7, BootAge: time.Hour, ConfirmedAge: step}}})...)
				got = append(got, j.returnedPacket(f)...)
			} else {
				got = append(got, j.wait(flowCold)...)
				j.answer(f, tc.up)
				got = append(got, j.returnedPacket(f)...)
			}
			reached := false
			for _, a := range got {
				switch a.Verb {
				case model.VerbForward:
					j.Equal(a.Upstream, tc.up)
					reached = true
				case model.VerbHandOff:
					j.Equal(a.Peer, j.primary(tc.up))
					j.Equal(a.Packet.Upstream, tc.up)
					reached = true
				default:
				}
			}
			j.True(reached)
		})
	}
}

// TestPeersNotContacted checks that an instance that has not contacted all peers yet drops a packet of an unknown flow: a peer may hold the
// flow's assignment, and placing the flow again could move it. After the detection time the flow is placed.
func TestPeersNotContacted(t *testing.T) {
	j := newJoiner(t)
	got := j.returnedPacket(j.flow("up-1"))
	j.Equal(len(got), 1)
	j.Equal(got[0].Verb, model.VerbDrop)
	j.Equal(got[0].Reason, model.ReasonNotReady)
	j.wait(worldTiming.Detection)
	got = j.returnedPacket(j.flow("up-1"))
	j.Equal(got[len(got)-1].Verb, model.VerbForward)
}

// TestPrimaryHandover checks that an instance that ceases to be the primary of an upstream reports when the upstream started. Otherwise the next
// primary would take a warm upstream for cold.
func TestPrimaryHandover(t *testing.T) {
	cases := map[string]struct {
		change func(*joiner)
	}{
		"two instances join": {change: func(j *joiner) {
			j.e.SetMembers(j.now, append(j.all, member("instance-10"), member("instance-11")), nil)
		}},
		"this instance stops": {change: func(j *joiner) { j.e.Stop(j.now) }},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			j := newJoiner(t)
			j.learnMembers()
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
			reported := false
			for _, update := range j.e.PeerUpdates(j.now) {
				for _, observation := range update.Observations {
					if j.primary(observation.Upstream) == j.self.ID {
						reported = true
						j.True(!observation.BootTimeInferred)
					}
				}
			}
			j.True(reported)
		})
	}
}
