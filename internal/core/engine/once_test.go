package engine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/bind"
	"hawthorncourse/internal/core/engine"
	"hawthorncourse/internal/core/model"
)

// singleInstance is an engine that owns every slot of upstreams that are warm.
type singleInstance struct {
	*is.I
	e   *engine.Engine
	doc *model.Document
	now model.Instant
}

func newSingleInstance(t *testing.T, change func(*model.Document)) *singleInstance {
	t.Helper()
	a := &singleInstance{I: is.New(t), doc: worldDocument(1), now: model.Instant(time.Second)}
	for s := range a.doc.Services {
		for u := range a.doc.Services[s].Upstreams {
			a.doc.Services[s].Upstreams[u].Domain = "east"
			a.doc.Services[s].Upstreams[u].ColdFor = 0
		}
	}
	if change != nil {
		change(a.doc)
	}
	a.start()
	a.answerAll(7)
	return a
}

// start replaces the engine by a new one and waits until its slots are usable; no upstream has answered it yet.
func (a *singleInstance) start() {
	self := model.Member{ID: "instance-0", Domain: "east", Boot: 1, State: model.MemberAlive}
	a.e = engine.New(engine.Config{Self: self, Start: time.Unix(1_700_000_000, 0), Seed: 1, StreamLimit: 1000})
	a.e.SetKeys(bind.Keys{Version: 1, List: []bind.Key{{Epoch: 1}}})
	a.e.SetDocument(a.now, a.doc)
	a.wait(4 * time.Second)
}

// wait advances the time in small steps and returns the actions.
func (a *singleInstance) wait(d time.Duration) []model.Action {
	var out []model.Action
	for end := a.now.Add(d); a.now < end; {
		a.now = a.now.Add(step)
		out = append(out, a.e.Tick(a.now)...)
	}
	return out
}

// answerAll passes an answer of every upstream, running as boot.
func (a *singleInstance) answerAll(boot model.BootID) {
	for s := range a.doc.Services {
		for _, up := range a.doc.Services[s].Upstreams {
			flow := model.FlowKey{Caller: addr(200, 1), Service: a.doc.Services[s].Address}
			a.e.Answer(a.now, &model.Answer{Flow: flow, Outcome: model.OutcomeControl, From: up.Address, Boot: boot})
		}
	}
}

func (a *singleInstance) packet(class model.Class, token string) *model.Packet {
	return &model.Packet{
		Flow:   model.FlowKey{Caller: addr(200, 1), Service: a.doc.Services[0].Address},
		Class:  class,
		Token:  model.NewToken([]byte(token)),
		Digest: 7,
		Raw:    []byte("request"),
	}
}

// onlyAction passes a packet and returns its single action, not counting the drops without a packet that only count a reason.
func (a *singleInstance) onlyAction(p *model.Packet) model.Action {
	a.Helper()
	var out []model.Action
	for _, act := range a.e.Packet(a.now, p) {
		if act.Verb != model.VerbDrop || act.Packet != nil {
			out = append(out, act)
		}
	}
	a.Equal(len(out), 1)
	return out[0]
}

// boundPacket returns a packet with the binding that the challenge to its first copy contains.
func (a *singleInstance) boundPacket(class model.Class) *model.Packet {
	a.Helper()
	p := a.packet(class, "t")
	challenge := a.onlyAction(p)
	a.Equal(challenge.Verb, model.VerbChallenge)
	p.Binding = challenge.Binding
	return p
}

func (a *singleInstance) answer(to model.Action, outcome model.Outcome) []model.Action {
	p := to.Packet
	return a.e.Answer(a.now, &model.Answer{Flow: p.Flow, Token: p.Token, Outcome: outcome, From: to.Address, Boot: 7, Raw: []byte("done")})
}

// last returns the last action; it fails the test if there is none.
func (a *singleInstance) last(actions []model.Action) model.Action {
	a.Helper()
	a.True(len(actions) > 0)
	return actions[len(actions)-1]
}

