package direct

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/oper/status"
	"hawthorncourse/internal/stand/stage"
	"hawthorncourse/platform"
	"hawthorncourse/platform/stand"
)

const (
	// restoreOutage is how long the store is unavailable before it returns from a backup.
	restoreOutage = 1500 * time.Millisecond
	// lostVersion is the last version of the configuration that a restore loses, and lostChanges the number of lost versions. They raise the
	// revision far above that of the backup.
	lostVersion = 21
	lostChanges = 20
	// rewriteTime is how long operators and upstreams take to write again what a restore lost.
	rewriteTime = 2 * time.Second
	// graceTime exceeds the time after which a missing registration ends its upstream.
	graceTime = 4 * time.Second
)

// loseChanges writes configurations that the next restore loses, and waits until every instance has read them.
func (s *system) loseChanges(routes ...stand.Route) {
	s.t.Helper()
	for version := lostVersion - lostChanges + 1; version <= lostVersion; version++ {
		s.Store.Configure(uint64(version), routes...)
	}
	for _, p := range s.Processes {
		s.await(changeLimit, "the last version at "+p.Settings.Name, func() bool { return s.report(p).Version == lostVersion })
	}
}

// restore makes the store unavailable, and then available again with the contents of a backup.
func (s *system) restore(b *stand.Backup) {
	s.Store.SetOutage(stand.OutageUnavailable)
	time.Sleep(restoreOutage)
	s.Store.Restore(b)
	s.Store.SetOutage(stand.OutageNone)
}

// report returns the status report of an instance; it is empty if the instance does not answer.
func (s *system) report(p *stage.Process) status.WireRelayReport {
	report, err := status.FetchRelay(s.ctx, p.MetricsAddress())
	if err != nil {
		return status.WireRelayReport{}
	}
	return report
}

// follower returns an instance of a failure domain that is not its reader.
func (s *system) follower(domain string) *stage.Process {
	s.t.Helper()
	records, err := platform.NewReaderRecords(platform.NewClient(s.Processes[0].Settings.Store, netip.Addr{})).Read(s.ctx)
	s.check(err)
	holders := map[model.InstanceID]bool{}
	for _, r := range records.Items {
		holders[r.Holder] = true
	}
	for _, p := range s.Processes {
		if p.Settings.Domain == domain && !holders[model.InstanceID(p.Settings.Name)] {
			return p
		}
	}
	s.t.Fatalf("failure domain %s has no follower", domain)
	return nil
}

// checkListed checks that an instance lists an upstream.
func (s *system) checkListed(p *stage.Process, u *stand.Upstream) {
	s.t.Helper()
	for _, view := range s.report(p).Upstreams {
		if view.ID == u.Name() {
			if view.State != "listed" {
				s.t.Errorf("%s has upstream %s as %s", p.Settings.Name, u.Name(), view.State)
			}
			return
		}
	}
	s.t.Errorf("%s does not know upstream %s, which serves", p.Settings.Name, u.Name())
}

// TestUpstreamsAfterRestore guards against flows that are reset although their upstream serves: after the store was restored from an older copy, an
// instance that starts must not replace what it read by an older snapshot of an instance that ran before the restore.
func TestUpstreamsAfterRestore(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	time.Sleep(steadyTime)
	backup := s.Store.Backup()
	s.loseChanges(feed, order, photo)
	s.restore(backup)
	s.Store.Configure(lostVersion, feed, order, photo)
	added, err := s.AddUpstream(uint64(len(s.upstreams)+1), "desk", "east", netip.AddrPort{})
	s.check(err)
	s.upstreams = append(s.upstreams, added)
	for _, domain := range []string{"east", "west"} {
		s.killAndStart(s.follower(domain))
	}
	s.check(s.AwaitReady(startTimeout))
	time.Sleep(time.Second)
	s.load.ResetCounts()
	time.Sleep(graceTime)
	for _, p := range s.Processes {
		for _, u := range s.upstreams {
			s.checkListed(p, u)
		}
	}
	s.checkServed()
	s.checkInvariants()
}

