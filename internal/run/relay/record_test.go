package relay

import (
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"hawthorncourse/internal/base/count"
	"hawthorncourse/internal/base/logs"
	"hawthorncourse/internal/core/direct"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

func benchRelay(limit int) *Relay {
	r := &Relay{cfg: Config{Instance: "east-1", LogsDropped: func() int64 { return 0 }}, log: logs.NewJSON(io.Discard, logrus.InfoLevel), counts: count.New()}
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
