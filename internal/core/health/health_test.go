package health_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/health"
	"hawthorncourse/internal/core/model"
)

func at(ms int) model.Instant {
	return model.Instant(time.Duration(ms) * time.Millisecond)
}

// TestTracker checks the state of an upstream after sequences of successes, timeouts and probes.
func TestTracker(t *testing.T) {
	cases := map[string]struct {
		steps   func(*health.Tracker)
		ejected bool
		// dead is the result of Dead at 1100 ms.
		dead, full bool
	}{
		"zero value": {steps: func(*health.Tracker) {}},
		"one timeout": {
			steps: func(tr *health.Tracker) { tr.RecordTimeout(at(10)) },
		},
		"two consecutive timeouts": {
			steps:   func(tr *health.Tracker) { tr.RecordTimeout(at(10)); tr.RecordTimeout(at(20)) },
			ejected: true,
		},
		"success between two timeouts": {
			steps: func(tr *health.Tracker) { tr.RecordTimeout(at(10)); tr.RecordSuccess(at(15)); tr.RecordTimeout(at(20)) },
		},
		"timeouts of packets sent before the last success": {
			steps: func(tr *health.Tracker) { tr.RecordSuccess(at(30)); tr.RecordTimeout(at(10)); tr.RecordTimeout(at(20)) },
		},
		"timeouts of requests sent together with the last packet of the handshake": {
			steps:   func(tr *health.Tracker) { tr.RecordSuccess(at(30)); tr.RecordTimeout(at(30)); tr.RecordTimeout(at(30)) },
			ejected: true,
		},
		"timeout and one failed probe": {
			steps: func(tr *health.Tracker) {
				tr.RecordTimeout(at(10))
				tr.StartProbe(at(11))
				tr.FinishProbe(at(111), health.OutcomeFailed)
			},
			ejected: true,
		},
		"timeout and two failed probes": {
			steps: func(tr *health.Tracker) {
				tr.RecordTimeout(at(10))
				tr.StartProbe(at(11))
				tr.FinishProbe(at(111), health.OutcomeFailed)
				tr.StartProbe(at(311))
				tr.FinishProbe(at(411), health.OutcomeFailed)
			},
			ejected: true,
		},
		"timeout and three failed probes": {
			steps: func(tr *health.Tracker) {
				tr.RecordTimeout(at(10))
				for ms := 11; ms < 1000; ms += 300 {
					tr.StartProbe(at(ms))
					tr.FinishProbe(at(ms+100), health.OutcomeFailed)
				}
			},
			ejected: true, dead: true,
		},
		"timeout and an inconclusive probe": {
			steps: func(tr *health.Tracker) {
				tr.RecordTimeout(at(10))
				tr.StartProbe(at(11))
				tr.FinishProbe(at(111), health.OutcomeInconclusive)
			},
		},
		"answered probe after two failed ones": {
			steps: func(tr *health.Tracker) {
				tr.RecordTimeout(at(10))
				tr.StartProbe(at(11))
				tr.FinishProbe(at(111), health.OutcomeFailed)
				tr.FinishProbe(at(411), health.OutcomeFailed)
				tr.FinishProbe(at(900), health.OutcomeAnswered)
			},
		},
		"a full upstream": {
			steps: func(tr *health.Tracker) {
				tr.RecordTimeout(at(10))
				tr.StartProbe(at(11))
				tr.FinishProbe(at(12), health.OutcomeFull)
			},
			ejected: true, full: true,
		},
		"a full upstream after two failed probes, and one failed probe since": {
			steps: func(tr *health.Tracker) {
				tr.RecordTimeout(at(10))
				for n, outcome := range []health.Outcome{health.OutcomeFailed, health.OutcomeFailed, health.OutcomeFull, health.OutcomeFailed} {
					tr.StartProbe(at(200 * n))
					tr.FinishProbe(at(200*n+100), outcome)
				}
			},
			ejected: true,
		},
		"a full upstream that serves open flows": {
			steps: func(tr *health.Tracker) {
				tr.RecordTimeout(at(10))
				tr.StartProbe(at(11))
				tr.FinishProbe(at(12), health.OutcomeFull)
				tr.RecordSuccess(at(500))
			},
			ejected: true, full: true,
		},
		"a full upstream that answers a SYN": {
			steps: func(tr *health.Tracker) {
				tr.RecordTimeout(at(10))
				tr.StartProbe(at(11))
				tr.FinishProbe(at(12), health.OutcomeFull)
				tr.RecordHandshake(at(500))
			},
		},
		"a full upstream that answers a probe": {
			steps: func(tr *health.Tracker) {
				tr.RecordTimeout(at(10))
				tr.StartProbe(at(11))
				tr.FinishProbe(at(12), health.OutcomeFull)
				tr.StartProbe(at(500))
				tr.FinishProbe(at(501), health.OutcomeAnswered)
			},
		},
		"a full upstream that ends": {
			steps: func(tr *health.Tracker) {
				tr.RecordTimeout(at(10))
				for n := range 20 {
					tr.StartProbe(at(10 + n))
					tr.FinishProbe(at(10+n), health.OutcomeFull)
				}
				for ms := 100; ms < 1000; ms += 300 {
					tr.StartProbe(at(ms))
					tr.FinishProbe(at(ms+100), health.OutcomeFailed)
				}
			},
			ejected: true, dead: true,
		},
		"success during a probe that fails": {
			steps: func(tr *health.Tracker) {
				tr.RecordTimeout(at(10))
				tr.StartProbe(at(11))
				tr.RecordSuccess(at(50))
				tr.FinishProbe(at(111), health.OutcomeFailed)
			},
		},
		"success and a timeout during a probe that fails": {
			steps: func(tr *health.Tracker) {
				tr.RecordTimeout(at(10))
				tr.StartProbe(at(11))
				tr.RecordSuccess(at(50))
				tr.RecordTimeout(at(60))
				tr.FinishProbe(at(111), health.OutcomeFailed)
			},
		},
		"success before a probe that fails": {
			steps: func(tr *health.Tracker) {
				tr.RecordSuccess(at(5))
				tr.RecordTimeout(at(5))
				tr.StartProbe(at(5))
				tr.FinishProbe(at(111), health.OutcomeFailed)
			},
			ejected: true,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var tr health.Tracker
			tc.steps(&tr)
			is.Equal(tr.Ejected(), tc.ejected)
			is.Equal(tr.Dead(at(1100)), tc.dead)
			is.Equal(tr.Full(), tc.full)
		})
	}
}