// TestOnce checks that a non-idempotent request runs at most once and what the caller is answered in each case.
func TestOnce(t *testing.T) {
	cases := map[string]func(*singleInstance){
		"a request without a binding is never forwarded": func(a *singleInstance) {
			a.Equal(a.onlyAction(a.packet(model.ClassOnce, "t")).Verb, model.VerbChallenge)
		},
		"a repeat gets the stored answer": func(a *singleInstance) {
			p := a.boundPacket(model.ClassOnce)
			a.answer(a.onlyAction(p), model.OutcomeDone)
			again := *p
			again.Token = model.NewToken([]byte("other"))
			act := a.onlyAction(&again)
			a.Equal(act.Verb, model.VerbDeliver)
			a.Equal(act.Packet.Token, again.Token)
		},
		"other content under the same binding is another request": func(a *singleInstance) {
			p := a.boundPacket(model.ClassOnce)
			a.onlyAction(p)
			other := *p
			other.Digest++
			act := a.onlyAction(&other)
			a.Equal(act.Verb, model.VerbChallenge)
			a.Equal(act.Reason, model.ReasonBindingUsed)
		},
		"a request with an expired binding is never run": func(a *singleInstance) {
			p := a.boundPacket(model.ClassOnce)
			a.wait(6 * time.Second)
			a.Equal(a.onlyAction(p).Verb, model.VerbOutcomeUnknown)
		},
		"a forged binding is never answered with a new one": func(a *singleInstance) {
			p := a.boundPacket(model.ClassOnce)
			p.Binding = append([]byte{}, p.Binding...)
			p.Binding[30]++
			a.Equal(a.onlyAction(p).Verb, model.VerbOutcomeUnknown)
		},
		"a request with a binding of another caller is never run": func(a *singleInstance) {
			p := a.boundPacket(model.ClassOnce)
			p.Flow.Caller = addr(201, 1)
			a.Equal(a.onlyAction(p).Verb, model.VerbOutcomeUnknown)
		},
		"a request that one upstream did not run goes to another": func(a *singleInstance) {
			first := a.onlyAction(a.boundPacket(model.ClassOnce))
			second := a.last(a.answer(first, model.OutcomeNotRun))
			a.Equal(second.Verb, model.VerbForward)
			a.True(second.Address != first.Address)
		},
		"a repeated not-run answer is not attributed to the second upstream": func(a *singleInstance) {
			first := a.onlyAction(a.boundPacket(model.ClassOnce))
			a.answer(first, model.OutcomeNotRun)
			a.Equal(a.last(a.answer(first, model.OutcomeNotRun)).Reason, model.ReasonAnswerLate)
		},
		"a lost answer gives an unknown outcome, and a late one is stored for repeats": func(a *singleInstance) {
			p := a.boundPacket(model.ClassOnce)
			sent := a.onlyAction(p)
			unknown := 0
			for _, act := range a.wait(1100 * time.Millisecond) {
				if act.Verb == model.VerbOutcomeUnknown {
					unknown++
				}
			}
			a.Equal(unknown, 1)
			a.answer(sent, model.OutcomeDone)
			a.Equal(a.onlyAction(p).Verb, model.VerbDeliver)
		},
	}
	for name, check := range cases {
		t.Run(name, func(t *testing.T) { check(newSingleInstance(t, nil)) })
	}
}

// TestUnservedPacket checks that an instance that does not know a service never refuses a bound request as not run: the issuer may have run
// another copy of it. A request without a binding is refused.
func TestUnservedPacket(t *testing.T) {
	cases := map[string]func(*singleInstance, *model.Packet) *engine.Engine{
		"the instance has no document": func(*singleInstance, *model.Packet) *engine.Engine {
			return engine.New(engine.Config{Self: model.Member{ID: "instance-1", Domain: "east", Boot: 1}, Start: time.Unix(1_700_000_000, 0)})
		},
		"the document lacks the service": func(a *singleInstance, p *model.Packet) *engine.Engine {
			p.Flow.Service = addr(99, 5683)
			return a.e
		},
	}
	for name, other := range cases {
		t.Run(name, func(t *testing.T) {
			a := newSingleInstance(t, nil)
			p := a.boundPacket(model.ClassOnce)
			first := a.packet(model.ClassOnce, "first")
			e := other(a, p)
			first.Flow = p.Flow
			a.Equal(a.last(e.Packet(a.now, p)).Verb, model.VerbDrop)
			a.Equal(a.last(e.Packet(a.now, first)).Verb, model.VerbRefuse)
		})
	}
}

