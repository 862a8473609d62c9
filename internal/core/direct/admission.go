package direct

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"hawthorncourse/internal/core/choose"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/load/admit"
)

const (
	// admissionReserve is the share of the admitted rate that the lowest priority keeps while higher ones want more than there is.
	admissionReserve = 0.1
	// admissionQueueLimit bounds the SYNs that wait at one service; admitting more would take longer than their callers wait.
	admissionQueueLimit = 512
	// minKnownSlots is the share of a service's slots whose load must be known for its upstreams to count as full.
	minKnownSlots = 0.5
	// minUpdateInterval is the least time between two updates of the gates: the reports of different failure domains arrive one by one, every 250 ms each.
	minUpdateInterval = 200 * time.Millisecond
)

// admission limits the new flows of services whose upstreams are full. A service has a gate once a SYN arrives on a route to it that states a target
// latency.
type admission struct {
	gates map[model.ServiceID]*admit.Gate
	// answers averages the time from a request to its answer at the upstreams of each service with a gate.
	answers map[model.ServiceID]*choose.LatencyAverage
	// updatedAt is when the gates were last updated.
	updatedAt model.Instant
	// waiting holds the SYNs that wait at the gates, with the copies of each that came here.
	waiting map[model.FlowKey]*waitingSyn
}

// waitingSyn is a SYN that waits at the gate of a service.
type waitingSyn struct {
	// at is when the first copy came here.
	at model.Instant
	// seg is the last copy that came here.
	seg     model.Segment
	copies  synCopies
	service model.ServiceID
}

func newAdmission() admission {
	return admission{gates: map[model.ServiceID]*admit.Gate{}, answers: map[model.ServiceID]*choose.LatencyAverage{}, waiting: map[model.FlowKey]*waitingSyn{}}
}

// gate returns the gate of a service, or nil if none of its flows is limited.
func (a *admission) gate(service model.ServiceID, r *route) *admit.Gate {
	g := a.gates[service]
	if g == nil && r.Target > 0 {
		g = admit.New(admit.Config{Reserve: admissionReserve, QueueLimit: admissionQueueLimit})
		a.gates[service] = g
	}
	return g
}

// admitSyn asks the gate of a new flow's service, and reports whether the flow may be placed now. Otherwise the SYN waits or is refused. If the drawn target
// of a route is full, another target with room takes the flow: a caller is better served beyond the configured weights than refused.
func (e *Engine) admitSyn(now model.Instant, r *route, seg *model.Segment) (service model.ServiceID, admitted bool) {
	if e.keepWaiting(now, seg) {
		return "", false
	}
	service = e.drawTarget(r)
	verdict := e.offer(now, r, seg, service)
	if verdict != admit.VerdictAdmit {
		if other := e.targetWithRoom(r, service); other != "" {
			e.admission.gates[service].Cancel(seg.Flow)
			service, verdict = other, e.offer(now, r, seg, other)
		}
	}
	switch verdict {
	case admit.VerdictWait:
		e.admission.waiting[seg.Flow] = &waitingSyn{at: now, seg: *seg, copies: e.synCopies(now, seg), service: service}
		e.actions = append(e.actions, Action{Verb: model.VerbHold, Reason: model.ReasonOverloaded, Flow: seg.Flow})
	case admit.VerdictRefuse:
		e.reject(now, seg, e.synCopies(now, seg), model.ReasonOverloaded)
	}
	return service, verdict == admit.VerdictAdmit
}

// targetWithRoom returns another target of a route that is known not to be full; empty if there is none.
func (e *Engine) targetWithRoom(r *route, full model.ServiceID) model.ServiceID {
	for _, t := range r.Targets {
		if g := e.admission.gates[t.Service]; t.Service != full && g != nil && g.State().Known && !g.State().Limited {
			return t.Service
		}
	}
	return ""
}

// observeAnswer records the time from a request to its answer.
func (a *admission) observeAnswer(service model.ServiceID, d time.Duration) {
	if a.gates[service] == nil {
		return
	}
	if a.answers[service] == nil {
		a.answers[service] = &choose.LatencyAverage{}
	}
	a.answers[service].Observe(d)
}

// keepWaiting handles a copy of a SYN that waits. A SYN of another flow on the same port takes its place.
func (e *Engine) keepWaiting(now model.Instant, seg *model.Segment) bool {
	w := e.admission.waiting[seg.Flow]
	if w == nil {
		return false
	}
	if w.seg.Seq != seg.Seq {
		e.cancelWaiting(seg.Flow)
		return false
	}
	w.copies.add(now, seg)
	// Whether a refusal is true depends on the last copy: an earlier one that did not come here may be answered.
	w.seg = *seg
	e.drop(seg, nil, model.ReasonRepeat)
	return true
}