// TestVerdictAge checks how long failed probes count for open flows: while the next probe may still fail, and not after that.
func TestVerdictAge(t *testing.T) {
	const recent, old = 1100, 1300
	cases := map[string]struct {
		steps func(*health.Tracker)
		// recent and old are the results of Dead 1100 and 1300 ms after the third failed probe, whose interval is 200 ms.
		recent, old bool
	}{
		"no probe since":             {steps: func(*health.Tracker) {}, recent: true},
		"a probe that has not ended": {steps: func(tr *health.Tracker) { tr.StartProbe(at(1900)) }, recent: true},
		"an inconclusive probe": {
			steps: func(tr *health.Tracker) {
				tr.StartProbe(at(1900))
				tr.FinishProbe(at(2000), health.OutcomeInconclusive)
			},
			recent: true,
		},
		"another failed probe": {
			steps:  func(tr *health.Tracker) { tr.StartProbe(at(1900)); tr.FinishProbe(at(2000), health.OutcomeFailed) },
			recent: true, old: true,
		},
		"an answered probe": {
			steps: func(tr *health.Tracker) { tr.StartProbe(at(1900)); tr.FinishProbe(at(2000), health.OutcomeAnswered) },
		},
		"an answer in a flow":     {steps: func(tr *health.Tracker) { tr.RecordSuccess(at(2000)) }},
		"an answer in the domain": {steps: func(tr *health.Tracker) { tr.ExpediteProbe(at(2000)) }},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var tr health.Tracker
			tr.RecordTimeout(at(10))
			for _, ms := range []int{500, 700, 1000} {
				is.True(tr.StartProbe(at(ms - 100)))
				tr.FinishProbe(at(ms), health.OutcomeFailed)
			}
			tc.steps(&tr)
			is.Equal(tr.Dead(at(1000+recent)), tc.recent)
			is.Equal(tr.Dead(at(1000+old)), tc.old)
		})
	}
}

