package whole

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/bench/fleet"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/oper/change"
	"hawthorncourse/internal/plat/object"
)

// awaitExactly waits until every instance uses the version of the document, no earlier and no later one.
func (s *system) awaitExactly(v model.Version, limit time.Duration) {
	s.t.Helper()
	deadline := time.Now().Add(limit)
	for _, in := range s.Instances {
		for {
			report, err := in.Status(context.Background())
			if err == nil && report.Document == uint64(v) {
				break
			}
			if time.Now().After(deadline) {
				s.t.Fatalf("instance %s uses version %d of the document instead of %d (error: %v)", in.ID, report.Document, v, err)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// setLeavingUntilAccepted is setLeaving, repeated while other writers change the document.
func (s *system) setLeavingUntilAccepted(id string, leaving bool) model.Version {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	for {
		v, err := s.Edit(ctx, func(d change.StoredDocument) ([]byte, error) {
			return change.SetUpstreamLeaving(d, model.UpstreamID(id), leaving, "")
		})
		var conflict *change.ConflictError
		if errors.As(err, &conflict) {
			continue
		}
		if err != nil {
			s.t.Fatal(err)
		}
		return v
	}
}

// TestLostChange checks that accepted changes that a restore of the store loses stay in force, and that the store holds them again within seconds, so
// that a later change is an update of them.
func TestLostChange(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, fleet.Regie())
	client := object.NewClient(s.PlatformURL(), netip.Addr{})
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	backup := s.Store.Backup()
	s.awaitVersion(s.setLeaving("ruche-service-1", true), shortLimit)
	lost, err := change.Read(ctx, client)
	is.NoErr(err)
	s.Store.Restore(backup)
	deadline := time.Now().Add(shortLimit)
	for {
		stored, err := change.Read(ctx, client)
		is.NoErr(err)
		if stored.Document.Operation == lost.Document.Operation {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the store does not hold the lost change")
		}
		time.Sleep(20 * time.Millisecond)
	}
	v := s.setLeaving("ruche-service-2", true)
	s.awaitExactly(v, shortLimit)
	after, err := change.Read(ctx, client)
	is.NoErr(err)
	is.Equal(after.Document.Earlier[0], lost.Document.Operation)
}

// TestChangeAfterRestore checks that a change that is accepted after the store was restored from an older copy is in force at every instance within
// seconds, although versions of lost changes are higher.
func TestChangeAfterRestore(t *testing.T) {
	s := newSystem(t, fleet.Regie())
	backup := s.Store.Backup()
	for n := range 6 {
		s.setLeaving("ruche-service-1", n%2 == 0)
	}
	s.awaitVersion(s.setLeaving("ruche-service-1", true), shortLimit)
	s.Store.Restore(backup)
	s.setLeavingUntilAccepted("ruche-service-2", true)
	// The instances may have written the document again before or after the change.
	time.Sleep(shortLimit / 2)
	is := is.New(t)
	stored, err := change.Read(context.Background(), object.NewClient(s.PlatformURL(), netip.Addr{}))
	is.NoErr(err)
	s.awaitExactly(stored.Version, shortLimit/2)
}
