package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/model"
)

const (
	burstStart = 4 * time.Second
	burstEnd   = 12 * time.Second
	// normalLoad is the load before and after a burst, relative to the capacity; a sixth of it is urgent.
	normalLoad = 0.5
)

var simSpeeds = map[string][]float64{
	"equal speeds":   {1},
	"unequal speeds": {0.6, 1, 1.6},
}

var simSeeds = []uint64{1, 2, 3}

// steady returns a load that does not change.
func steady(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

// during returns a load that differs from normal during the burst.
func during(normal, burst float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= burstStart && at < burstEnd {
			return burst
		}
		return normal
	}
}

// simCases runs a test for each number of gates, set of speeds and seed, with reports that arrive 100 ms after they were sampled.
func simCases(t *testing.T, run func(t *testing.T, cfg simConfig)) {
	t.Helper()
	for name, speeds := range simSpeeds {
		for _, gates := range []int{7, 87} {
			for _, seed := range simSeeds {
				t.Run(fmt.Sprintf("%s, %d gates, seed %d", name, gates, seed), func(t *testing.T) {
					t.Parallel()
					run(t, simConfig{gates: gates, speeds: speeds, seed: seed, length: 18 * time.Second,
						delay: 100 * time.Millisecond, calm: time.Second, busy: 250 * time.Millisecond, answer: 1})
				})
			}
		}
	}
}

// Guards against a limit that acts at half of the capacity, where all requests can be served.
func TestCalmLoad(t *testing.T) {
	simCases(t, func(t *testing.T, cfg simConfig) {
		is := is.New(t)
		cfg.ordinary, cfg.urgent = steady(normalLoad*5/6), steady(normalLoad/6)
		s := newSim(cfg)
		for _, m := range s.run() {
			is.Equal(m.waited, 0)
			is.Equal(m.limited, 0)
		}
		is.Equal(s.lastRefusal, model.Instant(-1)) // nothing is refused
	})
}

// Guards against a control loop that oscillates, starves the upstreams, lets their queues grow or refuses urgent requests in a burst of two and four
// times the capacity.
func TestBurst(t *testing.T) {
	for _, load := range []float64{2, 4} {
		for name, urgent := range map[string]float64{"urgent normal": normalLoad / 6, "urgent in proportion": load / 6} {
			t.Run(fmt.Sprintf("%g times the capacity, %s", load, name), func(t *testing.T) {
				simCases(t, func(t *testing.T, cfg simConfig) {
					cfg.ordinary, cfg.urgent = during(normalLoad*5/6, load-urgent), during(normalLoad/6, urgent)
					checkBurst(t, newSim(cfg), 2*time.Second)
				})
			})
		}
	}
}

// Guards against a control loop that depends on the age of reports or on an exact response time: in a burst of four times the capacity, reports that
// arrive 250 ms after they were sampled, no known response time, and one that contains twice the service time of round trips.
func TestBurstWithPoorReports(t *testing.T) {
	tests := map[string]struct {
		delay   time.Duration
		answer  float64
		settled time.Duration
	}{
		"late reports":          {delay: 250 * time.Millisecond, answer: 1, settled: 4 * time.Second},
		"unknown response time": {delay: 100 * time.Millisecond, answer: 0, settled: 3 * time.Second},
		"long round trips":      {delay: 100 * time.Millisecond, answer: 3, settled: 4 * time.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			simCases(t, func(t *testing.T, cfg simConfig) {
				cfg.delay, cfg.answer = tc.delay, tc.answer
				cfg.ordinary, cfg.urgent = during(normalLoad*5/6, 4-normalLoad/6), steady(normalLoad/6)
				checkBurst(t, newSim(cfg), tc.settled)
			})
		})
	}
}

