package admit

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hawthorncourse/internal/core/model"
)

// Guards against lost, repeated and late verdicts, and against admissions of low priorities before higher ones, for any sequence of requests, reports
// and pauses.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Config{
			Reserve:    rapid.SampledFrom([]float64{0, 0.1, 0.5, 1}).Draw(t, "reserve"),
			QueueLimit: rapid.IntRange(0, 8).Draw(t, "limit"),
		}
		rate := rapid.SampledFrom([]float64{0.5, 5, 50, 500}).Draw(t, "rate")
		m := &gateModel{gate: limitedGate(config, rate), now: testStart, waiting: make(map[model.FlowKey]Request)}
		t.Repeat(map[string]func(*rapid.T){
			"":       m.check,
			"offer":  m.offer,
			"update": m.update,
			"pause":  m.pause,
			"cancel": m.cancel,
		})
		m.gate.Update(m.now, Room{})
		m.drain(t, m.now)
		if len(m.waiting) > 0 {
			t.Fatalf("no verdict on %v", m.waiting)
		}
	})
}

// gateModel checks a gate against the requests that wait.
type gateModel struct {
	gate    *Gate
	now     model.Instant
	waiting map[model.FlowKey]Request
	offered uint16
}

func (m *gateModel) offer(t *rapid.T) {
	for range rapid.IntRange(1, 8).Draw(t, "requests") {
		m.offerOne(t)
	}
}

func (m *gateModel) offerOne(t *rapid.T) {
	m.offered++
	r := request(rapid.ByteRange(1, 3).Draw(t, "caller"), m.offered, model.Priority(rapid.IntRange(0, 3).Draw(t, "priority")), m.now)
	r.Target = rapid.SampledFrom([]time.Duration{0, 50 * time.Millisecond, 400 * time.Millisecond, 10 * time.Second}).Draw(t, "target")
	r.Arrived = m.now.Add(-time.Duration(rapid.IntRange(0, 50).Draw(t, "age")) * time.Millisecond)
	before := m.gate.State().Counts
	switch v := m.gate.Offer(m.now, r); v {
	case VerdictWait:
		m.waiting[r.Key] = r
	case VerdictAdmit:
		m.admitted(t, &r, before)
	case VerdictRefuse:
	default:
		t.Fatalf("verdict %v", v)
	}
}

func (m *gateModel) update(t *rapid.T) {
	m.gate.Update(m.now, Room{
		Slots:  20,
		Work:   rapid.Float64Range(0, 200).Draw(t, "work"),
		Answer: time.Duration(rapid.IntRange(0, 100).Draw(t, "answer")) * time.Millisecond,
		Known:  rapid.IntRange(0, 9).Draw(t, "known") > 0,
	})
	m.drain(t, m.now)
}

func (m *gateModel) pause(t *rapid.T) {
	to := m.now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 2, 5, 10, 20, 50, 100, 300, 4000}).Draw(t, "pause")) * time.Millisecond)
	m.drain(t, to)
	m.now = to
}

func (m *gateModel) cancel(t *rapid.T) {
	for n := range m.offered {
		for caller := range byte(4) {
			key := request(caller, n+1, 0, 0).Key
			if _, waits := m.waiting[key]; !waits {
				continue
			}
			if !m.gate.Cancel(key) {
				t.Fatalf("%v does not wait", key)
			}
			delete(m.waiting, key)
			return
		}
	}
}

// drain calls Next at the instants that NextAt returns.
func (m *gateModel) drain(t *rapid.T, until model.Instant) {
	for range 10_000 {
		at, ok := m.gate.NextAt()
		if !ok || at > until {
			return
		}
		m.now = max(m.now, at)
		before := m.gate.State().Counts
		r, v, ok := m.gate.Next(m.now)
		if !ok {
			continue
		}
		if _, waits := m.waiting[r.Key]; !waits {
			t.Fatalf("verdict %v on %v, which does not wait", v, r.Key)
		}
		delete(m.waiting, r.Key)
		if v == VerdictAdmit {
			m.admitted(t, &r, before)
		}
		if m.now > r.deadline() {
			t.Fatalf("%v waited beyond half of its target", r.Key)
		}
	}
	t.Fatal("NextAt makes no progress")
}

// admitted checks that no request of a higher priority waits that arrived no later, unless the request was admitted from the reserve.
func (m *gateModel) admitted(t *rapid.T, r *Request, before Counts) {
	if m.gate.State().Counts.AdmittedReserve > before.AdmittedReserve {
		return
	}
	displaced := make(map[model.FlowKey]bool)
	for _, d := range m.gate.displaced {
		displaced[d.Key] = true
	}
	for _, other := range m.waiting {
		if other.Priority < r.Priority && other.Arrived <= r.Arrived && !displaced[other.Key] {
			t.Fatalf("%v was admitted before %v", r, other)
		}
	}
}

// check checks the bounds of the queue.
func (m *gateModel) check(t *rapid.T) {
	m.drain(t, m.now)
	if n := m.gate.State().Waiting; n > max(m.gate.config.QueueLimit, 0) || n > len(m.waiting) {
		t.Fatalf("%d wait, of %d", n, len(m.waiting))
	}
	for key, r := range m.waiting {
		if r.deadline() < m.now {
			t.Fatal(fmt.Sprintf("%v has no verdict at its deadline", key))
		}
	}
}
