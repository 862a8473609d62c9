package engine_test

import (
	"fmt"
	"testing"
	"time"

	"hawthorncourse/internal/core/bind"
	"hawthorncourse/internal/core/model"
)

// keepUpstreams limits the first service to n upstreams.
func keepUpstreams(n int) func(*model.Document) {
	return func(doc *model.Document) { doc.Services[0].Upstreams = doc.Services[0].Upstreams[:n] }
}

// runningRequests returns the number of slots in use at all upstreams.
func (a *singleInstance) runningRequests() (n int) {
	for _, up := range a.e.View(a.now) {
		n += up.Running
	}
	return n
}

// TestHeldSlot checks that the slot of an unanswered request is free at the request's own deadline, although a request with a later deadline was
// forwarded before the first one was sent again.
func TestHeldSlot(t *testing.T) {
	a := newSingleInstance(t, keepUpstreams(2))
	a.e.Packet(a.now, a.packet(model.ClassIdempotent, "unanswered"))
	a.wait(400 * time.Millisecond)
	a.answer(a.onlyAction(a.packet(model.ClassIdempotent, "answered")), model.OutcomeDone)
	a.wait(300 * time.Millisecond)
	a.Equal(a.runningRequests(), 2)
	a.wait(350 * time.Millisecond)
	a.Equal(a.runningRequests(), 0)
}

// TestRetryBehindResentRequest checks that a request is sent to a second upstream in time although an earlier one, which its first upstream did
// not run, was sent again in the meantime.
func TestRetryBehindResentRequest(t *testing.T) {
	a := newSingleInstance(t, nil)
	first := a.onlyAction(a.packet(model.ClassIdempotent, "first"))
	a.wait(100 * time.Millisecond)
	second := a.packet(model.ClassIdempotent, "second")
	a.onlyAction(second)
	a.wait(200 * time.Millisecond)
	a.answer(first, model.OutcomeNotRun)
	retried := false
	for _, act := range a.wait(350 * time.Millisecond) {
		retried = retried || (act.Verb == model.VerbForward && act.Packet == second)
	}
	a.True(retried)
}

// TestStreamRoomWithoutConfirmation checks that an upstream whose boot is unconfirmed for a while accepts as many streams as a cold start bears,
// whatever it was assigned while it was warm.
func TestStreamRoomWithoutConfirmation(t *testing.T) {
	a := newSingleInstance(t, keepUpstreams(1))
	for n := range 10 {
		a.Equal(a.onlyAction(a.packet(model.ClassSticky, fmt.Sprint(n))).Verb, model.VerbChallenge)
	}
	a.answerAll(7)
	a.wait(a.doc.Timing.WarmLease + 100*time.Millisecond)
	for n := range a.doc.Services[0].Upstreams[0].ColdConnections {
		a.Equal(a.onlyAction(a.packet(model.ClassSticky, fmt.Sprint("cold", n))).Verb, model.VerbChallenge)
	}
	a.Equal(a.onlyAction(a.packet(model.ClassSticky, "beyond")).Verb, model.VerbRefuse)
}

// TestRenewedBindingAtHome checks that a confirmable notification that is handed off to the home of its flow carries the binding that was renewed
// after a key rotation. Otherwise the stream keeps its old binding until the key expires, and is then moved to another upstream.
func TestRenewedBindingAtHome(t *testing.T) {
	a := newSingleInstance(t, keepUpstreams(1))
	self := model.Member{ID: "instance-0", Domain: "east", Boot: 1, State: model.MemberAlive}
	a.e.SetMembers(a.now, []model.Member{self, member("instance-1")}, nil)
	var issuer bind.Signer
	issuer.SetKeys(bind.Keys{Version: 1, List: []bind.Key{{Epoch: 1}}})
	a.e.SetKeys(bind.Keys{Version: 2, List: []bind.Key{{Epoch: 2}, {Epoch: 1}}})
	up := a.doc.Services[0].Upstreams[0]
	handedOff := 0
	for port := uint16(1); port < 20; port++ {
		p := a.packet(model.ClassSticky, "stream")
		p.Flow.Caller = addr(200, port)
		raw, ok := issuer.Sign(p.Flow, bind.Binding{Use: bind.UseStream, Upstream: up.ID.Tag(), Boot: 7, Expiry: 2_000_000_000})
		a.True(ok)
		p.Binding = raw
		a.e.Packet(a.now, p)
		for _, act := range a.e.Answer(a.now, &model.Answer{
			Flow: p.Flow, Token: p.Token, Outcome: model.OutcomeNotification, Confirmable: true, MessageID: port, From: up.Address, Boot: 7, Raw: []byte("notification"),
		}) {
			if act.Verb == model.VerbHandOffAnswer {
				handedOff++
				a.True(len(act.Binding) > 0)
			}
		}
	}
	a.True(handedOff > 0)
}

// TestPendingReplyLimit checks that a confirmable answer that exceeds the table of pending replies is counted.
func TestPendingReplyLimit(t *testing.T) {
	a := newSingleInstance(t, nil)
	const limit = 1 << 19
	for n := range limit {
		p := a.packet(model.ClassIdempotent, fmt.Sprint(n))
		p.Flow.Caller = addr(200, uint16(1+(n>>16)))
		sent := a.last(a.e.Packet(a.now, p))
		for _, act := range a.e.Answer(a.now, &model.Answer{
			Flow: p.Flow, Token: p.Token, Outcome: model.OutcomeDone, Confirmable: true, MessageID: uint16(n), From: sent.Address, Boot: 7, Raw: []byte("done"),
		}) {
			if act.Reason == model.ReasonFlowLimit {
				return
			}
		}
	}
	t.Errorf("%d pending replies did not reach the limit", limit)
}
