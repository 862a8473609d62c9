// Package whole proves the system by entry processes that run as programs, with faults between them.
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
	seed       = 1
	startLimit = 30 * time.Second
	// soon is what "within seconds" and "a few seconds" mean.
	soon = 5 * time.Second
)

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "hawthorncourse")
	if err != nil {
		panic(err)
	}
	if binary, err = build.Program(context.Background(), dir); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// stage is a running fleet with its load and the faults between its parts.
type stage struct {
	*fleet.Fleet
	t    *testing.T
	net  *faultNet
	load *drive.Load
}

// newStage starts a fleet that is warm, with faults to bring about, until the test ends.
func newStage(t *testing.T, setup fleet.Setup) *stage {
	t.Helper()
	dir := t.TempDir()
	n := newFaultNet(t)
	f, err := fleet.Start(context.Background(), fleet.Config{Setup: setup, Binary: binary, Dir: dir, Wiring: n.wire, Seed: seed})
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
	n.attach(f)
	s := &stage{Fleet: f, t: t, net: n}
	s.awaitVersion(1, startLimit)
	s.awaitWarm(setup)
	return s
}

func printLogs(t *testing.T, f *fleet.Fleet, dir string) {
	for _, in := range f.Instances {
		log, _ := os.ReadFile(filepath.Join(dir, string(in.ID)+".log"))
		t.Logf("%s:\n%s", in.ID, log)
	}
}

func (s *stage) awaitVersion(v model.Version, limit time.Duration) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := s.AwaitVersion(ctx, v); err != nil {
		s.t.Fatal(err)
	}
}

// awaitWarm waits until the units are usable; what is usable before the first answers is the cold allowance.
func (s *stage) awaitWarm(setup fleet.Setup) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	want := 0
	for _, svc := range setup.Services {
		want += svc.Upstreams
	}
	if err := s.AwaitWarm(ctx, want); err != nil {
		s.t.Fatal(err)
	}
}

// edit changes the document and returns when the change is accepted.
func (s *stage) edit(edit func(change.StoredDocument) ([]byte, error)) model.Version {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	v, err := s.Edit(ctx, edit)
	if err != nil {
		s.t.Fatal(err)
	}
	return v
}

// leave changes whether the upstream is leaving.
func (s *stage) leave(id string, leaving bool) model.Version {
	return s.edit(func(d change.StoredDocument) ([]byte, error) {
		return change.SetUpstreamLeaving(d, model.UpstreamID(id), leaving, "")
	})
}

// out changes whether the failure domain is taken out.
func (s *stage) out(id model.DomainID, out bool) {
	s.edit(func(d change.StoredDocument) ([]byte, error) { return change.SetDomainOut(d, id, out, "") })
}

// restart makes the upstream silent for a while and starts it cold.
func (s *stage) restart(name string, silent time.Duration) {
	s.Node(name).Kill()
	time.Sleep(silent)
	s.Node(name).Restart()
}

// journals returns what every upstream has seen, by name.
func (s *stage) journals() map[string]upnode.Stats {
	out := map[string]upnode.Stats{}
	for _, n := range s.Nodes {
		out[n.Name()] = n.Stats()
	}
	return out
}
