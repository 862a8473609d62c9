// Package health decides whether an upstream or a whole failure domain is reachable, from passive observation of flows and from active
// probes that confirm it.
package health

import (
	"time"

	"hawthorncourse/internal/core/model"
)

const (
	// ejectionTimeouts is the number of consecutive unanswered packets that ejects an upstream: a single lost packet is normal, two
	// without an answer in between are not.
	ejectionTimeouts = 2
	// partitionFailures is the number of upstreams of a failure domain with a failed probe from which the domain may be considered
	// partitioned from this instance.
	partitionFailures = 2
	// partitionIdle is the time since the last success of any upstream of the domain that is required as well. All upstreams without a
	// success have been probed within this time.
	partitionIdle = 150 * time.Millisecond
	// suspicionIdle is the time since the last success in a failure domain after which one failed probe makes all its upstreams suspect.
	suspicionIdle = 75 * time.Millisecond
	// restartFailures is the number of failed probes after which an upstream may have restarted when it answers again.
	restartFailures = 2
	// deadFailures is the number of failed probes after which an upstream counts as dead for its open flows. It is higher because a
	// saturated link loses packets and probes alike.
	deadFailures = 3
	// initialProbeInterval is the time between the first two probes of an upstream. For comparison, a caller retransmits data for the
	// second time after 600 ms.
	initialProbeInterval = 50 * time.Millisecond
	// initialProbeTimeout is far above the round-trip time within one region (3 ms). Each failure doubles it, to allow for queueing on
	// a slow link.
	initialProbeTimeout = 50 * time.Millisecond
	// maxProbeTimeout is the time after which a caller retransmits data.
	maxProbeTimeout = 200 * time.Millisecond
	// probeIntervalGrowth is the factor of the exponential backoff of probes.
	probeIntervalGrowth = 2
	// maxProbeInterval bounds the time until the recovery of an upstream is detected. One probe per second is about 1 % of its load.
	maxProbeInterval = time.Second
)

// Outcome is the result of a probe.
type Outcome uint8

// Outcomes of probes.
const (
	// OutcomeAnswered means that the upstream's host is reachable.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeFailed means that the probe timed out or that the connection was refused; a network partition may cause either.
	OutcomeFailed
	// OutcomeFull means that the upstream accepted the connection and reset it, because it is at its limit of connections. It runs and serves its open
	// flows, but ignores the SYNs of new ones.
	OutcomeFull
	// OutcomeInconclusive means that this instance may be why no answer arrived in time: it stalled during the probe, its own link was saturated, or the
	// probe could not be sent.
	OutcomeInconclusive
)

// Tracker tracks the reachability of one upstream. The zero value is an upstream that is considered reachable.
type Tracker struct {
	// timeouts is the number of consecutive unanswered packets; a success or an answered probe resets it.
	timeouts int
	// probeFailures is the number of consecutive failed probes; a success or an answered probe resets it.
	probeFailures int
	// unansweredSince is when the first of the unanswered packets was sent.
	unansweredSince model.Instant
	// lastSuccess is when an answer was last seen in a flow.
	lastSuccess model.Instant
	// full is true if the last conclusive probe found the upstream at its limit of connections, and no SYN has been answered since.
	full bool
	// pathDown is true if the upstream's whole failure domain was considered partitioned when its probes failed.
	pathDown bool
	// lastProbe is when the last probe finished; zero if none has since the last answer in a flow.
	lastProbe model.Instant
	// probing is true while a probe is in flight, and probeStart is when the last one started.
	probing    bool
	probeStart model.Instant
	// nextProbe is the earliest time of the next probe.
	nextProbe model.Instant
	// verdictUntil is until when the last failed probe counts for open flows: two intervals, of which the second may be the longest. It is zero
	// if no probe has failed since the path to the failure domain was last known to work.
	verdictUntil model.Instant
	// probeInterval is the current backoff between probes.
	probeInterval time.Duration
}

