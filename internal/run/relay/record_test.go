package relay

import (
	"bytes"
	"encoding/json"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"hawthorncourse/internal/base/count"
	"hawthorncourse/internal/base/logs"
	"hawthorncourse/internal/core/direct"
	"hawthorncourse/internal/core/egress"
	"hawthorncourse/internal/core/health"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
	"hawthorncourse/internal/load/gauge"
)

func benchRelay(limit int) *Relay {
	r := &Relay{
		cfg: Config{Instance: "east-1", LogsDropped: func() int64 { return 0 }}, log: logs.NewJSON(io.Discard, logrus.InfoLevel),
		counts: count.New(), egress: egress.New[outgoing](0),
	}
	r.recorder = recorder{log: r.logger("flow"), decisions: logs.Limiter{Limit: limit}}
	return r
}

// BenchmarkRecord logs the assignment of a flow, within the rate limit and beyond it.
func BenchmarkRecord(b *testing.B) {
	action := direct.Action{
		Verb: model.VerbForward, Attempt: 1, Candidates: 14, Upstream: &roster.Upstream{State: roster.StateListed, Tag: 7},
		Flow: model.FlowKey{Caller: netip.MustParseAddrPort("100.64.0.7:40001"), Service: netip.MustParseAddrPort("198.18.0.1:443")},
	}
	for name, limit := range map[string]int{"written": 1 << 40, "left out": 0} {
		b.Run(name, func(b *testing.B) {
			r := benchRelay(limit)
			b.ReportAllocs()
			for b.Loop() {
				r.record(model.Instant(time.Millisecond), &action)
			}
		})
	}
}

// TestRecordReset checks that the log line of a reset holds what speaks for and against the upstream.
func TestRecordReset(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	r := benchRelay(1)
	r.log = logs.NewJSON(&out, logrus.InfoLevel)
	r.recorder.log = r.logger("flow")
	u := &roster.Upstream{State: roster.StateListed, Tag: 7}
	second := model.Instant(time.Second)
	u.Health.RecordSuccess(second)
	u.Health.RecordTimeout(2 * second)
	u.Health.StartProbe(2 * second)
	u.Health.FinishProbe(3*second, health.OutcomeFailed)
	r.record(5*second, &direct.Action{Verb: model.VerbReset, Reason: model.ReasonUpstreamUnreachable, Upstream: u})
	var line map[string]any
	is.NoErr(json.Unmarshal(out.Bytes(), &line))
	for field, want := range map[string]any{"failedProbes": 1.0, "probeAgeMs": 2000.0, "answerAgeMs": 4000.0, "replaced": false} {
		is.Equal(line[field], want)
	}
}

// TestRecordAdmission checks that the log lines of a flow that a full service keeps out, and of the beginning of the limit, hold what it was based on.
func TestRecordAdmission(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	r := benchRelay(1 << 20)
	r.log = logs.NewJSON(&out, logrus.InfoLevel)
	r.recorder.log, r.recorder.limited = r.logger("flow"), map[model.ServiceID]bool{}
	r.engine = direct.New(direct.Config{Domain: "east", Seed: 1, Limits: direct.Limits{FlowLife: time.Minute}})
	address, now := netip.MustParseAddrPort("198.18.0.1:443"), model.Instant(time.Minute)
	r.engine.SetRoutes(model.RouteTable{Version: 1, Revision: 1, Routes: []model.Route{
		{Name: "feed", Address: address, Target: time.Second, Priority: 2, Targets: []model.Target{{Service: "desk", Weight: 1}}},
	}})
	r.engine.Roster().Sync(now, model.Listing[model.Registration]{Items: []model.Registration{
		{ID: "i-1", Number: 1, Revision: 1, Service: "desk", Domain: "east", Boot: 1, Slots: 2, Address: netip.MustParseAddrPort("10.0.0.1:80")},
	}})
	r.engine.SetReady(now)
	refused := false
	for port := uint16(1); port < 200; port++ {
		syn := model.Segment{Flow: model.FlowKey{Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), port), Service: address}, Syn: true, Raw: []byte{1}}
		for _, a := range r.engine.Packet(now, &syn) {
			if a.Reason == model.ReasonOverloaded && !refused {
				r.record(now.Add(50*time.Millisecond), &a)
				refused = true
			}
		}
		if port == 1 {
			r.engine.Roster().Get("i-1").Gauge.Report(now, gauge.Report{Running: 2, Queued: 8, Slots: 2})
			r.engine.UpdateLoads(now)
			r.updateAdmission()
		}
	}
	is.True(refused)
	lines := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
	is.Equal(len(lines), 2)
	for n, want := range []map[string]any{
		{"service": "desk", "limited": true, "load": 5.0, "fullLoad": 2.0},
		{"reason": "overloaded", "priority": 2.0, "load": 5.0, "fullLoad": 2.0, "loadAgeMs": 50.0},
	} {
		var line map[string]any
		is.NoErr(json.Unmarshal(lines[n], &line))
		for field, value := range want {
			is.Equal(line[field], value)
		}
	}
}
