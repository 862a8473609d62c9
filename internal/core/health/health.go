// Package health judges from real flows, confirmed by probes, whether an upstream or a whole failure domain can be reached.
package health

import (
	"time"

	"hawthorncourse/internal/core/model"
)

const (
	// missLimit bars an upstream: one lost packet is ordinary, two in a row without a sign of life between them are not.
	missLimit = 2
	// domainLimit is how many upstreams of a failure domain must fail a probe before the path to the domain is taken as cut.
	domainLimit = 2
	// domainSilence is how long none of its upstreams may have shown a sign of life by then; all that were not heard of
	// have been probed meanwhile.
	domainSilence = 150 * time.Millisecond
	// siblingSilence is after how long without a sign of life from a domain one failed probe casts doubt on all of it.
	siblingSilence = 75 * time.Millisecond
	// likelyLimit is how many probes must fail before a flow that gets no answer itself need not wait longer.
	likelyLimit = 2
	// certainLimit is how many must fail before an upstream is certain not to hear this instance, whatever a flow shows:
	// a full link loses packets and probes alike.
	certainLimit = 3
	// firstPause is the time to the second probe of an upstream; a caller repeats data for the second time after 600 ms.
	firstPause = 50 * time.Millisecond
	// probeWait is far above the round trip within one region (3 ms); each failure doubles it, for a queue on a slow link.
	probeWait = 50 * time.Millisecond
	// probeWaitLimit is as long as a caller waits before it repeats data.
	probeWaitLimit = 200 * time.Millisecond
	// pauseGrowth lengthens the pause after each probe.
	pauseGrowth = 2
	// pauseLimit keeps the return of an upstream from going unnoticed; one probe a second is a hundredth of its work.
	pauseLimit = time.Second
)

// Outcome is what a probe showed.
type Outcome uint8

// The outcomes of probes.
const (
	// OutcomeAnswered means that the upstream's machine can be reached.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeFailed means that there was no answer in time or that the connection was refused; a cut may do either.
	OutcomeFailed
	// OutcomeInconclusive means that this instance stood still meanwhile, so that the silence may be its own.
	OutcomeInconclusive
)

// Tracker follows the signs of life of one upstream; its zero value knows nothing and trusts.
type Tracker struct {
	// misses counts the packets without an answer since the last sign of life.
	misses int
	// failed counts the probes that failed since the last sign of life.
	failed int
	// since is when the first unanswered packet was sent.
	since model.Instant
	// life is the last sign of life.
	life model.Instant
	// path is set if the upstream's whole failure domain was silent with it.
	path bool
	// probing is set while a probe is under way.
	probing bool
	// next is when the next probe may begin.
	next  model.Instant
	pause time.Duration
}

// RecordSuccess notes a sign of life in a flow.
func (t *Tracker) RecordSuccess(now model.Instant) {
	*t = Tracker{life: now, probing: t.probing}
}

// RecordTimeout notes that a packet sent at the instant got no answer in time; one sent before the last sign of life says nothing.
func (t *Tracker) RecordTimeout(sent model.Instant) {
	if sent < t.life {
		return
	}
	if t.misses == 0 || sent < t.since {
		t.since = sent
	}
	t.misses++
}

// MarkSuspect lets a probe find out about an upstream that was not used lately.
func (t *Tracker) MarkSuspect(now model.Instant) {
	if t.misses == 0 && t.failed == 0 {
		t.misses, t.since = 1, now
	}
}

// StartProbe reports whether a probe must begin now; Probed must follow.
func (t *Tracker) StartProbe(now model.Instant) bool {
	if t.probing || now < t.next || (t.misses == 0 && t.failed == 0) {
		return false
	}
	t.probing = true
	return true
}

// ProbeTimeout returns how long the probe that begins now may take.
func (t *Tracker) ProbeTimeout() time.Duration {
	return min(probeWait<<min(t.failed, 2), probeWaitLimit)
}

// FinishProbe notes the outcome of a probe. One that succeeds proves the path, not that flows are served: if packets still go
// unanswered after it, the next probe waits longer.
func (t *Tracker) FinishProbe(now model.Instant, outcome Outcome) {
	t.probing = false
	t.pause = min(max(t.pause*pauseGrowth, firstPause), pauseLimit)
	t.next = now.Add(t.pause)
	switch outcome {
	case OutcomeAnswered:
		t.misses, t.failed, t.path = 0, 0, false
	case OutcomeFailed:
		if t.misses > 0 || t.failed > 0 {
			t.failed++
		}
	}
}

// ExpediteProbe lets the next probe begin at once.
func (t *Tracker) ExpediteProbe() {
	t.next = 0
}

// Ejected reports whether new flows belong elsewhere.
func (t *Tracker) Ejected() bool {
	return t.misses >= missLimit || t.failed > 0
}

// Unreachable reports whether flows and probes went unanswered for so long, without a sign of life between them, that a
// flow is better off elsewhere; waits tells whether the flow itself got no answer.
func (t *Tracker) Unreachable(waits bool) bool {
	return t.failed >= certainLimit || (waits && t.failed >= likelyLimit)
}

// MarkPathDown notes that the path to the upstream's whole failure domain is taken as cut.
func (t *Tracker) MarkPathDown() {
	t.path = t.failed > 0
}

// Down reports whether the upstream itself seems to have ended: should it come back, it may have restarted.
func (t *Tracker) Down() bool {
	return t.failed >= likelyLimit && !t.path
}

// Timeouts returns how many packets in a row got no answer.
func (t *Tracker) Timeouts() int {
	return t.misses
}

// UnansweredFor returns how long there was no answer although packets were sent.
func (t *Tracker) UnansweredFor(now model.Instant) time.Duration {
	if t.misses == 0 {
		return 0
	}
	return now.Sub(t.since)
}

// DomainTracker follows the path to one failure domain; its zero value trusts.
type DomainTracker struct {
	// failed holds the upstreams whose probes failed since the last sign of life of any of the domain's.
	failed map[model.UpstreamID]bool
	// life is the last sign of life of any of them.
	life model.Instant
	// cut is set while the path is taken as cut.
	cut bool
}

// RecordSuccess notes a sign of life of any upstream of the domain; it reports whether the path had been taken as cut.
func (d *DomainTracker) RecordSuccess(now model.Instant) bool {
	was := d.cut
	d.life, d.cut = now, false
	clear(d.failed)
	return was
}

// RecordProbeFailure notes that a probe of one upstream failed; it reports whether the path is taken as cut from now on.
func (d *DomainTracker) RecordProbeFailure(now model.Instant, id model.UpstreamID) bool {
	if d.failed == nil {
		d.failed = map[model.UpstreamID]bool{}
	}
	d.failed[id] = true
	if d.cut || len(d.failed) < domainLimit || now.Sub(d.life) < domainSilence {
		return false
	}
	d.cut = true
	return true
}

// Suspected reports whether the domain was silent for so long that one failed probe concerns all of it.
func (d *DomainTracker) Suspected(now model.Instant) bool {
	return now.Sub(d.life) >= siblingSilence
}

// Partitioned reports whether the path to the whole domain is taken as cut.
func (d *DomainTracker) Partitioned() bool {
	return d.cut
}