// checkBurst checks the seconds of a burst from settled after its start, and its end.
func checkBurst(t *testing.T, s *sim, settled time.Duration) {
	t.Helper()
	is := is.New(t)
	var admitted, refused int
	seconds := s.run()
	for i := int((burstStart + settled) / time.Second); i < int(burstEnd/time.Second); i++ {
		m := seconds[i]
		t.Logf("second %d: busy %.3f, load %.2f, admitted %v, refused %v, rate %.0f to %.0f", i, m.busy, m.load, m.admitted[1:], m.refused[1:], m.minRate, m.maxRate)
		is.True(m.busy >= 0.85) // upstreams are busy
		is.True(m.load < 3)     // queues of upstreams stay short
		if i >= int((burstStart+settled)/time.Second)+2 {
			is.True(m.maxRate <= 2*m.minRate) // the rate does not oscillate
		}
		admitted += m.admitted[simUrgent]
		refused += m.refused[simUrgent]
	}
	is.True(float64(admitted) >= 0.97*float64(admitted+refused)) // urgent requests are admitted
	after := s.lastRefusal.Sub(model.Instant(burstEnd))
	t.Logf("last refusal %v after the burst", after)
	is.True(after <= 3*time.Second)
}

// Guards against the starvation of ordinary requests while urgent requests alone exceed the capacity by half.
func TestReserveInUrgentOverload(t *testing.T) {
	simCases(t, func(t *testing.T, cfg simConfig) {
		is := is.New(t)
		cfg.ordinary, cfg.urgent = during(normalLoad*5/6, 1), during(normalLoad/6, 1.5)
		s := newSim(cfg)
		for i, m := range s.run() {
			if i < 6 || i >= 12 {
				continue
			}
			t.Logf("second %d: busy %.3f, load %.2f, admitted %v", i, m.busy, m.load, m.admitted[1:])
			share := float64(m.admitted[simOrdinary]) / float64(m.admitted[simOrdinary]+m.admitted[simUrgent])
			is.True(share >= 0.09)  // ordinary requests get the reserve
			is.True(share <= 0.15)  // and urgent requests the rest
			is.True(m.busy >= 0.85) // upstreams are busy
			is.True(m.load < 3)     // queues of upstreams stay short
		}
	})
}

// Guards against a limit that stays at the old capacity when the upstreams lose two fifths of their speed in a burst of four times the capacity, or
// get it back.
func TestCapacityChanges(t *testing.T) {
	simCases(t, func(t *testing.T, cfg simConfig) {
		is := is.New(t)
		cfg.length = 24 * time.Second
		cfg.ordinary, cfg.urgent = steady(4-normalLoad/6), steady(normalLoad/6)
		cfg.speed = func(at time.Duration) float64 {
			if at >= 8*time.Second && at < 16*time.Second {
				return 0.6
			}
			return 1
		}
		s := newSim(cfg)
		for i, m := range s.run() {
			if i < 4 || i >= 8 && i < 11 || i >= 16 && i < 19 {
				continue // The gates follow within 3 s.
			}
			t.Logf("second %d: busy %.3f, load %.2f, admitted %v, rate %.0f to %.0f", i, m.busy, m.load, m.admitted[1:], m.minRate, m.maxRate)
			is.True(m.busy >= 0.85) // upstreams are busy
			is.True(m.load < 3)     // queues of upstreams stay short
		}
	})
}

// Guards against queues at upstreams that are longer than a short target permits.
func TestFullLoadForTarget(t *testing.T) {
	tests := map[string]struct {
		target, service time.Duration
		want            float64
	}{
		"no target":             {service: 24 * time.Millisecond, want: 2},
		"no response time":      {target: 20 * time.Millisecond, want: 2},
		"long target":           {target: 400 * time.Millisecond, service: 24 * time.Millisecond, want: 3},
		"quarter is a response": {target: 96 * time.Millisecond, service: 24 * time.Millisecond, want: 2},
		"short target":          {target: 48 * time.Millisecond, service: 24 * time.Millisecond, want: 1.5},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(fullLoadFor(tc.target, tc.service), tc.want)
		})
	}
}