// RecordSuccess records that an open flow got an answer from the upstream. A full upstream serves its open flows as well, so it stays full.
func (t *Tracker) RecordSuccess(now model.Instant) {
	next := Tracker{lastSuccess: now, probing: t.probing, probeStart: t.probeStart}
	if t.full {
		next.full, next.nextProbe, next.probeInterval = true, t.nextProbe, t.probeInterval
	}
	*t = next
}

// RecordHandshake records that the upstream answered a SYN, so that it is not full.
func (t *Tracker) RecordHandshake(now model.Instant) {
	t.full = false
	t.RecordSuccess(now)
}

// RecordTimeout records that a packet sent at the given time got no answer in time. A packet sent before the last success is ignored.
func (t *Tracker) RecordTimeout(sent model.Instant) {
	if sent < t.lastSuccess {
		return
	}
	if t.timeouts == 0 || sent < t.unansweredSince {
		t.unansweredSince = sent
	}
	t.timeouts++
}

// MarkSuspect makes the upstream eligible for a probe although none of its packets has timed out.
func (t *Tracker) MarkSuspect(now model.Instant) {
	if t.timeouts == 0 && t.probeFailures == 0 {
		t.timeouts, t.unansweredSince = 1, now
	}
}

// Suspect reports whether the upstream has to be probed: packets or probes went unanswered since it last answered, or it is full.
func (t *Tracker) Suspect() bool {
	return t.timeouts > 0 || t.probeFailures > 0 || t.full
}

// ProbeDue reports whether a probe is due, and since when.
func (t *Tracker) ProbeDue(now model.Instant) (since model.Instant, due bool) {
	return max(t.nextProbe, t.unansweredSince), !t.probing && now >= t.nextProbe && t.Suspect()
}

// StartProbe reports whether the caller must start a probe now. If so, the caller must report the outcome with FinishProbe.
func (t *Tracker) StartProbe(now model.Instant) bool {
	_, due := t.ProbeDue(now)
	if due {
		t.probing, t.probeStart = true, now
	}
	return due
}

// ProbeTimeout returns the timeout of a probe that starts now.
func (t *Tracker) ProbeTimeout() time.Duration {
	return min(initialProbeTimeout<<min(t.probeFailures, 2), maxProbeTimeout)
}

// FinishProbe records the outcome of a probe. An answered probe proves that the path works, not that the upstream serves flows, so it
// does not reset the backoff of probes; only RecordSuccess does. It returns the outcome that counts: a failed probe that began before the last answer in a
// flow is inconclusive.
func (t *Tracker) FinishProbe(now model.Instant, outcome Outcome) Outcome {
	if outcome == OutcomeFailed && t.probeStart < t.lastSuccess {
		outcome = OutcomeInconclusive
	}
	t.probing, t.lastProbe = false, now
	if outcome == OutcomeFailed && t.probeFailures == 0 {
		// Probes that were answered, as by a full upstream, do not delay the proof that it has ended since.
		t.probeInterval = 0
	}
	t.probeInterval = min(max(t.probeInterval*probeIntervalGrowth, initialProbeInterval), maxProbeInterval)
	t.nextProbe = now.Add(t.probeInterval)
	switch outcome {
	case OutcomeAnswered:
		t.clearFailures()
		t.full = false
	case OutcomeFull:
		t.clearFailures()
		t.full = true
	case OutcomeFailed:
		if t.Suspect() {
			t.probeFailures++
			t.verdictUntil = t.nextProbe.Add(maxProbeInterval)
		}
	}
	return outcome
}

// clearFailures forgets what went unanswered, since the upstream runs and the path to it works.
func (t *Tracker) clearFailures() {
	t.timeouts, t.probeFailures, t.pathDown, t.verdictUntil = 0, 0, false, 0
}

// ExpediteProbe allows the next probe to start immediately, as the path to the failure domain works again. Earlier failures may be due to the path, so
// they do not count for open flows until the next one.
func (t *Tracker) ExpediteProbe(now model.Instant) {
	t.nextProbe, t.verdictUntil = min(t.nextProbe, now), 0
}

// Silent reports whether the upstream leaves packets or probes unanswered, so that it may be unreachable.
func (t *Tracker) Silent() bool {
	return t.timeouts >= ejectionTimeouts || t.probeFailures > 0
}

