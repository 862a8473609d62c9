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

// TestDomainOut proves that a domain that is taken out gets no packets, and that the others go on.
func TestDomainOut(t *testing.T) {
	cases := map[string]struct {
		setup  fleet.Setup
		domain model.DomainID
	}{
		"jambes of the Régie":  {setup: fleet.Regie(), domain: "jambes"},
		"gakenke of Ikirere":   {setup: fleet.Ikirere(), domain: "gakenke"},
		"musanze with cut off": {setup: fleet.Ikirere(), domain: "musanze"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t, withDuplicates(tc.setup))
			s.startLoad()
			if strings.Contains(name, "cut off") {
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

// checkNoPackets checks that no upstream of the domain got a packet after the deadline.
func (s *system) checkNoPackets(domain model.DomainID, deadline time.Time) {
	s.t.Helper()
	for name, st := range s.stats() {
		if s.UpstreamDomains()[name] == domain && st.LastPacket.After(deadline) {
			s.t.Errorf("%s got a packet %s after its domain had to be silent", name, st.LastPacket.Sub(deadline))
		}
	}
}

// checkServing checks that upstreams of the domain work again.
func (s *system) checkServing(domain model.DomainID, since time.Time) {
	s.t.Helper()
	for name, st := range s.stats() {
		if s.UpstreamDomains()[name] == domain && st.LastArrival.After(since) {
			return
		}
	}
	s.t.Errorf("no upstream of %s got work after it came back", domain)
}

// TestDocumentInForce proves that accepted documents are in force everywhere soon, and that none reverts.
func TestDocumentInForce(t *testing.T) {
	cases := map[string]func(*system){
		"all is well": func(*system) {},
		"a domain is cut from the platform": func(s *system) {
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
				t.Logf("in force everywhere after %s", time.Since(start))
			}
			stop()
		})
	}
}

// watchVersions checks until it is stopped that no instance is ever seen at a lower version.
func (s *system) watchVersions() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, in := range s.Instances {
		wg.Go(func() {
			var highest uint64
			for ctx.Err() == nil {
				w, err := in.Status(ctx)
				if err == nil && w.Document < highest {
					s.t.Errorf("instance %s fell from version %d to %d", in.ID, highest, w.Document)
				}
				if err == nil {
					highest = w.Document
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

// checkOneChange checks that exactly one change was made: versions count all changes of the store, so the document itself tells.
func checkOneChange(is *is.I, base, after change.StoredDocument) {
	is.Helper()
	is.True(after.Version > base.Version)
	is.Equal(after.Document.Earlier[0], base.Document.Operation)
}

// TestOperators proves what two operators and a lossy platform may do to a change.
func TestOperators(t *testing.T) {
	s := newSystem(t, fleet.Regie())
	client := object.NewClient(s.Platform(), netip.Addr{})
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()

	t.Run("two race and one wins", func(t *testing.T) {
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

	t.Run("a lost answer is settled", func(t *testing.T) {
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

	t.Run("an object that is no document changes nothing and is replaced", func(t *testing.T) {
		is := is.New(t)
		good, err := change.Read(ctx, client)
		is.NoErr(err)
		broken, err := client.Put(ctx, config.ObjectName, good.Version, []byte("{broken"))
		is.NoErr(err)
		time.Sleep(2 * time.Second)
		for _, in := range s.Instances {
			w, err := in.Status(ctx)
			is.NoErr(err)
			is.Equal(w.Document, uint64(good.Version))
		}
		v, err := change.Submit(ctx, client, change.StoredDocument{Version: broken}, good.Text, "operator")
		is.NoErr(err)
		s.awaitVersion(v, shortLimit)
	})

	t.Run("an outage of a minute's start is waited for", func(t *testing.T) {
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

// TestDomainService measures service while a domain leaves and returns, for both set-ups.
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

// TestDomainOutDuringPartition measures a domain that is out while its instances hear nobody who knows, and proves that it ends with the cut.
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
	t.Logf("%d upstreams behind the cut still get packets from instances behind it", receiving)
	s.net.heal()
	healed := time.Now()
	time.Sleep(2 * shortLimit)
	s.checkNoPackets(domain, healed.Add(shortLimit))
	s.checkInvariants()
}

// TestBlockwiseTransfer proves that the blocks of a photograph reach one upstream, also while an instance stops.
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
