package direct

import (
	"time"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

const (
	// minHandshakeTimeout is above twice the longest handshake within one region (8 ms).
	minHandshakeTimeout = 20 * time.Millisecond
	// maxHandshakeTimeout is half of the time after which callers retransmit a SYN (200 ms).
	maxHandshakeTimeout = 100 * time.Millisecond
	// handshakeTimeoutFactor leaves room above the mean handshake for queueing at the upstream and at this instance.
	handshakeTimeoutFactor = 3
	// retryBudgetPercent bounds the SYNs retried at another upstream, as a percentage of new flows.
	retryBudgetPercent = 50
	// attemptLimit is the maximum number of upstreams that the SYN of one flow is sent to unless the caller retransmits it.
	attemptLimit = 3
	// stallThreshold is how late a timer may fire before this instance itself counts as stalled.
	stallThreshold = 50 * time.Millisecond
)

// handshakeEstimator keeps a moving average of the handshake time, from a SYN to the caller's next packet.
type handshakeEstimator struct {
	// mean is in nanoseconds; zero before the first sample.
	mean float64
}

// handshakeGain is the weight of one sample; 1/16 follows a path change within a few dozen handshakes.
const handshakeGain = 1.0 / 16

func (h *handshakeEstimator) observe(d time.Duration) {
	if h.mean == 0 {
		h.mean = float64(d)
		return
	}
	h.mean += handshakeGain * (min(float64(d), float64(maxHandshakeTimeout)) - h.mean)
}

// timeout returns how long a SYN may go unanswered.
func (h *handshakeEstimator) timeout() time.Duration {
	return min(max(time.Duration(h.mean*handshakeTimeoutFactor), minHandshakeTimeout), maxHandshakeTimeout)
}

// synTimer is the timeout of one SYN.
type synTimer struct {
	deadline model.Instant
	flow     model.FlowKey
	// sentAt is when the SYN was sent; a SYN sent again has its own timer.
	sentAt model.Instant
	// retry is set if the SYN only waits for the end of its lease to go to another upstream.
	retry bool
}

func (e *Engine) startTimer(t synTimer) {
	e.timers.Push(t.deadline, t)
}

// openFlow handles a SYN.
func (e *Engine) openFlow(now model.Instant, seg *model.Segment) {
	r := e.openRoute(seg.Flow.Service)
	if r == nil {
		e.reject(now, seg, e.synCopies(now, seg), model.ReasonNoRoute)
		return
	}
	f := e.flows.Touch(now, seg.Flow)
	if f != nil && f.isCopy(now, seg) {
		// The caller has an answer already. Another upstream would answer the copy, and the flow's own need not see it again.
		e.drop(seg, f.up, model.ReasonRepeat)
		return
	}
	if f != nil && f.isEarlier(seg) {
		// The caller's port is reused.
		f.releaseLoad()
		f = nil
	}
	if f != nil {
		held := f.holdsLease(now)
		f.copies.add(now, seg)
		if held || e.acceptsCopy(f) {
			e.sendCopy(now, seg, f, f.up, model.ReasonCallerRepeats)
			return
		}
		e.place(now, r, seg, f, e.drawTarget(r), model.ReasonCallerRepeats)
		return
	}
	if service, admitted := e.admitSyn(now, r, seg); admitted {
		e.placeNew(now, r, seg, e.synCopies(now, seg), service)
	}
}

// placeNew sends the SYN of a new flow to an upstream, of the given service if possible.
func (e *Engine) placeNew(now model.Instant, r *route, seg *model.Segment, copies synCopies, service model.ServiceID) {
	e.retryBudget.Deposit()
	if !e.flows.Put(now, seg.Flow, flow{copies: copies}) {
		e.reject(now, seg, copies, model.ReasonFlowLimit)
		return
	}
	e.place(now, r, seg, e.flows.Peek(seg.Flow), service, model.ReasonNone)
}

func (e *Engine) place(now model.Instant, r *route, seg *model.Segment, f *flow, service model.ServiceID, reason model.Reason) {
	up := e.choose(now, r, service, f)
	if up == nil {
		e.rejectUnplaced(now, seg, f)
		return
	}
	e.sendCopy(now, seg, f, up, reason)
}

// sendCopy sends a SYN that has come from the caller to an upstream.
func (e *Engine) sendCopy(now model.Instant, syn *model.Segment, f *flow, up *roster.Upstream, reason model.Reason) {
	f.syn, f.copyAt = append(f.syn[:0], syn.Raw...), now
	e.sendSyn(now, syn.Flow, f, up, reason)
}

// rejectUnplaced handles a SYN that no upstream may take. A copy is only dropped while an upstream that got an earlier one may still answer it: the reset
// would meet the open flow.
func (e *Engine) rejectUnplaced(now model.Instant, seg *model.Segment, f *flow) {
	if now.Sub(f.synAt) < synCopyTime {
		for _, up := range f.tried {
			if !f.copies.includes(seg) || !up.Ended(now) && (e.reachable(up) || up.Health.Full()) {
				e.drop(seg, up, model.ReasonNoUpstream)
				return
			}
		}
	}
	copies := f.copies
	e.flows.Delete(seg.Flow)
	e.reject(now, seg, copies, model.ReasonNoUpstream)
}

// sendSyn sends the SYN of a flow to an upstream and starts its timeout.
func (e *Engine) sendSyn(now model.Instant, key model.FlowKey, f *flow, up *roster.Upstream, reason model.Reason) {
	f.reassign(up)
	if !f.wasTried(up) {
		f.tried = append(f.tried, up)
	}
	f.synAt, f.probed = now, false
	lease := e.grantLease(now, f)
	e.startTimer(synTimer{deadline: now.Add(e.handshakes.timeout()), flow: key, sentAt: now})
	e.cold.record(now, up)
	e.actions = append(e.actions, Action{
		Verb: model.VerbForward, Reason: reason, Flow: key, Upstream: up, Raw: f.syn, Mark: up.Tag.Opening(key, f.firstSeq(), lease),
		Attempt: len(f.tried), Candidates: len(e.candidates), Unleased: lease == model.NoLease,
	})
}

// expireHandshakes counts unanswered SYNs as timeouts, and retries each at another upstream once a probe shows that the first one takes no new flows.
func (e *Engine) expireHandshakes(now model.Instant) {
	for {
		t, ok := e.timers.PopDue(now)
		if !ok {
			return
		}
		f := e.flows.Peek(t.flow)
		if f == nil || f.established || f.synAt != t.sentAt || f.syn == nil {
			continue
		}
		if t.retry {
			e.retrySyn(now, t.flow, f)
			continue
		}
		if now.Sub(t.deadline) > stallThreshold {
			// This instance was stalled, so answers may still be queued: allow another timeout from now on before the SYN counts as unanswered.
			t.deadline = now.Add(e.handshakes.timeout())
			e.startTimer(t)
			continue
		}
		e.recordTimeout(now, f.up, t.sentAt)
		if f.up.Replaced() || f.up.Health.Unavailable() {
			e.retrySyn(now, t.flow, f)
			continue
		}
		e.silent.add(f.up, silentSyn{flow: t.flow, sentAt: t.sentAt})
		e.probeSilentSyn(now, f.up)
	}
}

// retrySyn sends the SYN of a flow to another upstream, within the limits on attempts and retries. It waits until the lease of the SYN is over.
func (e *Engine) retrySyn(now model.Instant, key model.FlowKey, f *flow) {
	if f.holdsLease(now) {
		e.startTimer(synTimer{deadline: f.leaseEnd(), flow: key, sentAt: f.synAt, retry: true})
		return
	}
	r := e.openRoute(key.Service)
	if r == nil || len(f.tried) >= attemptLimit || e.cfg.Disabled.Resend {
		return
	}
	if !e.retryBudget.TryWithdraw() {
		e.drop(&model.Segment{Flow: key}, f.up, model.ReasonRetryBudget)
		return
	}
	up := e.choose(now, r, e.drawTarget(r), f)
	if up == nil || f.wasTried(up) {
		return
	}
	e.sendSyn(now, key, f, up, model.ReasonHandshakeSilent)
}