// TestQueueTimeout checks that a request that was queued for too long to be answered in time is refused and never forwarded.
func TestQueueTimeout(t *testing.T) {
	a := newSingleInstance(t, func(doc *model.Document) {
		doc.Services[0].Upstreams = doc.Services[0].Upstreams[:1]
	})
	a.onlyAction(a.packet(model.ClassIdempotent, "1"))
	busy := a.onlyAction(a.packet(model.ClassIdempotent, "2"))
	a.Equal(len(a.e.Packet(a.now, a.packet(model.ClassIdempotent, "3"))), 0)
	refused := 0
	for _, act := range a.wait(700 * time.Millisecond) {
		if act.Verb == model.VerbRefuse {
			refused++
		}
	}
	a.Equal(refused, 1)
	for _, act := range a.answer(busy, model.OutcomeDone) {
		a.True(act.Verb != model.VerbForward)
	}
}

// TestStreamBinding checks which events invalidate a stream's binding and how its notifications are routed.
func TestStreamBinding(t *testing.T) {
	cases := map[string]func(*singleInstance){
		"valid before and after the upstream's first answer": func(a *singleInstance) {
			a.start()
			p := a.boundPacket(model.ClassSticky)
			a.wait(2 * time.Second)
			a.answerAll(7)
			a.Equal(a.onlyAction(p).Verb, model.VerbForward)
		},
		"invalid once the upstream has restarted": func(a *singleInstance) {
			p := a.boundPacket(model.ClassSticky)
			a.wait(2 * time.Second)
			a.answerAll(8)
			act := a.onlyAction(p)
			a.Equal(act.Verb, model.VerbChallenge)
			a.Equal(act.Reason, model.ReasonBindingMoved)
		},
		"valid while the upstream is leaving": func(a *singleInstance) {
			p := a.boundPacket(model.ClassSticky)
			doc := worldDocument(2)
			*doc = *a.doc
			doc.Version = 2
			doc.Services[0].Upstreams[0].Leaving = true
			doc.Services[0].Upstreams[1].Leaving = true
			doc.Services[0].Upstreams[2].Leaving = true
			a.e.SetDocument(a.now, doc)
			a.Equal(a.onlyAction(p).Verb, model.VerbForward)
		},
		"invalid once the domain is out": func(a *singleInstance) {
			p := a.boundPacket(model.ClassSticky)
			doc := *a.doc
			doc.Version = 2
			doc.Domains = []model.Domain{{ID: "east", Out: true}, {ID: "west"}}
			a.e.SetDocument(a.now, &doc)
			a.True(a.onlyAction(p).Verb != model.VerbForward)
		},
		"acknowledgements of notifications go to their upstream": func(a *singleInstance) {
			p := a.boundPacket(model.ClassSticky)
			sent := a.onlyAction(p)
			a.e.Answer(a.now, &model.Answer{Flow: p.Flow, Token: p.Token, MessageID: 9, Confirmable: true, Outcome: model.OutcomeNotification, From: sent.Address, Boot: 7})
			ack := a.packet(model.ClassReply, "")
			ack.MessageID = 9
			act := a.onlyAction(ack)
			a.Equal(act.Verb, model.VerbForward)
			a.Equal(act.Address, sent.Address)
			a.Equal(a.onlyAction(ack).Reason, model.ReasonReplyUnknown)
		},
		"notifications of another upstream are not relayed": func(a *singleInstance) {
			p := a.boundPacket(model.ClassSticky)
			sent := a.onlyAction(p)
			for _, up := range a.doc.Services[0].Upstreams {
				if up.Address != sent.Address {
					act := a.last(a.e.Answer(a.now, &model.Answer{Flow: p.Flow, Token: p.Token, Outcome: model.OutcomeNotification, From: up.Address, Boot: 7}))
					a.Equal(act.Verb, model.VerbDrop)
				}
			}
		},
		"invalid at another service": func(a *singleInstance) {
			p := a.boundPacket(model.ClassSticky)
			p.Flow.Service = a.doc.Services[1].Address
			a.Equal(a.onlyAction(p).Verb, model.VerbChallenge)
		},
	}
	for name, check := range cases {
		t.Run(name, func(t *testing.T) { check(newSingleInstance(t, nil)) })
	}
}

