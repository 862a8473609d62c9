package engine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/bind"
	"hawthorncourse/internal/core/engine"
	"hawthorncourse/internal/core/model"
)

// alone is one engine that owns every slot, with upstreams that are warm.
type alone struct {
	*is.I
	e   *engine.Engine
	doc *model.Document
	now model.Instant
}

func newAlone(t *testing.T, change func(*model.Document)) *alone {
	t.Helper()
	a := &alone{I: is.New(t), doc: worldDocument(1), now: model.Instant(time.Second)}
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
	a.prove(7)
	return a
}

// start makes the engine, whose slots are usable then, and whose upstreams have not answered yet.
func (a *alone) start() {
	self := model.Member{ID: "instance-0", Domain: "east", Boot: 1, State: model.MemberAlive}
	a.e = engine.New(engine.Config{Self: self, Start: time.Unix(1_700_000_000, 0), Seed: 1, StreamLimit: 1000})
	a.e.SetKeys(bind.Keys{Version: 1, List: []bind.Key{{Epoch: 1}}})
	a.e.SetDocument(a.now, a.doc)
	a.wait(4 * time.Second)
}

// wait lets time pass in small steps.
func (a *alone) wait(d time.Duration) []model.Action {
	var out []model.Action
	for end := a.now.Add(d); a.now < end; {
		a.now = a.now.Add(step)
		out = append(out, a.e.Tick(a.now)...)
	}
	return out
}

// prove lets every upstream answer as boot.
func (a *alone) prove(boot model.BootID) {
	for s := range a.doc.Services {
		for _, up := range a.doc.Services[s].Upstreams {
			flow := model.FlowKey{Caller: addr(200, 1), Service: a.doc.Services[s].Address}
			a.e.Answer(a.now, &model.Answer{Flow: flow, Outcome: model.OutcomeControl, From: up.Address, Boot: boot})
		}
	}
}

func (a *alone) packet(class model.Class, token string) *model.Packet {
	return &model.Packet{
		Flow:   model.FlowKey{Caller: addr(200, 1), Service: a.doc.Services[0].Address},
		Class:  class,
		Token:  model.NewToken([]byte(token)),
		Digest: 7,
		Raw:    []byte("request"),
	}
}

