package whole

import (
	"testing"
	"time"

	"hawthorncourse/internal/bench/fleet"
	"hawthorncourse/internal/stand/caller"
	"hawthorncourse/internal/stand/upnode"

	"hawthorncourse/platform/stand"
)

// TestFault guards against violations of the invariants under a single fault or two that overlap: killed, paused and joining instances, cold
// restarts of upstreams, false load reports, network faults and platform outages. Bookings must succeed again after each.
func TestFault(t *testing.T) {
	cases := map[string]func(*system){
		"instance killed": func(s *system) {
			s.Kill(s.Instances[0])
			time.Sleep(8 * time.Second)
		},
		"instance killed and replaced": func(s *system) {
			s.Kill(s.Instances[3])
			time.Sleep(2 * time.Second)
			if err := s.Restart(s.Instances[3]); err != nil {
				s.t.Fatal(err)
			}
			time.Sleep(8 * time.Second)
		},
		"instance paused past its bindings and resumed": func(s *system) {
			in := s.Instances[4]
			in.Pause()
			time.Sleep(10 * time.Second)
			in.Resume()
			time.Sleep(6 * time.Second)
		},
		"upstream restarted cold without warning": func(s *system) {
			s.restart("ruche-service-2", 2*time.Second)
			time.Sleep(8 * time.Second)
		},
		"upstream restarted while an instance is killed": func(s *system) {
			s.Upstream("ruche-service-2").Kill()
			s.Kill(s.Instances[1])
			time.Sleep(2 * time.Second)
			s.Upstream("ruche-service-2").Restart()
			time.Sleep(8 * time.Second)
		},
		"upstream restarted while an instance joins": func(s *system) {
			s.Upstream("inspection-depot-2").Kill()
			time.Sleep(time.Second)
			if _, err := s.AddInstance("jambes"); err != nil {
				s.t.Fatal(err)
			}
			time.Sleep(time.Second)
			s.Upstream("inspection-depot-2").Restart()
			time.Sleep(8 * time.Second)
		},
		"upstream sheds everything": func(s *system) {
			s.Upstream("ruche-service-4").SetShedding(true)
			time.Sleep(5 * time.Second)
			s.Upstream("ruche-service-4").SetShedding(false)
			time.Sleep(2 * time.Second)
		},
		"load reports are false": func(s *system) {
			s.Upstream("ruche-service-1").OverrideHealth(&upnode.HealthReport{State: "warm", Connections: 0})
			s.Upstream("ruche-service-5").OverrideHealth(&upnode.HealthReport{State: "warm", Connections: 1 << 20})
			s.restart("ruche-service-1", 2*time.Second)
			time.Sleep(8 * time.Second)
		},
		"datagrams lost, duplicated, delayed and reordered": func(s *system) {
			s.net.setDatagramFaults(datagramFaults{dropRate: 0.02, duplicateRate: 0.02, delayRate: 0.2, maxDelay: 300 * time.Millisecond})
			time.Sleep(10 * time.Second)
			s.net.setDatagramFaults(datagramFaults{})
			time.Sleep(2 * time.Second)
		},
		"domains partitioned from each other": func(s *system) {
			s.net.partition("jambes", "namur-ville")
			s.net.partition("jambes", "gembloux")
			time.Sleep(10 * time.Second)
			s.net.heal()
			time.Sleep(8 * time.Second)
		},
		"domain partitioned from everything while an upstream restarts": func(s *system) {
			s.net.partition("jambes", "namur-ville")
			s.net.partition("jambes", "gembloux")
			s.net.partition("jambes", "platform")
			s.restart("ruche-service-2", 2*time.Second)
			time.Sleep(6 * time.Second)
			s.net.heal()
			time.Sleep(8 * time.Second)
		},
		"platform down for a minute and slow": func(s *system) {
			s.Store.SetOutage(stand.OutageUnavailable)
			time.Sleep(time.Minute)
			s.Store.SetOutage(stand.OutageNone)
			s.Store.SetDelay(2 * time.Second)
			time.Sleep(4 * time.Second)
			s.Store.SetDelay(0)
		},
		"instance joins during an outage of the platform": func(s *system) {
			s.Store.SetOutage(stand.OutageUnavailable)
			s.Kill(s.Instances[6])
			time.Sleep(time.Second)
			if err := s.Restart(s.Instances[6]); err != nil {
				s.t.Fatal(err)
			}
			time.Sleep(8 * time.Second)
			s.Store.SetOutage(stand.OutageNone)
		},
	}
	for name, inject := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t, withDuplicates(fleet.Regie()))
			s.startLoad()
			inject(s)
			healed := time.Now()
			time.Sleep(4 * time.Second)
			if out := s.load.Bookings(healed); out[caller.OutcomeDone] == 0 {
				t.Errorf("no booking succeeded after the fault: %v", out)
			}
			s.checkInvariants()
		})
	}
}