// TestChangesAfterRestore guards against confirmed changes that are not in force after the store was restored from an older copy: those that the
// copy lacks, until operators and upstreams have written them again, and those that are written after the restore.
func TestChangesAfterRestore(t *testing.T) {
	extra := stand.Route{Name: "extra", Address: extraAddress, Service: "desk"}
	cases := map[string]struct {
		// before is written before the copy is made, lost after that, and again some time after the restore; after is written then as well.
		before, lost, again, after func(*system)
		// inForce reports, from the restore on, whether what was lost is still in force.
		inForce func(s *system, since time.Time) bool
		// done reports whether what was written after the restore is in force.
		done func(s *system, since time.Time) bool
	}{
		"a route was added": {
			lost:    func(s *system) { s.loseChanges(feed, order, photo, extra) },
			again:   func(s *system) { s.Store.Configure(lostVersion, feed, order, photo, extra) },
			inForce: func(s *system, _ time.Time) bool { return s.servedEverywhere(extraAddress) },
		},
		"a route was removed": {
			before:  func(s *system) { s.Store.Configure(1, feed, order, photo, extra) },
			lost:    func(s *system) { s.loseChanges(feed, order, photo) },
			again:   func(s *system) { s.Store.Configure(lostVersion, feed, order, photo) },
			inForce: func(s *system, _ time.Time) bool { return !s.servedAnywhere(extraAddress) },
		},
		"a route is added after the restore": {
			lost:  func(s *system) { s.loseChanges(feed, order, photo) },
			after: func(s *system) { s.Store.Configure(lostVersion+2, feed, order, photo, extra) },
			done:  func(s *system, _ time.Time) bool { return s.servedEverywhere(extraAddress) },
		},
		"a failure domain was taken out of service": {
			lost:    func(s *system) { s.loseChanges(feed, order, photo); s.Store.EvacuateDomain("east") },
			again:   func(s *system) { s.Store.EvacuateDomain("east") },
			inForce: func(s *system, since time.Time) bool { return !s.openedIn("east", since) },
		},
		"a failure domain is taken out of service after the restore": {
			lost:  func(s *system) { s.loseChanges(feed, order, photo) },
			after: func(s *system) { s.Store.EvacuateDomain("east") },
			done:  func(s *system, since time.Time) bool { return !s.openedIn("east", since) },
		},
		"a failure domain was returned to service": {
			before: func(s *system) { s.Store.EvacuateDomain("east") },
			lost:   func(s *system) { s.loseChanges(feed, order, photo); s.Store.RestoreDomain("east") },
			again:  func(s *system) { s.Store.RestoreDomain("east") },
			done:   func(s *system, since time.Time) bool { return s.openedIn("east", since) },
		},
		"an upstream drained": {
			lost:    func(s *system) { s.loseChanges(feed, order, photo); s.upstreams[0].Drain() },
			again:   func(s *system) { s.upstreams[0].Drain() },
			inForce: func(s *system, since time.Time) bool { return !s.upstreams[0].LastOpening().After(since) },
		},
		"an upstream drains after the restore": {
			lost:  func(s *system) { s.loseChanges(feed, order, photo) },
			after: func(s *system) { s.upstreams[0].Drain() },
			done:  func(s *system, since time.Time) bool { return !s.upstreams[0].LastOpening().After(since) },
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t)
			run := func(step func(*system)) {
				if step != nil {
					step(s)
				}
			}
			run(tc.before)
			time.Sleep(steadyTime)
			backup := s.Store.Backup()
			run(tc.lost)
			time.Sleep(changeLimit)
			from := time.Now()
			s.restore(backup)
			s.load.ResetCounts()
			for restored := time.Now(); tc.inForce != nil && time.Since(restored) < rewriteTime; time.Sleep(rewriteTime / 10) {
				if !tc.inForce(s, from) {
					t.Fatalf("what was in force before the restore is not any more, %s after it", time.Since(restored).Round(time.Millisecond))
				}
			}
			run(tc.again)
			run(tc.after)
			time.Sleep(changeLimit)
			written := time.Now()
			time.Sleep(steadyTime)
			if tc.inForce != nil && !tc.inForce(s, from) {
				t.Error("what was written again is not in force")
			}
			if tc.done != nil && !tc.done(s, written) {
				t.Error("what was written after the restore is not in force")
			}
			s.checkServed()
			s.checkInvariants()
		})
	}
}

// servedEverywhere reports whether every instance serves the address.
func (s *system) servedEverywhere(addr netip.AddrPort) bool {
	return s.servingInstances(addr) == len(s.Processes)
}

// servedAnywhere reports whether an instance serves the address.
func (s *system) servedAnywhere(addr netip.AddrPort) bool {
	return s.servingInstances(addr) > 0
}

// servingInstances returns the number of instances through which a flow to the address can be opened.
func (s *system) servingInstances(addr netip.AddrPort) (n int) {
	for _, p := range s.Processes {
		if f, err := s.Callers[0].OpenVia(s.ctx, addr, p.Settings.Packets); err == nil {
			f.Close()
			n++
		}
	}
	return n
}

// openedIn reports whether an upstream of a failure domain has received a new flow since the instant.
func (s *system) openedIn(domain string, since time.Time) bool {
	for _, u := range s.upstreams {
		if u.Domain() == domain && u.LastOpening().After(since) {
			return true
		}
	}
	return false
}

// TestEndedDuringOutage guards against upstreams that stay in use for good: one that ended while the store was unavailable is given up after the
// grace period.
func TestEndedDuringOutage(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	s.Store.SetOutage(stand.OutageUnavailable)
	time.Sleep(2 * time.Second)
	ended := s.upstreams[0]
	ended.Close()
	ended.ExpireRegistration()
	s.Store.SetOutage(stand.OutageNone)
	for _, p := range s.Processes {
		s.await(2*graceTime, p.Settings.Name+" to give up an upstream that ended", func() bool {
			report := s.report(p)
			return len(report.Upstreams) > 0 && !slices.ContainsFunc(report.Upstreams, func(u status.WireRelayUpstream) bool { return u.ID == ended.Name() })
		})
	}
	s.load.ResetCounts()
	time.Sleep(steadyTime)
	s.checkServed()
	s.checkInvariants()
}
