package relay

import (
	"time"

	"hawthorncourse/internal/base/logs"
	"hawthorncourse/internal/core/direct"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

// decisionsPerSecond bounds the log lines per second for each kind of decision on packets: with six kinds, logging takes less than 1 % of
// the smallest instance's processor time.
const decisionsPerSecond = 20

// stateChangesPerSecond bounds the log lines per second for each kind of state change. It exceeds what a fault of a few upstreams causes, and
// logging takes less than 10 % of the smallest instance's processor time when a failure domain with a thousand upstreams fails.
const stateChangesPerSecond = 100

// The values of the log field "kind" for decisions on packets.
const (
	kindPlace  = "place"
	kindResend = "resend"
	kindReset  = "reset"
	kindDrop   = "drop"
	kindHold   = "hold"
	kindMove   = "move"
)

// messages holds the log message of each kind of decision.
var messages = map[string]string{
	kindPlace:  "A new flow was assigned to an upstream.",
	kindResend: "The opening packet of a flow was resent to another upstream.",
	kindReset:  "A flow was reset.",
	kindDrop:   "A packet was dropped.",
	kindHold:   "A packet is held until it can be decided upon.",
	kindMove:   "An open flow goes to another upstream, which the tag of its caller's packets names now.",
}

// recorder writes the rate-limited log of decisions and state changes; only the decision loop uses it.
type recorder struct {
	log logs.Logger
	// decisions and stateChanges bound the lines of each kind.
	decisions, stateChanges logs.Limiter
	// limited holds whether the admission of new flows to a service was last logged as limited.
	limited map[model.ServiceID]bool
}

// kindOf returns the kind of a decision. It is empty for packets of open flows, which go to the upstream chosen before and are not logged.
func kindOf(a *direct.Action) string {
	switch {
	case a.Verb == model.VerbReset:
		return kindReset
	case a.Verb == model.VerbDrop:
		return kindDrop
	case a.Verb == model.VerbHold:
		return kindHold
	case a.Reason == model.ReasonTagChanged:
		return kindMove
	case a.Attempt == 1:
		return kindPlace
	case a.Attempt > 1:
		return kindResend
	default:
		return ""
	}
}

// record logs a decision together with the state that it was based on.
func (r *Relay) record(now model.Instant, a *direct.Action) {
	kind := kindOf(a)
	if kind == "" || !r.recorder.decisions.Allow(time.Duration(now), kind) {
		return
	}
	fields := logs.Fields{
		"kind": kind, "flow": a.Flow.Caller, "service": a.Flow.Service,
		"era": r.era.Load(), "revision": r.revision.Load(), "ageMs": r.snapshotAge(now).Milliseconds(),
	}
	if a.Reason != model.ReasonNone {
		fields["reason"] = a.Reason.String()
	}
	if a.Tag != 0 {
		fields["tag"] = a.Tag
	}
	if _, delay := r.egress.Queued(); delay > 0 {
		fields["queueMs"] = delay.Milliseconds()
	}
	if a.Reason == model.ReasonOverloaded {
		r.addAdmission(fields, now, a)
	}
	if a.Attempt > 0 {
		fields["choices"], fields["offered"] = a.Candidates, a.Attempt
	}
	if u := a.Upstream; u != nil {
		addUpstream(fields, u)
		fields["misses"], fields["silentMs"] = u.Health.Timeouts(), u.Health.UnansweredFor(now).Milliseconds()
		if kind == kindReset {
			addEvidence(fields, now, u)
		}
		fields["running"], fields["answerMs"] = u.Load.Running, u.Load.AnswerTime().Milliseconds()
	}
	r.recorder.log.WithAll(fields).Info(messages[kind])
}

// addAdmission adds what the decision on a new flow to a full service was based on: the load in requests for each slot, its age, the rate of admission, the
// flows that are offered and that wait, and the priority of the flow.
func (r *Relay) addAdmission(fields logs.Fields, now model.Instant, a *direct.Action) {
	gate, priority, ok := r.engine.AdmissionOf(a.Flow.Service)
	if !ok {
		return
	}
	fields["priority"], fields["load"], fields["fullLoad"] = priority, gate.Load, gate.FullLoad
	fields["loadAgeMs"], fields["waiting"] = now.Sub(gate.Updated).Milliseconds(), gate.Waiting
	fields["ratePerS"], fields["offeredPerS"] = gate.Rate, gate.Offered
}

// addEvidence adds what speaks for and against an upstream: failed probes and the ages of the last probe and of the last answer in a flow, as far as there
// were any, and whether a later run has taken its place.
func addEvidence(fields logs.Fields, now model.Instant, u *roster.Upstream) {
	fields["failedProbes"], fields["full"], fields["replaced"] = u.Health.FailedProbes(), u.Health.Full(), u.Replaced()
	if at := u.Health.LastProbe(); at != 0 {
		fields["probeAgeMs"] = now.Sub(at).Milliseconds()
	}
	if at := u.Health.LastSuccess(); at != 0 {
		fields["answerAgeMs"] = now.Sub(at).Milliseconds()
	}
}

// snapshotAge returns the time since the store last confirmed the current snapshot.
func (r *Relay) snapshotAge(now model.Instant) time.Duration {
	return now.Sub(model.Instant(r.confirmedAt.Load()))
}

// addUpstream adds the fields that identify an upstream and the current start of its process.
func addUpstream(fields logs.Fields, u *roster.Upstream) {
	fields["upstream"], fields["boot"], fields["upstreamTag"] = u.ID, u.Boot, u.Tag
	fields["domain"], fields["state"], fields["entryRevision"] = u.Domain, u.State.String(), u.Revision
}

func withUpstream(log logs.Logger, u *roster.Upstream) logs.Logger {
	fields := logs.Fields{}
	addUpstream(fields, u)
	return log.WithAll(fields)
}

// logOmitted logs the number of lines that the rate limits have omitted, and the number of those that the log writer has lost.
func (r *Relay) logOmitted(now model.Instant) {
	for _, omitted := range append(r.recorder.decisions.NextWindow(time.Duration(now)), r.recorder.stateChanges.NextWindow(time.Duration(now))...) {
		r.counts.Counter("log.left_out." + omitted.Kind).Inc(int64(omitted.Lines))
		r.recorder.log.With("kind", omitted.Kind).With("lines", omitted.Lines).Info("Log lines of this kind were omitted by the rate limit.")
	}
	if n := r.cfg.LogsDropped(); n > 0 {
		r.counts.Counter("log.dropped").Inc(n)
		r.recorder.log.With("lines", n).Warn("Log lines were lost because the log output was too slow.")
	}
}

// logEvents logs changes in the state of upstreams, failure domains and the instance itself.
func (r *Relay) logEvents(now model.Instant) {
	log := r.logger("health")
	for _, ev := range r.engine.TakeEvents() {
		if !r.recorder.stateChanges.Allow(time.Duration(now), ev.Kind.String()) {
			continue
		}
		switch ev.Kind {
		case direct.EventUpstreamEjected:
			withUpstream(log, ev.Upstream).With("misses", ev.Upstream.Health.Timeouts()).Warn("An upstream does not answer and has been ejected; new flows go to other upstreams.")
		case direct.EventUpstreamReachable:
			withUpstream(log, ev.Upstream).With("silentMs", ev.UnansweredFor.Milliseconds()).Info("An ejected upstream answers again; it gets new flows.")
		case direct.EventUpstreamFull:
			withUpstream(log, ev.Upstream).Warn("An upstream is at its limit of connections; it keeps its open flows, and new ones go to other upstreams.")
		case direct.EventDomainPartitioned:
			log.With("domain", ev.Domain).Warn("No upstream of a failure domain answers; new flows go to other failure domains.")
		case direct.EventDomainReachable:
			log.With("domain", ev.Domain).Info("A failure domain answers again; its upstreams get new flows.")
		}
	}
	r.logRegistrations(now)
	if isolated := r.engine.Isolated(); isolated != r.isolated.Swap(isolated) {
		r.logger("relay").With("isolated", isolated).Warn("The reachability of the upstreams has changed; while isolated is true, none is reachable and the readiness check fails.")
	}
}

// logRegistrations logs changes in the registration state of upstreams, and the registrations that were refused.
func (r *Relay) logRegistrations(now model.Instant) {
	for _, ev := range r.engine.Roster().TakeStateChanges() {
		if ev.Cause != 0 {
			r.counts.Counter("roster.ended." + ev.Cause.String()).Inc(1)
		}
		if !r.recorder.stateChanges.Allow(time.Duration(now), "upstream_"+ev.State.String()) {
			continue
		}
		log := r.rosterLogger(now, ev.Upstream).With("draining", ev.Upstream.Draining)
		if ev.Cause != 0 {
			log = withRegistration(log.With("cause", ev.Cause.String()), &ev.By)
		}
		log.Info("The registration state or the draining flag of an upstream has changed.")
	}
	for _, refused := range r.engine.Roster().TakeRefusals() {
		r.counts.Counter("roster.refused." + refused.Cause.String()).Inc(1)
		if !r.recorder.stateChanges.Allow(time.Duration(now), "refused_"+refused.Cause.String()) {
			continue
		}
		withRegistration(r.rosterLogger(now, refused.Upstream).With("cause", refused.Cause.String()), &refused.Registration).
			Warn("A registration was refused because of what is known of another run of an upstream.")
	}
}

// rosterLogger returns a logger with the fields of an upstream and of the current snapshot.
func (r *Relay) rosterLogger(now model.Instant, u *roster.Upstream) logs.Logger {
	return withUpstream(r.logger("roster"), u).With("service", u.Service).
		With("era", r.era.Load()).With("revision", r.revision.Load()).With("ageMs", r.snapshotAge(now).Milliseconds())
}

// withRegistration adds the fields of a registration that contradicts what is known of an upstream.
func withRegistration(log logs.Logger, reg *model.Registration) logs.Logger {
	return log.With("otherUpstream", reg.ID).With("otherBoot", reg.Boot).With("otherRevision", reg.Revision).With("otherService", reg.Service).
		With("otherAddress", reg.Address)
}

// recordSamples adds the latencies that the engine has measured to the histograms.
func (r *Relay) recordSamples() {
	for _, s := range r.engine.TakeSamples() {
		if s.Kind == direct.SampleHandshake {
			r.handshakes.RecordDuration(s.Duration)
		} else {
			r.answers.RecordDuration(s.Duration)
		}
	}
}

// updateAdmission updates the gauges of the admission of new flows, and logs when a limit begins or ends.
func (r *Relay) updateAdmission() {
	limited, waiting := 0, 0
	for _, a := range r.engine.Admissions() {
		if a.Limited {
			limited++
		}
		waiting += a.Waiting
		if r.recorder.limited[a.Service] == a.Limited {
			continue
		}
		r.recorder.limited[a.Service] = a.Limited
		r.logger("admission").With("service", a.Service).With("limited", a.Limited).With("load", a.Load).With("fullLoad", a.FullLoad).
			With("ratePerS", a.Rate).With("offeredPerS", a.Offered).
			Warn("The upstreams of a service have become full, or have room again; while limited is true, new flows wait or are refused by priority.")
	}
	r.counts.Gauge("admission.limited_services").Update(float64(limited))
	r.counts.Gauge("admission.waiting").Update(float64(waiting))
}

// updateGauges updates the gauges of upstreams, flows and the snapshot.
func (r *Relay) updateGauges(now model.Instant) {
	states := map[roster.State]int{}
	ejected, full, known, oldest := 0, 0, 0, time.Duration(0)
	for _, u := range r.engine.Roster().All() {
		states[u.State]++
		if u.Health.Ejected() {
			ejected++
		}
		if u.Health.Full() {
			full++
		}
		if age, ok := u.Gauge.Age(now); ok {
			known, oldest = known+1, max(oldest, age)
		}
	}
	for _, s := range []roster.State{roster.StateListed, roster.StateMissing, roster.StateUnreadable} {
		r.counts.Gauge("upstreams." + s.String()).Update(float64(states[s]))
	}
	r.counts.Gauge("upstreams.barred").Update(float64(ejected))
	r.counts.Gauge("upstreams.full").Update(float64(full))
	r.counts.Gauge("loads.known").Update(float64(known))
	r.counts.Gauge("loads.oldest_age_seconds").Update(oldest.Seconds())
	r.counts.Gauge("flows").Update(float64(r.engine.FlowCount()))
	r.updateAdmission()
	queued, delay := r.egress.Queued()
	r.counts.Gauge("egress.queued_bytes").Update(float64(queued))
	r.counts.Gauge("egress.delay_seconds").Update(delay.Seconds())
	r.updateClockGauges(now)
	r.counts.Gauge("knowledge.age_seconds").Update(r.snapshotAge(now).Seconds())
	r.counts.Gauge("knowledge.era").Update(float64(r.era.Load()))
	r.counts.Gauge("knowledge.revision").Update(float64(r.revision.Load()))
}
