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
