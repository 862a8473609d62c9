package direct

import (
	"net/netip"
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
