package relay

import (
	"time"

	"hawthorncourse/internal/base/logs"
	"hawthorncourse/internal/core/direct"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

// decisionLines is the most lines a second for each kind of decision on packets: with five kinds, logging then takes
// below a hundredth of the smallest instance's processor time.
const decisionLines = 20

// beliefLines is the most lines a second for each kind of change of what is believed: more than any fault of a few upstreams brings, and
// below a tenth of the smallest instance's processor time when a failure domain of a thousand goes.
const beliefLines = 100

// The kinds of decisions on packets that are logged.
const (
	kindPlace  = "place"
	kindResend = "resend"
	kindReset  = "reset"
	kindDrop   = "drop"
)

// sentences says in a line what each kind of decision is.
var sentences = map[string]string{
	kindPlace:  "A new flow is placed.",
	kindResend: "An opening packet goes to a further upstream.",
	kindReset:  "A flow is reset.",
	kindDrop:   "A packet is dropped.",
}

// recorder writes the log of decisions and beliefs; the decide duty alone uses it.
type recorder struct {
	log logs.Logger
	// budget bounds the decisions, and beliefs the changes of what is believed.
	budget, beliefs logs.Limiter
}

// kindOf returns the kind of a decision; it is empty for packets of open flows, which only follow an earlier decision.
func kindOf(a *direct.Action) string {
	switch {
	case a.Verb == model.VerbReset:
		return kindReset
	case a.Verb == model.VerbDrop:
		return kindDrop
	case a.Attempt == 1:
		return kindPlace
	case a.Attempt > 1:
		return kindResend
	default:
		return ""
	}
}

// record logs one decision with what decided it.
func (r *Relay) record(now model.Instant, a *direct.Action) {
	kind := kindOf(a)
	if kind == "" || !r.recorder.budget.Allow(time.Duration(now), kind) {
		return
	}
	fields := logs.Fields{
		"kind": kind, "flow": a.Flow.Caller, "service": a.Flow.Service,
		"revision": r.revision.Load(), "ageMs": now.Sub(model.Instant(r.confirmed.Load())).Milliseconds(),
	}
	if a.Reason != model.ReasonNone {
		fields["reason"] = a.Reason.String()
	}
	if a.Tag != 0 {
		fields["tag"] = a.Tag
	}
	if a.Attempt > 0 {
		fields["choices"], fields["offered"] = a.Candidates, a.Attempt
	}
	if u := a.Upstream; u != nil {
		addUpstream(fields, u)
		fields["misses"], fields["silentMs"] = u.Health.Timeouts(), u.Health.UnansweredFor(now).Milliseconds()
		fields["running"], fields["answerMs"] = u.Load.Running, u.Load.AnswerTime().Milliseconds()
	}
	r.recorder.log.WithAll(fields).Info(sentences[kind])
}

// addUpstream adds what tells one start of an upstream from all others.
func addUpstream(fields logs.Fields, u *roster.Upstream) {
	fields["upstream"], fields["boot"], fields["upstreamTag"] = u.ID, u.Boot, u.Tag
	fields["domain"], fields["state"], fields["entryRevision"] = u.Domain, u.State.String(), u.Revision
}

func withUpstream(log logs.Logger, u *roster.Upstream) logs.Logger {
	fields := logs.Fields{}
	addUpstream(fields, u)
	return log.WithAll(fields)
}

// summarise logs what the budgets left out.
func (r *Relay) summarise(now model.Instant) {
	for _, left := range append(r.recorder.budget.NextWindow(time.Duration(now)), r.recorder.beliefs.NextWindow(time.Duration(now))...) {
		r.counts.Counter("log.left_out." + left.Kind).Inc(int64(left.Lines))
		r.recorder.log.With("kind", left.Kind).With("lines", left.Lines).Info("Lines were left out.")
	}
	if n := r.cfg.LogsDropped(); n > 0 {
		r.counts.Counter("log.dropped").Inc(n)
		r.recorder.log.With("lines", n).Warn("Lines were lost, since the log's reader was too slow.")
	}
}

// report logs what the engine has come to believe.
func (r *Relay) report(now model.Instant) {
	log := r.part("health")
	for _, n := range r.engine.TakeEvents() {
		if !r.recorder.beliefs.Allow(time.Duration(now), n.Kind.String()) {
			continue
		}
		switch n.Kind {
		case direct.EventUpstreamEjected:
			withUpstream(log, n.Upstream).With("misses", n.Upstream.Health.Timeouts()).Warn("An upstream does not answer; new flows go elsewhere.")
		case direct.EventUpstreamReachable:
			withUpstream(log, n.Upstream).With("silentMs", n.UnansweredFor.Milliseconds()).Info("An upstream answers again.")
		case direct.EventDomainPartitioned:
			log.With("domain", n.Domain).Warn("A failure domain does not answer; new flows go elsewhere.")
		case direct.EventDomainReachable:
			log.With("domain", n.Domain).Info("A failure domain answers again.")
		}
	}
	for _, n := range r.engine.Roster().TakeStateChanges() {
		if !r.recorder.beliefs.Allow(time.Duration(now), "upstream_"+n.State.String()) {
			continue
		}
		withUpstream(r.part("roster"), n.Upstream).With("service", n.Upstream.Service).With("draining", n.Upstream.Draining).
			Info("What is known of an upstream has changed.")
	}
	if isolated := r.engine.Isolated(); isolated != r.isolated.Swap(isolated) {
		r.part("relay").With("isolated", isolated).Warn("Whether any upstream can be reached has changed.")
	}
}

// measure counts what the engine measured.
func (r *Relay) measure() {
	for _, s := range r.engine.TakeSamples() {
		if s.Kind == direct.SampleHandshake {
			r.handshakes.RecordDuration(s.Duration)
		} else {
			r.answers.RecordDuration(s.Duration)
		}
	}
}

// gauge sets the gauges of what is known.
func (r *Relay) gauge(now model.Instant) {
	states := map[roster.State]int{}
	barred := 0
	for _, u := range r.engine.Roster().All() {
		states[u.State]++
		if u.Health.Ejected() {
			barred++
		}
	}
	for _, s := range []roster.State{roster.StateListed, roster.StateMissing, roster.StateUnreadable} {
		r.counts.Gauge("upstreams." + s.String()).Update(float64(states[s]))
	}
	r.counts.Gauge("upstreams.barred").Update(float64(barred))
	r.counts.Gauge("flows").Update(float64(r.engine.FlowCount()))
	r.counts.Gauge("knowledge.age_seconds").Update(now.Sub(model.Instant(r.confirmed.Load())).Seconds())
	r.counts.Gauge("knowledge.revision").Update(float64(r.revision.Load()))
}