// TestProbeBackoff checks that the interval between probes grows to its maximum if an upstream answers probes but no flows.
func TestProbeBackoff(t *testing.T) {
	is := is.New(t)
	var tr health.Tracker
	var gaps []time.Duration
	last := model.Instant(0)
	for ms := 0; ms < 5000; ms++ {
		if tr.Timeouts() == 0 {
			tr.RecordTimeout(at(ms))
		}
		if tr.StartProbe(at(ms)) {
			gaps = append(gaps, at(ms).Sub(last))
			last = at(ms)
			tr.FinishProbe(at(ms), health.OutcomeAnswered)
		}
	}
	is.Equal(gaps[:5], []time.Duration{0, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond})
	is.Equal(gaps[len(gaps)-1], time.Second)
}

// TestProbesOfEndedFullUpstream checks that a full upstream that ends is proved dead as soon as any other, although its earlier probes have raised the
// interval to its maximum.
func TestProbesOfEndedFullUpstream(t *testing.T) {
	const ended = 5000
	is := is.New(t)
	var tr health.Tracker
	tr.RecordTimeout(at(0))
	var probe, deadAt int
	for ms := 0; deadAt == 0 && ms < 2*ended; ms++ {
		switch {
		case tr.StartProbe(at(ms)):
			probe = ms
			if ms < ended {
				tr.FinishProbe(at(ms), health.OutcomeFull)
			}
		case ms >= ended && ms == probe+int(tr.ProbeTimeout().Milliseconds()):
			tr.FinishProbe(at(ms), health.OutcomeFailed)
		}
		if tr.Dead(at(ms)) {
			deadAt = ms
		}
	}
	// The first probe after the end comes within a second; three probes with the intervals between them take half a second.
	is.True(deadAt != 0)
	is.True(deadAt <= ended+1500)
}

// TestDomainTracker checks whether a failure domain is considered partitioned after sequences of successes and failed probes.
func TestDomainTracker(t *testing.T) {
	cases := map[string]struct {
		steps       func(*health.DomainTracker)
		partitioned bool
	}{
		"one upstream fails": {
			steps: func(d *health.DomainTracker) {
				d.RecordProbeFailure(at(1000), "a")
				d.RecordProbeFailure(at(1300), "a")
			},
		},
		"two upstreams fail and none answers": {
			steps: func(d *health.DomainTracker) {
				d.RecordProbeFailure(at(1000), "a")
				d.RecordProbeFailure(at(1010), "b")
			},
			partitioned: true,
		},
		// At one large site, 27 upstreams failed simultaneously in three domains of 50 upstreams.
		"many upstreams fail simultaneously while others answer": {
			steps: func(d *health.DomainTracker) {
				for ms := 1000; ms < 2000; ms += 20 {
					d.RecordSuccess(at(ms))
					d.RecordProbeFailure(at(ms+5), "a")
					d.RecordProbeFailure(at(ms+6), "b")
					d.RecordProbeFailure(at(ms+7), "c")
				}
			},
		},
		"success after a partition": {
			steps: func(d *health.DomainTracker) {
				d.RecordProbeFailure(at(1000), "a")
				d.RecordProbeFailure(at(1010), "b")
				d.RecordSuccess(at(2000))
			},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var d health.DomainTracker
			tc.steps(&d)
			is.Equal(d.Partitioned(), tc.partitioned)
		})
	}
}
