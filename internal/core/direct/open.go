package direct

import (
	"time"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

const (
	// resendFloor is above twice the longest handshake within one region (8 ms).
	resendFloor = 20 * time.Millisecond
	// resendCeiling is half of the caller's own pause before it repeats an opening packet (200 ms).
	resendCeiling = 100 * time.Millisecond
	// resendFactor leaves room above the mean handshake for queues at the upstream and here.
	resendFactor = 3
	// resendPercent bounds opening packets that go to a further upstream, as a share of first ones.
	resendPercent = 50
	// triesLimit is how many upstreams get the opening packet of one flow unasked.
	triesLimit = 3
	// stallLimit is how late a timer may be before this instance must have stood still itself.
	stallLimit = 50 * time.Millisecond
)

// handshakes follows how long callers take to hold an upstream's answer.
type handshakes struct {
	// mean is in nanoseconds; zero before the first sample.
	mean float64
}

// handshakeGain weighs one sample; 1/16 follows a change of the path within some dozens of handshakes.
const handshakeGain = 1.0 / 16

func (h *handshakes) observe(d time.Duration) {
	if h.mean == 0 {
		h.mean = float64(d)
		return
	}
	h.mean += handshakeGain * (min(float64(d), float64(resendCeiling)) - h.mean)
}

// timeout returns how long an opening packet may stay without an answer.
func (h *handshakes) timeout() time.Duration {
	return min(max(time.Duration(h.mean*resendFactor), resendFloor), resendCeiling)
}

// open decides on an opening packet.
func (e *Engine) open(now model.Instant, seg *model.Segment) {
	r := e.routes[seg.Flow.Service]
	if r == nil {
		e.reset(seg, nil, model.ReasonNoRoute)
		return
	}
	f := e.flows.Touch(now, seg.Flow)
	if f != nil && (f.open || (seg.Retransmission == 0 && f.opening == nil)) {
		// The port is used again: what was known is of an earlier flow.
		f.end()
		f = nil
	}
	reason := model.ReasonNone
	if f != nil {
		reason = model.ReasonCallerRepeats
	} else {
		e.budget.Deposit()
		if !e.flows.Put(now, seg.Flow, flow{}) {
			e.reset(seg, nil, model.ReasonFlowLimit)
			return
		}
		f = e.flows.Peek(seg.Flow)
	}
	up := e.choose(now, r, f)
	if up == nil {
		e.flows.Delete(seg.Flow)
		e.reset(seg, nil, model.ReasonNoUpstream)
		return
	}
	f.opening = append(f.opening[:0], seg.Raw...)
	e.offer(now, seg.Flow, f, up, reason)
}

// offer sends the opening packet of a flow to an upstream.
func (e *Engine) offer(now model.Instant, key model.FlowKey, f *flow, up *roster.Upstream, reason model.Reason) {
	f.move(up)
	if !f.wasTried(up) {
		f.tried = append(f.tried, up)
	}
	f.sent = now
	e.timers.add(timer{at: now.Add(e.shakes.timeout()), flow: key, sent: now})
	e.cold.note(now, up)
	e.actions = append(e.actions, Action{
		Verb: model.VerbForward, Reason: reason, Flow: key, Upstream: up, Raw: f.opening,
		Attempt: len(f.tried), Candidates: len(e.candidates),
	})
}

// expireHandshakes sends opening packets that got no answer to a further upstream.
func (e *Engine) expireHandshakes(now model.Instant) {
	for {
		t, ok := e.timers.due(now)
		if !ok {
			return
		}
		f := e.flows.Peek(t.flow)
		if f == nil || f.open || f.sent != t.sent || f.opening == nil {
			continue
		}
		if now.Sub(t.at) > stallLimit {
			// Answers may wait unread: judge only after another timeout of this instance's own time.
			t.at = now.Add(e.shakes.timeout())
			e.timers.add(t)
			continue
		}
		e.miss(now, f.up, t.sent)
		e.resend(now, t.flow, f)
	}
}

func (e *Engine) resend(now model.Instant, key model.FlowKey, f *flow) {
	r := e.routes[key.Service]
	if r == nil || len(f.tried) >= triesLimit || e.cfg.Disabled.Resend {
		return
	}
	if !e.budget.TryWithdraw() {
		e.drop(&model.Segment{Flow: key}, f.up, model.ReasonRetryBudget)
		return
	}
	up := e.choose(now, r, f)
	if up == nil || f.wasTried(up) {
		return
	}
	e.offer(now, key, f, up, model.ReasonHandshakeSilent)
}
