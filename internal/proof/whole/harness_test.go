// Package whole tests the system end to end: entry instances run as separate processes, with fault proxies on the links between them, the
// upstreams and the platform. The upstreams, the callers, the fabric and the platform's store are fakes.
package whole

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"hawthorncourse/internal/bench/build"
	"hawthorncourse/internal/bench/drive"
	"hawthorncourse/internal/bench/fleet"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/oper/change"
	"hawthorncourse/internal/stand/upnode"
)

const (
	seed         = 1
	startTimeout = 30 * time.Second
	// shortLimit is the bound for what the users want "within seconds" or within "a few seconds".
	shortLimit = 5 * time.Second
)

var binary string

func TestMain(m *testing.M) {
	os.Exit(build.WithProgram(func(path string) int {
		binary = path
		return m.Run()
	}))
}

// system is a running fleet with its load and the fault proxies on its links.
type system struct {
	*fleet.Fleet
	t    *testing.T
	net  *faultNetwork
	load *drive.Load
}

// newSystem starts a fleet behind fault proxies and waits until its upstreams are warm; it stops the fleet when the test ends.
func newSystem(t *testing.T, setup fleet.Setup) *system {
	t.Helper()
	dir := t.TempDir()
	n := newFaultNetwork(t)
	f, err := fleet.Start(context.Background(), fleet.Config{Setup: setup, Binary: binary, Dir: dir, Interposer: n.wire, Seed: seed})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d", seed)
	t.Cleanup(func() {
		f.Close()
		n.close()
		if t.Failed() {
			printLogs(t, f, dir)
		}
	})
	n.register(f)
	s := &system{Fleet: f, t: t, net: n}
	s.awaitVersion(1, startTimeout)
	s.awaitWarm(setup)
	return s
}

// printLogs writes the logs of all instances to the test's log.
func printLogs(t *testing.T, f *fleet.Fleet, dir string) {
	for _, in := range f.Instances {
		log, _ := os.ReadFile(filepath.Join(dir, string(in.ID)+".log"))
		t.Logf("%s:\n%s", in.ID, log)
	}
}

// awaitVersion waits until the version of the document is active at every instance, and fails the test if that takes longer than the limit.
func (s *system) awaitVersion(v model.Version, limit time.Duration) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := s.AwaitVersion(ctx, v); err != nil {
		s.t.Fatal(err)
	}
}

// awaitWarm waits until all upstreams are warm. Before the first responses of health checks, only their cold-start capacity is usable.
func (s *system) awaitWarm(setup fleet.Setup) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	want := 0
	for _, svc := range setup.Services {
		want += svc.Upstreams
	}
	if err := s.AwaitUsableSlots(ctx, want); err != nil {
		s.t.Fatal(err)
	}
}

// edit changes the document and returns the new version once the platform has accepted it.
func (s *system) edit(edit func(change.StoredDocument) ([]byte, error)) model.Version {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	v, err := s.Edit(ctx, edit)
	if err != nil {
		s.t.Fatal(err)
	}
	return v
}

// setLeaving sets whether the document marks the upstream as leaving.
func (s *system) setLeaving(id string, leaving bool) model.Version {
	return s.edit(func(d change.StoredDocument) ([]byte, error) {
		return change.SetUpstreamLeaving(d, model.UpstreamID(id), leaving, "")
	})
}

// setDomainOut sets whether the document takes the failure domain out of service.
func (s *system) setDomainOut(id model.DomainID, out bool) {
	s.edit(func(d change.StoredDocument) ([]byte, error) { return change.SetDomainOut(d, id, out, "") })
}

// restart kills the upstream and starts it cold after the downtime.
func (s *system) restart(name string, downtime time.Duration) {
	s.Upstream(name).Kill()
	time.Sleep(downtime)
	s.Upstream(name).Restart()
}

// stats returns what every upstream has recorded, by upstream name.
func (s *system) stats() map[string]upnode.Stats {
	out := map[string]upnode.Stats{}
	for _, n := range s.Upstreams {
		out[n.Name()] = n.Stats()
	}
	return out
}