// cancelWaiting forgets a waiting SYN whose flow is open elsewhere or has ended.
func (e *Engine) cancelWaiting(key model.FlowKey) {
	if w := e.admission.waiting[key]; w != nil {
		e.admission.gates[w.service].Cancel(key)
		delete(e.admission.waiting, key)
	}
}

func (e *Engine) offer(now model.Instant, r *route, seg *model.Segment, service model.ServiceID) admit.Verdict {
	g := e.admission.gate(service, r)
	if g == nil {
		return admit.VerdictAdmit
	}
	return g.Offer(now, admit.Request{Key: seg.Flow, Caller: seg.Flow.Caller.Addr(), Priority: r.Priority, Target: r.Target, Arrived: now})
}

// releaseWaiting places or refuses the waiting SYNs whose turn has come.
func (e *Engine) releaseWaiting(now model.Instant) {
	if len(e.admission.waiting) == 0 {
		return
	}
	for _, service := range e.admission.services() {
		for {
			req, verdict, ok := e.admission.gates[service].Next(now)
			if !ok {
				break
			}
			e.finishWaiting(now, req.Key, service, verdict)
		}
	}
}

// services returns the services with a gate, in order: the table has none, and a replay must give the same result each time.
func (a *admission) services() []model.ServiceID {
	return slices.Sorted(maps.Keys(a.gates))
}

// finishWaiting carries out the verdict of a service's gate on a waiting SYN.
func (e *Engine) finishWaiting(now model.Instant, key model.FlowKey, service model.ServiceID, verdict admit.Verdict) {
	w := e.admission.waiting[key]
	if w == nil || w.service != service {
		return
	}
	delete(e.admission.waiting, key)
	r := e.openRoute(key.Service)
	switch {
	case now.Sub(w.at) > synHoldTime:
		// The instance was stalled: a later copy may have been placed by another one.
		e.drop(&w.seg, nil, model.ReasonHeldTooLong)
	case r == nil:
		e.reject(now, &w.seg, w.copies, model.ReasonNoRoute)
	case verdict == admit.VerdictAdmit:
		if !r.targets(service) {
			service = e.drawTarget(r)
		}
		e.placeNew(now, r, &w.seg, w.copies, service)
	default:
		e.reject(now, &w.seg, w.copies, model.ReasonOverloaded)
	}
}

// UpdateLoads passes the load of the usable upstreams of each service to its gate, after new reports. The actions are valid until the next call.
func (e *Engine) UpdateLoads(now model.Instant) []Action {
	e.actions = e.actions[:0]
	if now.Sub(e.admission.updatedAt) < minUpdateInterval {
		return e.actions
	}
	e.admission.updatedAt = now
	for _, service := range e.admission.services() {
		e.admission.gates[service].Update(now, e.room(now, service))
	}
	e.releaseWaiting(now)
	return e.actions
}

// Admission is the state of the gate of a service.
type Admission struct {
	Service model.ServiceID
	admit.State
}

// Admissions returns the state of the gate of each service that has one, in the order of services.
func (e *Engine) Admissions() (states []Admission) {
	for _, service := range e.admission.services() {
		states = append(states, Admission{Service: service, State: e.admission.gates[service].State()})
	}
	return states
}

// AdmissionOf returns the state of the gate that a new flow to an address passes, and the priority of its route; ok is false if there is none. Of a route with
// several targets, it is that of the first.
func (e *Engine) AdmissionOf(address netip.AddrPort) (a Admission, priority model.Priority, ok bool) {
	r := e.openRoute(address)
	if r == nil || e.admission.gates[r.Targets[0].Service] == nil {
		return a, 0, false
	}
	service := r.Targets[0].Service
	return Admission{Service: service, State: e.admission.gates[service].State()}, r.Priority, true
}

// room returns the load of the upstreams of a service that take new flows, or would if they were not full. A failure domain that seems partitioned counts: its
// upstreams take flows of other instances, and their loads are known only while its reader is in touch. So does an upstream that ignores SYNs: it may be full.
func (e *Engine) room(now model.Instant, service model.ServiceID) (room admit.Room) {
	if answers := e.admission.answers[service]; answers != nil {
		room.Answer = answers.Mean()
	}
	slots := 0
	for _, u := range e.roster.ByService(service) {
		if !e.roster.Usable(u) || u.Cold(now) || u.Health.FailedProbes() > 0 {
			continue
		}
		slots += u.Slots
		if work, known := u.Gauge.Work(now); known {
			room.Slots += u.Slots
			room.Work += float64(work)
		}
	}
	room.Known = room.Slots > 0 && float64(room.Slots) >= minKnownSlots*float64(slots)
	return room
}
