package whole

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"hawthorncourse/internal/bench/fleet"
	"hawthorncourse/internal/conf/config"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/oper/change"
	"hawthorncourse/internal/plat/object"
	"hawthorncourse/internal/stand/caller"

	"hawthorncourse/platform/stand"
)

// TestDomainOut guards against packets to a failure domain that operators have taken out of service, and against effects on other domains. It
// takes a domain out and returns it under load, in one case while the domain is partitioned from the platform.
func TestDomainOut(t *testing.T) {
	cases := map[string]struct {
		setup  fleet.Setup
		domain model.DomainID
	}{
		"jambes of the Régie":    {setup: fleet.Regie(), domain: "jambes"},
		"gakenke of Ikirere":     {setup: fleet.Ikirere(), domain: "gakenke"},
		"musanze with partition": {setup: fleet.Ikirere(), domain: "musanze"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t, withDuplicates(tc.setup))
			s.startLoad()
			if strings.Contains(name, "partition") {
				s.net.partition(tc.domain, "platform")
			}
			s.setDomainOut(tc.domain, true)
			accepted := time.Now()
			time.Sleep(2 * shortLimit)
			s.checkNoPackets(tc.domain, accepted.Add(shortLimit))
			s.checkNoStreamBrokenOutside(tc.domain)
			s.checkNoBookingLost(accepted)
			s.setDomainOut(tc.domain, false)
			returned := time.Now()
			time.Sleep(2 * shortLimit)
			s.checkServing(tc.domain, returned)
			s.checkInvariants()
		})
	}
}

// checkNoPackets checks that no upstream of the failure domain received a packet after the deadline.
func (s *system) checkNoPackets(domain model.DomainID, deadline time.Time) {
	s.t.Helper()
	for name, st := range s.stats() {
		if s.UpstreamDomains()[name] == domain && st.LastPacket.After(deadline) {
			s.t.Errorf("upstream %s received a packet %s after the deadline for its failure domain", name, st.LastPacket.Sub(deadline))
		}
	}
}

// checkServing checks that an upstream of the failure domain has received work since the instant.
func (s *system) checkServing(domain model.DomainID, since time.Time) {
	s.t.Helper()
	for name, st := range s.stats() {
		if s.UpstreamDomains()[name] == domain && st.LastArrival.After(since) {
			return
		}
	}
	s.t.Errorf("no upstream of failure domain %s received work after its return", domain)
}

// TestDocumentInForce guards against accepted documents that reach some instance late, and against instances that revert to an older version. It
// changes the document repeatedly: without faults, with a domain partitioned from the platform, and after an instance was replaced.
func TestDocumentInForce(t *testing.T) {
	cases := map[string]func(*system){
		"no fault": func(*system) {},
		"a domain is partitioned from the platform": func(s *system) {
			s.net.partition("gembloux", "platform")
		},
		"an instance is killed and another joins": func(s *system) {
			s.Kill(s.Instances[0])
			if _, err := s.AddInstance("gembloux"); err != nil {
				s.t.Fatal(err)
			}
		},
	}
	for name, disturb := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t, fleet.Regie())
			stop := s.watchVersions()
			disturb(s)
			for n := range 6 {
				start := time.Now()
				s.awaitVersion(s.setLeaving("ruche-service-1", n%2 == 0), shortLimit)
				t.Logf("active at every instance after %s", time.Since(start))
			}
			stop()
		})
	}
}

