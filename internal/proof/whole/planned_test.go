package whole

import (
	"bytes"
	"strconv"
	"testing"
	"time"

	"hawthorncourse/internal/bench/fleet"
	"hawthorncourse/internal/oper/change"

	"hawthorncourse/platform/stand"
)

// TestPlannedChange guards against planned changes that break a stream or leave a request without a definite result: draining upstreams, stopping
// and joining instances, and key rotation. It makes each change under load while the fabric duplicates packets.
func TestPlannedChange(t *testing.T) {
	cases := map[string]func(*system){
		"nothing": func(*system) {
			time.Sleep(5 * time.Second)
		},
		"upstream leaves": func(s *system) {
			const id = "ruche-service-3"
			s.awaitVersion(s.setLeaving(id, true), shortLimit)
			s.checkNoNewWork(id)
		},
		"upstream announces draining": func(s *system) {
			const id = "ruche-service-6"
			s.Upstream(id).SetDraining(true)
			s.checkNoNewWork(id)
		},
		"instance stops": func(s *system) {
			in := s.Instances[1]
			s.Stop(in)
			select {
			case <-in.Exited():
			case <-time.After(startTimeout):
				s.t.Error("instance did not exit")
			}
			time.Sleep(4 * time.Second)
		},
		"instance joins": func(s *system) {
			if _, err := s.AddInstance("jambes"); err != nil {
				s.t.Fatal(err)
			}
			time.Sleep(8 * time.Second)
		},
		"keys rotate twice": func(s *system) {
			for epoch := 2; epoch <= 3; epoch++ {
				s.awaitVersion(s.edit(setEpoch(epoch)), shortLimit)
				time.Sleep(5 * time.Second)
			}
		},
		"platform down while instance stops": func(s *system) {
			s.Store.SetOutage(stand.OutageUnavailable)
			s.Stop(s.Instances[2])
			time.Sleep(12 * time.Second)
			s.Store.SetOutage(stand.OutageNone)
		},
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t, withDuplicates(fleet.Regie()))
			s.startLoad()
			start := time.Now()
			change(s)
			s.checkNoStreamBroken()
			s.checkNoBookingLost(start)
			s.checkInvariants()
		})
	}
}

// checkNoNewWork checks that a leaving upstream receives no new work later than a few seconds from now.
func (s *system) checkNoNewWork(id string) {
	s.t.Helper()
	start := time.Now()
	time.Sleep(shortLimit + 4*time.Second)
	if last := s.Upstream(id).Stats().LastArrival; last.After(start.Add(shortLimit)) {
		s.t.Errorf("leaving upstream received new work %s after the change", last.Sub(start))
	}
}

// withDuplicates returns the setup with a fabric that duplicates a fifth of the callers' packets.
func withDuplicates(setup fleet.Setup) fleet.Setup {
	setup.DuplicateRate = 0.2
	return setup
}

// setEpoch returns an edit of the document that sets the key epoch, which requests new binding keys.
func setEpoch(epoch int) func(change.StoredDocument) ([]byte, error) {
	return func(d change.StoredDocument) ([]byte, error) {
		if bytes.Contains(d.Text, []byte(`"keyEpoch"`)) {
			return bytes.Replace(d.Text, []byte(`"keyEpoch": `+strconv.Itoa(epoch-1)), []byte(`"keyEpoch": `+strconv.Itoa(epoch)), 1), nil
		}
		return bytes.Replace(d.Text, []byte(`"note"`), []byte(`"keyEpoch": `+strconv.Itoa(epoch)+`, "note"`), 1), nil
	}
}