// TestIssuerGone checks how a bound request is handled for each state of its issuer.
func TestIssuerGone(t *testing.T) {
	cases := map[string]struct {
		members []model.Member
		want    model.Verb
	}{
		"restarted": {members: []model.Member{{ID: "instance-1", Domain: "west", Boot: 2, State: model.MemberAlive}}, want: model.VerbOutcomeUnknown},
		"dead, others of its domain alive": {members: []model.Member{
			{ID: "instance-1", Domain: "west", Boot: 1, State: model.MemberDead},
			{ID: "instance-2", Domain: "west", State: model.MemberAlive},
		}, want: model.VerbOutcomeUnknown},
		"whole domain dead": {members: []model.Member{{ID: "instance-1", Domain: "west", Boot: 1, State: model.MemberDead}}, want: model.VerbDrop},
		"alive":             {members: []model.Member{{ID: "instance-1", Domain: "west", Boot: 1, State: model.MemberAlive}}, want: model.VerbHandOff},
		"leaving":           {members: []model.Member{{ID: "instance-1", Domain: "west", Boot: 1, State: model.MemberLeaving}}, want: model.VerbHandOff},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			a := newSingleInstance(t, nil)
			p := a.packet(model.ClassOnce, "t")
			issuer := &bind.Signer{}
			issuer.SetKeys(bind.Keys{Version: 1, List: []bind.Key{{Epoch: 1}}})
			p.Binding, _ = issuer.Sign(p.Flow, bind.Binding{Use: bind.UseOnce, Issuer: model.NewIssuerTag("instance-1", 1), Serial: 1, Expiry: 1_700_000_100})
			self := model.Member{ID: "instance-0", Domain: "east", Boot: 1, State: model.MemberAlive}
			a.e.SetMembers(a.now, append(tc.members, self), nil)
			a.Equal(a.onlyAction(p).Verb, tc.want)
		})
	}
}

// TestUnansweringUpstream checks that an upstream that did not answer and may have restarted gets its cold-start capacity at first. An
// upstream that reports its boot is limited only if the boot changed.
func TestUnansweringUpstream(t *testing.T) {
	cases := map[string]struct {
		before, after model.BootID
		cold          bool
	}{
		"restarted and reports its boot":  {before: 7, after: 8, cold: true},
		"not restarted, reports its boot": {before: 7, after: 7},
		"reports no boot":                 {cold: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			a := newSingleInstance(t, func(doc *model.Document) {
				doc.Services[0].Upstreams = doc.Services[0].Upstreams[:1]
				doc.Services[0].Upstreams[0].ColdFor = time.Minute
			})
			a.start()
			a.answerAll(tc.before)
			a.wait(61 * time.Second)
			a.answerAll(tc.before)
			a.onlyAction(a.packet(model.ClassIdempotent, "1"))
			a.wait(1500 * time.Millisecond)
			a.answerAll(tc.after)
			a.Equal(a.onlyAction(a.packet(model.ClassIdempotent, "2")).Verb, model.VerbForward)
			second := a.e.Packet(a.now, a.packet(model.ClassIdempotent, "3"))
			forwarded := len(second) > 0 && second[len(second)-1].Verb == model.VerbForward
			a.Equal(forwarded, !tc.cold)
		})
	}
}