// watchVersions polls all instances until stop is called, and checks that no instance reports a lower version than before.
func (s *system) watchVersions() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, in := range s.Instances {
		wg.Go(func() {
			var highest uint64
			for ctx.Err() == nil {
				report, err := in.Status(ctx)
				if err == nil && report.Document < highest {
					s.t.Errorf("instance %s reverted from version %d to %d", in.ID, highest, report.Document)
				}
				if err == nil {
					highest = report.Document
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// checkOneChange checks that exactly one change was made since base. Versions count all changes of the store, so only the list of earlier
// operations in the document shows it.
func checkOneChange(is *is.I, base, after change.StoredDocument) {
	is.Helper()
	is.True(after.Version > base.Version)
	is.Equal(after.Document.Earlier[0], base.Document.Operation)
}

// TestOperators guards against lost, repeated or mixed-up changes of the document: when two operators submit concurrently, when the response to
// a submission is lost, when the stored object is unreadable, and when the platform is unavailable.
func TestOperators(t *testing.T) {
	s := newSystem(t, fleet.Regie())
	client := object.NewClient(s.PlatformURL(), netip.Addr{})
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()

	t.Run("one of two concurrent changes wins", func(t *testing.T) {
		is := is.New(t)
		base, err := change.Read(ctx, client)
		is.NoErr(err)
		errs := make(chan error, 2)
		for n := range 2 {
			go func() {
				text, err := change.SetUpstreamLeaving(base, "ruche-service-1", true, fmt.Sprintf("operator %d", n))
				if err == nil {
					_, err = change.Submit(ctx, client, base, text, fmt.Sprintf("operator-%d", n))
				}
				errs <- err
			}()
		}
		first, second := <-errs, <-errs
		if first == nil {
			first = second
		} else {
			is.NoErr(second)
		}
		var conflict *change.ConflictError
		is.True(errors.As(first, &conflict))
		is.True(strings.Contains(first.Error(), "operator-"))
		after, err := change.Read(ctx, client)
		is.NoErr(err)
		checkOneChange(is, base, after)
	})

	t.Run("a lost response is resolved", func(t *testing.T) {
		is := is.New(t)
		base, err := change.Read(ctx, client)
		is.NoErr(err)
		s.Store.DropResponses(1)
		v := s.setLeaving("ruche-service-2", true)
		after, err := change.Read(ctx, client)
		is.NoErr(err)
		is.Equal(after.Version, v)
		checkOneChange(is, base, after)
		s.awaitVersion(v, shortLimit)
	})

	t.Run("an unreadable document changes nothing and is replaced", func(t *testing.T) {
		is := is.New(t)
		good, err := change.Read(ctx, client)
		is.NoErr(err)
		broken, err := client.Put(ctx, config.ObjectName, good.At(), []byte("{broken"))
		is.NoErr(err)
		time.Sleep(2 * time.Second)
		for _, in := range s.Instances {
			report, err := in.Status(ctx)
			is.NoErr(err)
			is.Equal(report.Document, uint64(good.Version))
		}
		at, err := change.Submit(ctx, client, change.StoredDocument{Era: broken.Era, Version: model.Version(broken.Revision)}, good.Text, "operator")
		is.NoErr(err)
		s.awaitVersion(model.Version(at.Revision), shortLimit)
	})

	t.Run("a change waits for the end of an outage", func(t *testing.T) {
		is := is.New(t)
		s.Store.SetOutage(stand.OutageUnavailable)
		time.AfterFunc(3*time.Second, func() { s.Store.SetOutage(stand.OutageNone) })
		base := change.StoredDocument{}
		for base.Version == 0 {
			base, _ = change.Read(ctx, client)
		}
		v := s.setLeaving("ruche-service-2", false)
		is.Equal(v, base.Version+1)
	})
}

// TestDomainService guards against lost bookings while a failure domain is taken out of service and returns, for both setups. It also
// logs how many bookings were served.
func TestDomainService(t *testing.T) {
	cases := map[string]fleet.Setup{"Régie": fleet.Regie(), "Ikirere": fleet.Ikirere()}
	for name, setup := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t, setup)
			s.startLoad()
			start := time.Now()
			s.setDomainOut(setup.Domains[0], true)
			time.Sleep(6 * time.Second)
			s.setDomainOut(setup.Domains[0], false)
			time.Sleep(8 * time.Second)
			out := s.load.Bookings(start)
			total := 0
			for _, n := range out {
				total += n
			}
			t.Logf("served %d of %d bookings: %v", out[caller.OutcomeDone], total, out)
			s.checkNoBookingLost(start)
			s.checkInvariants()
		})
	}
}

// TestDomainOutDuringPartition guards against a failure domain that keeps receiving packets although it is out of service. Its own instances can't
// learn of the change while the domain is partitioned from all others and from the platform, so they may go on during the partition (logged),
// but must stop soon after it heals.
func TestDomainOutDuringPartition(t *testing.T) {
	t.Parallel()
	const domain = "jambes"
	s := newSystem(t, fleet.Regie())
	s.startLoad()
	for _, other := range []model.DomainID{"namur-ville", "gembloux", "platform"} {
		s.net.partition(domain, other)
	}
	s.setDomainOut(domain, true)
	time.Sleep(shortLimit + 3*time.Second)
	receiving := 0
	for name, st := range s.stats() {
		if s.UpstreamDomains()[name] == domain && time.Since(st.LastPacket) < time.Second {
			receiving++
		}
	}
	t.Logf("%d upstreams in the partitioned domain still receive packets from its instances", receiving)
	s.net.heal()
	healed := time.Now()
	time.Sleep(2 * shortLimit)
	s.checkNoPackets(domain, healed.Add(shortLimit))
	s.checkInvariants()
}

// TestBlockwiseTransfer guards against blockwise transfers that are split between upstreams. It sends the blocks of a photograph, of which all
// must reach the same upstream, while an instance stops and the fabric duplicates packets.
func TestBlockwiseTransfer(t *testing.T) {
	t.Parallel()
	const blocks = 40
	is := is.New(t)
	s := newSystem(t, withDuplicates(fleet.Ikirere()))
	c, err := caller.New(caller.Config{Local: s.CallerIP(), Service: s.Services["field-claims"], Seed: seed, Timeout: shortLimit})
	is.NoErr(err)
	defer c.Close()
	var binding []byte
	var first string
	for n := range blocks {
		if n == blocks/4 {
			s.Stop(s.Instances[0])
		}
		// The Block1 option holds the block number, the bit for further blocks (8) and the exponent of the block size (6 for 1024 bytes).
		block := n<<4 | 6
		if n < blocks-1 {
			block |= 8
		}
		res := c.Do(context.Background(), caller.Request{Code: codes.PUT, Path: "photos/7", Payload: fmt.Sprint("part ", n), Blockwise: true, Block: block, Binding: binding})
		is.Equal(res.Outcome, caller.OutcomeDone)
		is.True(strings.HasSuffix(res.Payload, fmt.Sprint("part ", n)))
		binding = res.Binding
		name, _, _ := strings.Cut(res.Payload, " ")
		if first == "" {
			first = name
		}
		is.Equal(name, first)
		time.Sleep(50 * time.Millisecond)
	}
}