// one passes a packet and returns the one action that is not a note.
func (a *alone) one(p *model.Packet) model.Action {
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

// bound returns a packet with the binding that its first try is given.
func (a *alone) bound(class model.Class) *model.Packet {
	a.Helper()
	p := a.packet(class, "t")
	offer := a.one(p)
	a.Equal(offer.Verb, model.VerbChallenge)
	p.Binding = offer.Binding
	return p
}

func (a *alone) answer(to model.Action, outcome model.Outcome) []model.Action {
	p := to.Packet
	return a.e.Answer(a.now, &model.Answer{Flow: p.Flow, Token: p.Token, Outcome: outcome, From: to.Address, Boot: 7, Raw: []byte("done")})
}

// last returns the last action, which there must be.
func (a *alone) last(actions []model.Action) model.Action {
	a.Helper()
	a.True(len(actions) > 0)
	return actions[len(actions)-1]
}

func TestOnce(t *testing.T) {
	cases := map[string]func(*alone){
		"a first try is never forwarded": func(a *alone) {
			a.Equal(a.one(a.packet(model.ClassOnce, "t")).Verb, model.VerbChallenge)
		},
		"a repeat gets the kept answer": func(a *alone) {
			p := a.bound(model.ClassOnce)
			a.answer(a.one(p), model.OutcomeDone)
			again := *p
			again.Token = model.NewToken([]byte("other"))
			act := a.one(&again)
			a.Equal(act.Verb, model.VerbDeliver)
			a.Equal(act.Packet.Token, again.Token)
		},
		"other content under the same binding is another request": func(a *alone) {
			p := a.bound(model.ClassOnce)
			a.one(p)
			other := *p
			other.Digest++
			act := a.one(&other)
			a.Equal(act.Verb, model.VerbChallenge)
			a.Equal(act.Reason, model.ReasonBindingUsed)
		},
		"an expired binding is never run": func(a *alone) {
			p := a.bound(model.ClassOnce)
			a.wait(6 * time.Second)
			a.Equal(a.one(p).Verb, model.VerbOutcomeUnknown)
		},
		"a forged binding is never answered with a fresh one": func(a *alone) {
			p := a.bound(model.ClassOnce)
			p.Binding = append([]byte{}, p.Binding...)
			p.Binding[30]++
			a.Equal(a.one(p).Verb, model.VerbOutcomeUnknown)
		},
		"a binding of another caller is never run": func(a *alone) {
			p := a.bound(model.ClassOnce)
			p.Flow.Caller = addr(201, 1)
			a.Equal(a.one(p).Verb, model.VerbOutcomeUnknown)
		},
		"what one upstream did not run goes to another": func(a *alone) {
			first := a.one(a.bound(model.ClassOnce))
			second := a.last(a.answer(first, model.OutcomeNotRun))
			a.Equal(second.Verb, model.VerbForward)
			a.True(second.Address != first.Address)
		},
		"a second word of not run is not taken for the second upstream's": func(a *alone) {
			first := a.one(a.bound(model.ClassOnce))
			a.answer(first, model.OutcomeNotRun)
			a.Equal(a.last(a.answer(first, model.OutcomeNotRun)).Reason, model.ReasonAnswerLate)
		},
		"a lost answer is unknown, and a late one is kept for repeats": func(a *alone) {
			p := a.bound(model.ClassOnce)
			sent := a.one(p)
			unknown := 0
			for _, act := range a.wait(1100 * time.Millisecond) {
				if act.Verb == model.VerbOutcomeUnknown {
					unknown++
				}
			}
			a.Equal(unknown, 1)
			a.answer(sent, model.OutcomeDone)
			a.Equal(a.one(p).Verb, model.VerbDeliver)
		},
	}
	for name, check := range cases {
		t.Run(name, func(t *testing.T) { check(newAlone(t, nil)) })
	}
}

// TestTurnedAway checks that an instance that knows nothing of a service does not say that a bound request was not run.
func TestTurnedAway(t *testing.T) {
	cases := map[string]func(*alone, *model.Packet) *engine.Engine{
		"it has no document": func(*alone, *model.Packet) *engine.Engine {
			return engine.New(engine.Config{Self: model.Member{ID: "instance-1", Domain: "east", Boot: 1}, Start: time.Unix(1_700_000_000, 0)})
		},
		"its document has no such service": func(a *alone, p *model.Packet) *engine.Engine {
			p.Flow.Service = addr(99, 5683)
			return a.e
		},
	}
	for name, other := range cases {
		t.Run(name, func(t *testing.T) {
			a := newAlone(t, nil)
			p := a.bound(model.ClassOnce)
			first := a.packet(model.ClassOnce, "first")
			e := other(a, p)
			first.Flow = p.Flow
			a.Equal(a.last(e.Packet(a.now, p)).Verb, model.VerbDrop)
			a.Equal(a.last(e.Packet(a.now, first)).Verb, model.VerbRefuse)
		})
	}
}

// TestStartLeavesTime checks that a request that waited too long for its answer to come in time is refused, not forwarded.
func TestStartLeavesTime(t *testing.T) {
	a := newAlone(t, func(doc *model.Document) {
		doc.Services[0].Upstreams = doc.Services[0].Upstreams[:1]
	})
	a.one(a.packet(model.ClassIdempotent, "1"))
	busy := a.one(a.packet(model.ClassIdempotent, "2"))
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

// TestStreamBinding checks what a stream's binding is good for.
func TestStreamBinding(t *testing.T) {
	cases := map[string]func(*alone){
		"it holds before and after the upstream's first word": func(a *alone) {
			a.start()
			p := a.bound(model.ClassSticky)
			a.wait(2 * time.Second)
			a.prove(7)
			a.Equal(a.one(p).Verb, model.VerbForward)
		},
		"it ends when the upstream restarts": func(a *alone) {
			p := a.bound(model.ClassSticky)
			a.wait(2 * time.Second)
			a.prove(8)
			act := a.one(p)
			a.Equal(act.Verb, model.VerbChallenge)
			a.Equal(act.Reason, model.ReasonBindingMoved)
		},
		"it goes on when the upstream leaves": func(a *alone) {
			p := a.bound(model.ClassSticky)
			doc := worldDocument(2)
			*doc = *a.doc
			doc.Version = 2
			doc.Services[0].Upstreams[0].Leaving = true
			doc.Services[0].Upstreams[1].Leaving = true
			doc.Services[0].Upstreams[2].Leaving = true
			a.e.SetDocument(a.now, doc)
			a.Equal(a.one(p).Verb, model.VerbForward)
		},
		"it ends when the domain is out": func(a *alone) {
			p := a.bound(model.ClassSticky)
			doc := *a.doc
			doc.Version = 2
			doc.Domains = []model.Domain{{ID: "east", Out: true}, {ID: "west"}}
			a.e.SetDocument(a.now, &doc)
			a.True(a.one(p).Verb != model.VerbForward)
		},
		"its notifications are acknowledged at their upstream": func(a *alone) {
			p := a.bound(model.ClassSticky)
			sent := a.one(p)
			a.e.Answer(a.now, &model.Answer{Flow: p.Flow, Token: p.Token, MessageID: 9, Confirmable: true, Outcome: model.OutcomeNotification, From: sent.Address, Boot: 7})
			ack := a.packet(model.ClassReply, "")
			ack.MessageID = 9
			act := a.one(ack)
			a.Equal(act.Verb, model.VerbForward)
			a.Equal(act.Address, sent.Address)
			a.Equal(a.one(ack).Reason, model.ReasonReplyUnknown)
		},
		"a notification of another upstream is not relayed": func(a *alone) {
			p := a.bound(model.ClassSticky)
			sent := a.one(p)
			for _, up := range a.doc.Services[0].Upstreams {
				if up.Address != sent.Address {
					act := a.last(a.e.Answer(a.now, &model.Answer{Flow: p.Flow, Token: p.Token, Outcome: model.OutcomeNotification, From: up.Address, Boot: 7}))
					a.Equal(act.Verb, model.VerbDrop)
				}
			}
		},
		"it is worthless at another service": func(a *alone) {
			p := a.bound(model.ClassSticky)
			p.Flow.Service = a.doc.Services[1].Address
			a.Equal(a.one(p).Verb, model.VerbChallenge)
		},
	}
	for name, check := range cases {
		t.Run(name, func(t *testing.T) { check(newAlone(t, nil)) })
	}
}

// TestIssuerGone checks what a bound request hears when its issuer does not answer.
func TestIssuerGone(t *testing.T) {
	cases := map[string]struct {
		members []model.Member
		want    model.Verb
	}{
		"it restarted": {members: []model.Member{{ID: "instance-1", Domain: "west", Boot: 2, State: model.MemberAlive}}, want: model.VerbOutcomeUnknown},
		"it died alone": {members: []model.Member{
			{ID: "instance-1", Domain: "west", Boot: 1, State: model.MemberDead},
			{ID: "instance-2", Domain: "west", State: model.MemberAlive},
		}, want: model.VerbOutcomeUnknown},
		"its whole domain is silent":     {members: []model.Member{{ID: "instance-1", Domain: "west", Boot: 1, State: model.MemberDead}}, want: model.VerbDrop},
		"it lives":                       {members: []model.Member{{ID: "instance-1", Domain: "west", Boot: 1, State: model.MemberAlive}}, want: model.VerbHandOff},
		"it is leaving and still serves": {members: []model.Member{{ID: "instance-1", Domain: "west", Boot: 1, State: model.MemberLeaving}}, want: model.VerbHandOff},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			a := newAlone(t, nil)
			p := a.packet(model.ClassOnce, "t")
			sealer := &bind.Sealer{}
			sealer.SetKeys(bind.Keys{Version: 1, List: []bind.Key{{Epoch: 1}}})
			p.Binding, _ = sealer.Seal(p.Flow, bind.Binding{Use: bind.UseOnce, Issuer: model.NewIssuerTag("instance-1", 1), Serial: 1, Expiry: 1_700_000_100})
			self := model.Member{ID: "instance-0", Domain: "east", Boot: 1, State: model.MemberAlive}
			a.e.SetMembers(a.now, append(tc.members, self), nil)
			a.Equal(a.one(p).Verb, tc.want)
		})
	}
}

// TestSilentUpstream checks that an upstream that kept silent is used a little at first, whether or not it tells its start.
func TestSilentUpstream(t *testing.T) {
	cases := map[string]struct {
		before, after model.BootID
		cold          bool
	}{
		"it restarted and tells":          {before: 7, after: 8, cold: true},
		"it did not restart and tells":    {before: 7, after: 7},
		"it does not tell, so who knows?": {cold: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			a := newAlone(t, func(doc *model.Document) {
				doc.Services[0].Upstreams = doc.Services[0].Upstreams[:1]
				doc.Services[0].Upstreams[0].ColdFor = time.Minute
			})
			a.start()
			a.prove(tc.before)
			a.wait(61 * time.Second)
			a.prove(tc.before)
			a.one(a.packet(model.ClassIdempotent, "1"))
			a.wait(1500 * time.Millisecond)
			a.prove(tc.after)
			a.Equal(a.one(a.packet(model.ClassIdempotent, "2")).Verb, model.VerbForward)
			second := a.e.Packet(a.now, a.packet(model.ClassIdempotent, "3"))
			forwarded := len(second) > 0 && second[len(second)-1].Verb == model.VerbForward
			a.Equal(forwarded, !tc.cold)
		})
	}
}
