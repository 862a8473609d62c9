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

// TestPlannedChange proves that no planned change breaks a stream or cuts a request.
func TestPlannedChange(t *testing.T) {
	cases := map[string]func(*stage){
		"nothing": func(*stage) {
			time.Sleep(5 * time.Second)
		},
		"upstream leaves": func(s *stage) {
			const id = "ruche-service-3"
			s.awaitVersion(s.leave(id, true), soon)
			s.checkNoNew(id)
		},
		"upstream drains by its own word": func(s *stage) {
			const id = "ruche-service-6"
			s.Node(id).SetDraining(true)
			s.checkNoNew(id)
		},
		"instance stops": func(s *stage) {
			in := s.Instances[1]
			s.Stop(in)
			select {
			case <-in.Exited():
			case <-time.After(startLimit):
				s.t.Error("instance did not end")
			}
			time.Sleep(4 * time.Second)
		},
		"instance joins": func(s *stage) {
			if _, err := s.AddInstance("jambes"); err != nil {
				s.t.Fatal(err)
			}
			time.Sleep(8 * time.Second)
		},
		"keys rotate twice": func(s *stage) {
			for epoch := 2; epoch <= 3; epoch++ {
				s.awaitVersion(s.edit(setEpoch(epoch)), soon)
				time.Sleep(5 * time.Second)
			}
		},
		"platform down while instance stops": func(s *stage) {
			s.Store.SetOutage(stand.OutageUnavailable)
			s.Stop(s.Instances[2])
			time.Sleep(12 * time.Second)
			s.Store.SetOutage(stand.OutageNone)
		},
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStage(t, doubled(fleet.Regie()))
			s.startLoad()
			began := time.Now()
			change(s)
			s.checkUnbroken()
			s.checkUncut(began)
			s.checkPromises()
		})
	}
}

// checkNoNew checks that a leaving upstream gets no new work after a few seconds from now.
func (s *stage) checkNoNew(id string) {
	s.t.Helper()
	began := time.Now()
	time.Sleep(soon + 4*time.Second)
	if late := s.Node(id).Stats().LastArrival; late.After(began.Add(soon)) {
		s.t.Errorf("leaving upstream got new work %s after the change", late.Sub(began))
	}
}

// doubled makes the fabric send a fifth of callers' packets twice.
func doubled(setup fleet.Setup) fleet.Setup {
	setup.Duplicate = 0.2
	return setup
}

// setEpoch returns an edit that asks for new binding keys.
func setEpoch(epoch int) func(change.StoredDocument) ([]byte, error) {
	return func(d change.StoredDocument) ([]byte, error) {
		if bytes.Contains(d.Text, []byte(`"keyEpoch"`)) {
			return bytes.Replace(d.Text, []byte(`"keyEpoch": `+strconv.Itoa(epoch-1)), []byte(`"keyEpoch": `+strconv.Itoa(epoch)), 1), nil
		}
		return bytes.Replace(d.Text, []byte(`"note"`), []byte(`"keyEpoch": `+strconv.Itoa(epoch)+`, "note"`), 1), nil
	}
}