// Full reports whether the upstream runs but is at its limit of connections.
func (t *Tracker) Full() bool {
	return t.full && !t.Silent()
}

// Unavailable reports whether the last conclusive probe has shown that the upstream takes no new flows, and no answer has shown otherwise since: the probe
// failed, or found the upstream at its limit of connections. Unanswered packets alone do not show it.
func (t *Tracker) Unavailable() bool {
	return t.full || t.probeFailures > 0
}

// Ejected reports whether the upstream must not get new flows, because it is silent or full.
func (t *Tracker) Ejected() bool {
	return t.full || t.Silent()
}

// Dead reports whether so many consecutive probes have failed, without any sign of the upstream in between, that its open flows have ended as far as this
// instance can tell. A full upstream resets the connections of probes, which shows that it runs. The last probe must have failed within the last two
// intervals: the upstream may answer again, and no probe has asked it since.
func (t *Tracker) Dead(now model.Instant) bool {
	return now < t.verdictUntil && t.probeFailures >= deadFailures
}

// MarkPathDown records that the upstream's whole failure domain is considered partitioned, so that the failed probes do not show that the
// upstream itself is down.
func (t *Tracker) MarkPathDown() {
	t.pathDown = t.probeFailures > 0
}

// Down reports whether the upstream itself, rather than the path to it, seems to be down. If it answers again, it may have restarted.
func (t *Tracker) Down() bool {
	return t.probeFailures >= restartFailures && !t.pathDown
}

// Timeouts returns the number of consecutive unanswered packets.
func (t *Tracker) Timeouts() int {
	return t.timeouts
}

// FailedProbes returns the number of consecutive failed probes.
func (t *Tracker) FailedProbes() int {
	return t.probeFailures
}

// LastProbe returns when the last probe finished; zero if none has since the last answer in a flow.
func (t *Tracker) LastProbe() model.Instant {
	return t.lastProbe
}

// LastSuccess returns when an answer was last seen in a flow; zero if there was none.
func (t *Tracker) LastSuccess() model.Instant {
	return t.lastSuccess
}

// UnansweredFor returns the time since the first of the consecutive unanswered packets was sent; zero if there are none.
func (t *Tracker) UnansweredFor(now model.Instant) time.Duration {
	if t.timeouts == 0 {
		return 0
	}
	return now.Sub(t.unansweredSince)
}

// DomainTracker tracks the reachability of one failure domain. The zero value is a domain that is considered reachable.
type DomainTracker struct {
	// failedProbes is the set of upstreams with a failed probe since the last success of any upstream of the domain.
	failedProbes map[model.UpstreamID]bool
	// lastSuccess is the time of that success.
	lastSuccess model.Instant
	// partitioned is true while the domain is considered partitioned from this instance.
	partitioned bool
}

// RecordSuccess records that any upstream of the domain answered. It reports whether the domain was considered partitioned until now.
func (d *DomainTracker) RecordSuccess(now model.Instant) bool {
	wasPartitioned := d.partitioned
	d.lastSuccess, d.partitioned = now, false
	clear(d.failedProbes)
	return wasPartitioned
}

// RecordProbeFailure records a failed probe of one upstream. It reports whether the domain is considered partitioned from now on and was
// not before.
func (d *DomainTracker) RecordProbeFailure(now model.Instant, id model.UpstreamID) bool {
	if d.failedProbes == nil {
		d.failedProbes = map[model.UpstreamID]bool{}
	}
	d.failedProbes[id] = true
	if d.partitioned || len(d.failedProbes) < partitionFailures || now.Sub(d.lastSuccess) < partitionIdle {
		return false
	}
	d.partitioned = true
	return true
}

// Suspected reports whether the last success in the domain is so long ago that one failed probe makes all its upstreams suspect.
func (d *DomainTracker) Suspected(now model.Instant) bool {
	return now.Sub(d.lastSuccess) >= suspicionIdle
}

// Partitioned reports whether the domain is considered partitioned from this instance.
func (d *DomainTracker) Partitioned() bool {
	return d.partitioned
}
