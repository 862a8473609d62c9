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

// TestTrack replays what one instance sees of one upstream.
func TestTrack(t *testing.T) {
	cases := map[string]struct {
		play   func(*health.Tracker)
		barred bool
		// likely and certain are for flows that wait themselves and for all.
		likely, certain bool
	}{
		"nothing is known": {play: func(*health.Tracker) {}},
		"one packet is lost": {
			play: func(k *health.Tracker) { k.RecordTimeout(at(10)) },
		},
		"two packets in a row are lost": {
			play:   func(k *health.Tracker) { k.RecordTimeout(at(10)); k.RecordTimeout(at(20)) },
			barred: true,
		},
		"a sign of life between two lost packets": {
			play: func(k *health.Tracker) { k.RecordTimeout(at(10)); k.RecordSuccess(at(15)); k.RecordTimeout(at(20)) },
		},
		"a packet sent before the last sign of life says nothing": {
			play: func(k *health.Tracker) { k.RecordSuccess(at(30)); k.RecordTimeout(at(10)); k.RecordTimeout(at(20)) },
		},
		"a request that leaves with the confirmation of a handshake counts": {
			play:   func(k *health.Tracker) { k.RecordSuccess(at(30)); k.RecordTimeout(at(30)); k.RecordTimeout(at(30)) },
			barred: true,
		},
		"one probe fails after a lost packet": {
			play: func(k *health.Tracker) {
				k.RecordTimeout(at(10))
				k.StartProbe(at(11))
				k.FinishProbe(at(111), health.OutcomeFailed)
			},
			barred: true,
		},
		"two probes fail after a lost packet": {
			play: func(k *health.Tracker) {
				k.RecordTimeout(at(10))
				k.StartProbe(at(11))
				k.FinishProbe(at(111), health.OutcomeFailed)
				k.StartProbe(at(311))
				k.FinishProbe(at(411), health.OutcomeFailed)
			},
			barred: true, likely: true,
		},
		"three probes fail after a lost packet": {
			play: func(k *health.Tracker) {
				k.RecordTimeout(at(10))
				for ms := 11; ms < 1000; ms += 300 {
					k.StartProbe(at(ms))
					k.FinishProbe(at(ms+100), health.OutcomeFailed)
				}
			},
			barred: true, likely: true, certain: true,
		},
		"a probe that fails while this instance stands still": {
			play: func(k *health.Tracker) {
				k.RecordTimeout(at(10))
				k.StartProbe(at(11))
				k.FinishProbe(at(111), health.OutcomeInconclusive)
			},
		},
		"a probe that is answered after two failed": {
			play: func(k *health.Tracker) {
				k.RecordTimeout(at(10))
				k.StartProbe(at(11))
				k.FinishProbe(at(111), health.OutcomeFailed)
				k.FinishProbe(at(411), health.OutcomeFailed)
				k.FinishProbe(at(900), health.OutcomeAnswered)
			},
		},
		"a sign of life while a probe that will fail is under way": {
			play: func(k *health.Tracker) {
				k.RecordTimeout(at(10))
				k.StartProbe(at(11))
				k.RecordSuccess(at(50))
				k.FinishProbe(at(111), health.OutcomeFailed)
			},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var k health.Tracker
			tc.play(&k)
			is.Equal(k.Ejected(), tc.barred)
			is.Equal(k.Unreachable(true), tc.likely)
			is.Equal(k.Unreachable(false), tc.certain)
		})
	}
}

// TestProbePace checks that an upstream that accepts connections but serves no flow is probed less and less.
func TestProbePace(t *testing.T) {
	is := is.New(t)
	var k health.Tracker
	var gaps []time.Duration
	last := model.Instant(0)
	for ms := 0; ms < 5000; ms++ {
		if k.Timeouts() == 0 {
			k.RecordTimeout(at(ms))
		}
		if k.StartProbe(at(ms)) {
			gaps = append(gaps, at(ms).Sub(last))
			last = at(ms)
			k.FinishProbe(at(ms), health.OutcomeAnswered)
		}
	}
	is.Equal(gaps[:5], []time.Duration{0, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond})
	is.Equal(gaps[len(gaps)-1], time.Second)
}

// TestDomain replays what one instance sees of the upstreams of one failure domain.
func TestDomain(t *testing.T) {
	cases := map[string]struct {
		play func(*health.DomainTracker)
		cut  bool
	}{
		"one upstream died": {
			play: func(d *health.DomainTracker) {
				d.RecordProbeFailure(at(1000), "a")
				d.RecordProbeFailure(at(1300), "a")
			},
		},
		"two upstreams fail and none lives": {
			play: func(d *health.DomainTracker) {
				d.RecordProbeFailure(at(1000), "a")
				d.RecordProbeFailure(at(1010), "b")
			},
			cut: true,
		},
		// On a grown site 27 upstreams died at once in three domains of 50.
		"many died at once while others of the domain live": {
			play: func(d *health.DomainTracker) {
				for ms := 1000; ms < 2000; ms += 20 {
					d.RecordSuccess(at(ms))
					d.RecordProbeFailure(at(ms+5), "a")
					d.RecordProbeFailure(at(ms+6), "b")
					d.RecordProbeFailure(at(ms+7), "c")
				}
			},
		},
		"the path is back": {
			play: func(d *health.DomainTracker) {
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
			tc.play(&d)
			is.Equal(d.Partitioned(), tc.cut)
		})
	}
}
