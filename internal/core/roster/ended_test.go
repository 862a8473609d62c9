package roster_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hawthorncourse/internal/core/health"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

// flowLife is the TagRetention of the rosters in the tests of ended runs.
const flowLife = time.Minute

// endedRun returns a run that another instance has seen end ten seconds ago.
func endedRun(boot model.BootID, rev model.Revision, replaced bool) model.EndedRun {
	reg := registration(boot, rev)
	reg.Address = netip.MustParseAddrPort("10.0.0.7:80")
	return model.EndedRun{Registration: reg, Age: 10 * time.Second, Replaced: replaced}
}

// runTag returns the tag of the run that a registration names.
func runTag(reg model.Registration) model.RoutingTag {
	r := roster.New(roster.Config{})
	r.Add(0, []model.Registration{reg}, 0)
	return r.Get(reg.ID).Tag
}

func fail(u *roster.Upstream, now model.Instant) {
	for range 3 {
		u.Health.StartProbe(now)
		u.Health.FinishProbe(now, health.OutcomeFailed)
	}
}

// TestAddEnded checks what becomes of a run that another instance has seen end. It guards against flows of ended runs that are never reset, and against
// resets of flows that may be open.
func TestAddEnded(t *testing.T) {
	at := func(s int) model.Instant { return afterGrace.Add(time.Duration(s) * time.Second) }
	run := endedRun(1, 4, false)
	replaced := endedRun(1, 4, true)
	reg := run.Registration
	later := reg
	later.ID, later.Number, later.Boot, later.Revision = "b", 8, 2, 9
	otherService := reg
	otherService.Service = "claims"
	cases := map[string]struct {
		steps func(*roster.Roster)
		// gone and replaced describe the run that the tag names at at(5); unknown is set if it names none.
		unknown, gone, replaced bool
		// added is how many runs the last AddEnded has added.
		list  []model.EndedRun
		added int
	}{
		"replaced":     {list: []model.EndedRun{replaced}, added: 1, gone: true, replaced: true},
		"not replaced": {list: []model.EndedRun{run}, added: 1, gone: true},
		"added twice": {
			steps: func(r *roster.Roster) { r.AddEnded(at(3), []model.EndedRun{run}) }, list: []model.EndedRun{run}, gone: true,
		},
		"replaced later": {
			steps: func(r *roster.Roster) { r.AddEnded(at(3), []model.EndedRun{run}) }, list: []model.EndedRun{replaced}, gone: true, replaced: true,
		},
		"one instance says replaced, another does not": {
			steps: func(r *roster.Roster) { r.AddEnded(at(3), []model.EndedRun{replaced}) }, list: []model.EndedRun{run}, gone: true, replaced: true,
		},
		"listed here": {
			steps: func(r *roster.Roster) { r.Sync(at(3), listing(reg)) }, list: []model.EndedRun{replaced},
		},
		"listed here and gone": {
			steps: func(r *roster.Roster) { r.Sync(at(3), listing(reg)); r.Sync(at(4), listing()); r.Confirm(at(4), at(4)) },
			list:  []model.EndedRun{replaced}, gone: true,
		},
		"a later run is at the address": {
			steps: func(r *roster.Roster) { r.Sync(at(3), listing(later)) }, list: []model.EndedRun{run}, added: 1, gone: true,
		},
		"listed after it was added": {
			steps: func(r *roster.Roster) { r.AddEnded(at(3), []model.EndedRun{run}); r.Sync(at(4), listing(reg)) }, list: []model.EndedRun{replaced},
		},
		"its registration is contested": {
			steps: func(r *roster.Roster) {
				newest := reg
				newest.Boot, newest.Revision = 3, 5
				r.Sync(at(3), listing(newest))
				late := reg
				late.Revision = 8
				r.Sync(at(4), listing(late))
			},
			list: []model.EndedRun{replaced}, added: 1, gone: true,
		},
		"of another service": {list: []model.EndedRun{{Registration: otherService}}, added: 1, unknown: true},
		"without a start":    {list: []model.EndedRun{endedRun(0, 4, true)}, unknown: true},
		"as old as a flow":   {list: []model.EndedRun{{Registration: reg, Age: flowLife}}, unknown: true},
		"of the future":      {list: []model.EndedRun{{Registration: reg, Age: -1}}, unknown: true},
		"without an address": {list: []model.EndedRun{{Registration: registration(1, 4)}}, unknown: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := roster.New(roster.Config{TagRetention: flowLife})
			r.NameService("orders")
			r.Sync(at(0), listing())
			if tc.steps != nil {
				tc.steps(r)
			}
			is.Equal(r.AddEnded(at(5), tc.list), tc.added)
			u := r.ByTag("orders", runTag(reg))
			is.Equal(u == nil, tc.unknown)
			if u == nil {
				return
			}
			is.Equal(u.State == roster.StateGone, tc.gone)
			is.Equal(u.Replaced(), tc.replaced)
			is.Equal(u.Ended(at(5)), tc.replaced)
			if tc.gone && !tc.replaced {
				fail(u, at(5))
				is.True(u.Ended(at(5)))
			}
		})
	}
}

// TestAddedRunIsListedAgain checks that a run which an instance knows only from another one is used as soon as its registration appears, and that this and
// another run at its address count for as much as at an instance that was told nothing.
func TestAddedRunIsListedAgain(t *testing.T) {
	for name, boot := range map[string]model.BootID{"an earlier run at the address": 2, "a later run at the address": 7} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			run := endedRun(5, 4, false)
			other := run.Registration
			other.ID, other.Number, other.Boot, other.Revision = "b", 8, boot, 3
			back := run.Registration
			back.Revision = 9
			now := afterGrace.Add(time.Second)
			states := map[bool][]string{}
			for _, told := range []bool{true, false} {
				r := roster.New(roster.Config{TagRetention: flowLife})
				r.NameService("orders")
				r.Sync(afterGrace, listing(other))
				if told {
					r.AddEnded(afterGrace, []model.EndedRun{run})
				}
				r.Sync(now, listing(other, back))
				r.Confirm(now, now)
				u := r.Get("a")
				is.True(u != nil && r.Usable(u))
				for _, reg := range []model.Registration{other, back} {
					v := r.ByTag("orders", runTag(reg))
					states[told] = append(states[told], fmt.Sprint(v.ID, v.State, v.Replaced(), v.Ended(now), r.Usable(v)))
				}
			}
			is.Equal(states[true], states[false])
		})
	}
}

// TestAddedRunExpires checks that an added run expires when it would have expired at the instance that has seen it end, also among runs that
// have ended here.
func TestAddedRunExpires(t *testing.T) {
	is := is.New(t)
	r := roster.New(roster.Config{TagRetention: flowLife})
	own := registration(2, 3)
	own.ID, own.Number, own.Address = "b", 8, netip.MustParseAddrPort("10.0.0.8:80")
	r.Sync(afterGrace, listing(own))
	gone := afterGrace.Add(time.Second)
	r.Sync(gone, listing())
	run := endedRun(1, 4, true)
	r.AddEnded(gone, []model.EndedRun{run})
	list := r.Ended(gone)
	is.Equal(len(list), 2)
	is.Equal(list[0].ID, run.ID)
	is.Equal(list[0].Age, run.Age)
	is.Equal(list[0].Replaced, true)
	end := gone.Add(flowLife - run.Age)
	r.ExpireTags(end - 1)
	is.True(r.ByTag("orders", runTag(run.Registration)) != nil)
	r.ExpireTags(end)
	is.Equal(r.ByTag("orders", runTag(run.Registration)), nil)
	is.True(r.ByTag("orders", runTag(own)) != nil)
	is.Equal(len(r.Ended(end)), 1)
	r.ExpireTags(gone.Add(flowLife))
	is.Equal(len(r.Ended(gone.Add(flowLife))), 0)
}

// TestAddedRunSharesTag guards against packets of a known run that go to an ended run with the same tag.
func TestAddedRunSharesTag(t *testing.T) {
	for name, listed := range map[string]bool{"a current run": true, "a run that is gone": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := roster.New(roster.Config{TagRetention: flowLife})
			known, other := endedRun(1, 4, false).Registration, endedRun(1, 6, true)
			known.Number, other.Number, other.ID = sharedTagNumbers[0], sharedTagNumbers[1], "b"
			r.Sync(afterGrace, listing(known))
			if !listed {
				r.Sync(afterGrace, listing())
			}
			is.Equal(runTag(known), runTag(other.Registration))
			is.Equal(r.AddEnded(afterGrace, []model.EndedRun{other}), 0)
			is.Equal(r.ByTag("orders", runTag(known)).ID, known.ID)
			is.True(!r.ByTag("orders", runTag(known)).Ended(afterGrace))
		})
	}
}

// TestRegistrationAfterAddEnded guards against resets of flows of a run that serves: a registration of it has been listed here, before or after another
// instance was certain of its end.
func TestRegistrationAfterAddEnded(t *testing.T) {
	at := func(s int) model.Instant { return afterGrace.Add(time.Duration(s) * time.Second) }
	run := endedRun(1, 4, true)
	newest, late := run.Registration, run.Registration
	newest.Boot, newest.Revision, late.Revision = 6, 7, 9
	older := run.Registration
	told := func(r *roster.Roster, now model.Instant) { r.AddEnded(now, []model.EndedRun{run}) }
	cases := map[string]struct {
		steps func(*roster.Roster)
		// listed is set if the registration is applied.
		listed bool
	}{
		"contested": {steps: func(r *roster.Roster) { r.Sync(at(1), listing(newest)); told(r, at(2)); r.Sync(at(3), listing(late)) }},
		"contested and removed": {steps: func(r *roster.Roster) {
			r.Sync(at(1), listing(newest))
			told(r, at(2))
			r.Sync(at(3), listing(late))
			r.Sync(at(4), listing(newest))
		}},
		"older than the one in use": {steps: func(r *roster.Roster) { r.Sync(at(1), listing(newest)); told(r, at(2)); r.Sync(at(3), listing(older)) }},
		"refused after a restore": {steps: func(r *roster.Roster) {
			r.Sync(at(1), listing(newest))
			told(r, at(2))
			restored := listing(late)
			restored.Era = 1
			r.Sync(at(3), restored)
		}},
		"alone": {steps: func(r *roster.Roster) { told(r, at(2)); r.Sync(at(3), listing(late)) }, listed: true},
		"listed without being applied, longer ago than a flow lives": {steps: func(r *roster.Roster) {
			r.Sync(at(1)-model.Instant(flowLife), listing(newest))
			r.Sync(at(2)-model.Instant(flowLife), listing(late))
			r.Sync(at(3)-model.Instant(flowLife), listing(newest))
			r.ExpireTags(at(4))
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := roster.New(roster.Config{TagRetention: flowLife})
			r.NameService("orders")
			tc.steps(r)
			for n := 5; n < 7; n++ {
				u := r.ByTag("orders", runTag(run.Registration))
				is.True(u == nil || !u.Ended(at(n)))
				is.Equal(u != nil && u.State == roster.StateListed, tc.listed)
				told(r, at(n))
			}
		})
	}
}

// TestListedRunTakesTagOfAddedRun guards against packets of a run that is listed that meet a run with the same tag which this instance knows from another
// one only.
func TestListedRunTakesTagOfAddedRun(t *testing.T) {
	for name, steps := range map[string]func(*roster.Roster, model.Registration){
		"applied": func(r *roster.Roster, reg model.Registration) { r.Sync(afterGrace+2, listing(reg)) },
		"contested": func(r *roster.Roster, reg model.Registration) {
			newest := reg
			newest.Boot, newest.Revision = 6, 5
			r.Sync(afterGrace+1, listing(newest))
			r.Sync(afterGrace+2, listing(reg))
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := roster.New(roster.Config{TagRetention: flowLife})
			r.NameService("orders")
			added, reg := endedRun(1, 4, false), endedRun(1, 6, false).Registration
			added.Number, reg.Number, reg.ID = sharedTagNumbers[0], sharedTagNumbers[1], "b"
			r.Sync(afterGrace, listing())
			r.AddEnded(afterGrace, []model.EndedRun{added})
			steps(r, reg)
			u := r.ByTag("orders", runTag(reg))
			if name == "contested" {
				is.Equal(u, nil)
				is.Equal(r.AddEnded(afterGrace+3, []model.EndedRun{added}), 0)
				return
			}
			is.Equal(u, r.Get("b"))
			is.True(r.Usable(u))
		})
	}
}

// TestLateWriteOfAddedRun guards against new flows to a run that has ended: what another instance says of an earlier run must not let the late heartbeat of
// that run pass as a new registration.
func TestLateWriteOfAddedRun(t *testing.T) {
	is := is.New(t)
	r := roster.New(roster.Config{TagRetention: flowLife})
	r.NameService("orders")
	run := endedRun(1, 4, false)
	run.Era = 9
	own, late := run.Registration, run.Registration
	own.Boot, own.Revision, late.Revision = 6, 7, 9
	r.Sync(afterGrace, listing(own))
	r.Sync(afterGrace+1, listing())
	r.Confirm(afterGrace+1, afterGrace+1)
	r.AddEnded(afterGrace+2, []model.EndedRun{run})
	r.Sync(afterGrace+3, listing(late))
	is.Equal(r.Get("a"), nil)
}

// TestAddedRunOfOtherID guards against a verdict on a run that is applied to a run of another ID with the same tag.
func TestAddedRunOfOtherID(t *testing.T) {
	is := is.New(t)
	r := roster.New(roster.Config{TagRetention: flowLife})
	run, other := endedRun(1, 4, false), endedRun(1, 4, true)
	other.ID = "b"
	r.AddEnded(afterGrace, []model.EndedRun{run})
	r.AddEnded(afterGrace, []model.EndedRun{other})
	is.True(!r.ByTag("orders", runTag(run.Registration)).Replaced())
}

// process is a process of the property test: one run of an upstream as it really is.
type process struct {
	reg     model.Registration
	running bool
	// listed is set while the registry has the registration.
	listed bool
}

// registryModel is a registry with the processes that write to it. The platform reuses an ID or an address only after its process has ended.
type registryModel struct {
	*rapid.T
	now       model.Instant
	revision  model.Revision
	processes []*process
	// faults is set if clocks are set back, writes of ended processes are executed late and the registry is restored from copies.
	faults bool
	era    model.Era
	// backup is the last copy of the registry.
	backup         map[*process]process
	backupRevision model.Revision
	// started is the number of processes that have started.
	started int
}

// places is the number of upstream IDs, and of addresses.
const places = 4

// step lets one process start, stop, lose its registration or write it again.
func (m *registryModel) step() {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(m.T, "ms")) * time.Millisecond)
	m.revision++
	if m.faults && rapid.IntRange(0, 5).Draw(m.T, "fault") == 0 && m.fault() {
		return
	}
	if rapid.Bool().Draw(m.T, "start") {
		m.start(rapid.IntRange(0, places-1).Draw(m.T, "id"), rapid.IntRange(0, places-1).Draw(m.T, "address"))
		return
	}
	if len(m.processes) == 0 {
		return
	}
	p := m.processes[rapid.IntRange(0, len(m.processes)-1).Draw(m.T, "process")]
	switch rapid.IntRange(0, 3).Draw(m.T, "change") {
	case 0:
		p.running = false
	case 1:
		p.listed = false
	default:
		if p.running {
			m.write(p)
		}
	}
}

// fault copies the registry, restores it from the copy or executes the write of a process late. It reports whether it has done anything.
func (m *registryModel) fault() bool {
	switch rapid.IntRange(0, 2).Draw(m.T, "kind") {
	case 0:
		m.backup, m.backupRevision = map[*process]process{}, m.revision
		for _, p := range m.processes {
			m.backup[p] = *p
		}
	case 1:
		if m.backup == nil {
			return false
		}
		for _, p := range m.processes {
			copied, ok := m.backup[p]
			p.listed = ok && copied.listed
			if ok {
				p.reg = copied.reg
			}
		}
		m.era++
		m.revision = m.backupRevision
	default:
		if len(m.processes) == 0 {
			return false
		}
		m.write(m.processes[rapid.IntRange(0, len(m.processes)-1).Draw(m.T, "late")])
	}
	return true
}

// boot returns the start of a new process by the clock of its machine, which no other process under the ID has.
func (m *registryModel) boot(number model.EndpointNumber) model.BootID {
	boot := model.BootID(100 + m.started)
	if m.faults {
		boot -= model.BootID(rapid.IntRange(0, 20).Draw(m.T, "set back"))
	}
	for slices.ContainsFunc(m.processes, func(p *process) bool { return p.reg.Number == number && p.reg.Boot == boot }) {
		boot++
	}
	m.started++
	return boot
}

// write writes the registration of a process, in place of any other under its ID.
func (m *registryModel) write(p *process) {
	for _, q := range m.processes {
		if q.reg.ID == p.reg.ID {
			q.listed = false
		}
	}
	p.listed, p.reg.Revision = true, m.revision
}

func (m *registryModel) start(id, address int) {
	for _, p := range m.processes {
		if p.running && (p.reg.Number == model.EndpointNumber(id+1) || p.reg.Address.Port() == uint16(address+1)) {
			return
		}
	}
	p := &process{running: true, reg: model.Registration{
		ID: model.UpstreamID(fmt.Sprintf("u%d", id)), Number: model.EndpointNumber(id + 1), Service: "orders", Domain: "east", Slots: 1,
		Boot: m.boot(model.EndpointNumber(id + 1)), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(address+1)),
	}}
	m.processes = append(m.processes, p)
	m.write(p)
}

// instance is one instance of the property test.
type instance struct {
	// told receives runs that others have seen end, untold does not; both list the registry at the same times.
	told, untold *roster.Roster
	// listed holds the processes whose registrations this instance has listed, and certain those which another one has called replaced.
	listed, certain map[*process]bool
}

// list passes the registry to an instance.
func (m *registryModel) list(n *instance) {
	list := listing()
	list.Era = m.era
	for _, p := range m.processes {
		if p.listed {
			list.Items = append(list.Items, p.reg)
			n.listed[p] = true
		}
	}
	for _, r := range []*roster.Roster{n.told, n.untold} {
		r.Sync(m.now, list)
		r.Confirm(m.now, m.now)
		r.ExpireTags(m.now)
	}
}

// describe returns what packets of each known run meet, apart from runs that were added.
func describe(r *roster.Roster, now model.Instant, runs []*roster.Upstream) (out []string) {
	for _, u := range runs {
		holder := r.ByTag(u.Service, u.Tag)
		out = append(out, fmt.Sprint(u.ID, u.Boot, u.State, u.Replaced(), u.Ended(now), r.Usable(u), holder == u, u.Health.Suspect(), u.Since))
	}
	return out
}

// TestAddEndedIsSafe checks that runs which another instance has seen end change nothing for the runs that an instance knows, and that no run whose process
// runs counts as ended without failed probes: in no case if no clock is set back, no write is late and no store is restored, and else only if the same
// instance without being told would reset its flows too, or if another instance was certain and no registration of the run has been listed here. The
// instances list the registry at different times, and runs pass through a third one.
func TestAddEndedIsSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &registryModel{T: t, now: afterGrace, faults: rapid.Bool().Draw(t, "faults")}
		instances := make([]*instance, 3)
		for n := range instances {
			instances[n] = &instance{listed: map[*process]bool{}, certain: map[*process]bool{}}
			for _, r := range []**roster.Roster{&instances[n].told, &instances[n].untold} {
				*r = roster.New(roster.Config{TagRetention: flowLife})
				(*r).NameService("orders")
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			m.step()
			if n := rapid.IntRange(0, 2*len(instances)-1).Draw(t, "lists"); n < len(instances) {
				m.list(instances[n])
			}
			from, to := rapid.SampledFrom(instances).Draw(t, "from"), rapid.SampledFrom(instances).Draw(t, "to")
			if from != to {
				m.tell(from, to)
			}
			for _, n := range instances {
				m.checkRunning(n)
			}
		}
	})
}

// tell passes the ended runs that an instance knows to another one, and checks that this changes nothing for the runs that are known there.
func (m *registryModel) tell(from, to *instance) {
	r := to.told
	known, current := slices.Concat(r.All(), r.Gone()), slices.Clone(r.All())
	before := describe(r, m.now, current)
	list := from.told.Ended(m.now)
	r.AddEnded(m.now, list)
	for _, p := range m.processes {
		certain := slices.ContainsFunc(list, func(e model.EndedRun) bool { return e.ID == p.reg.ID && e.Boot == p.reg.Boot && e.Replaced })
		to.certain[p] = to.certain[p] || certain
	}
	if after := describe(r, m.now, current); !slices.Equal(before, after) {
		m.Fatalf("current runs changed from %v to %v", before, after)
	}
	for _, u := range known {
		if u.State == roster.StateGone && !slices.Contains(r.Gone(), u) {
			m.Fatalf("run %s of %s is not known any more", u.ID, u.Address)
		}
	}
	if !slices.IsSortedFunc(r.Gone(), func(a, b *roster.Upstream) int { return int(a.Since.Sub(b.Since)) }) {
		m.Fatal("ended runs are not ordered by age")
	}
}

// resets reports whether an instance resets flows of a process, without probes.
func (m *registryModel) resets(r *roster.Roster, p *process) bool {
	tag := runTag(p.reg)
	if u := r.ByTag(p.reg.Service, tag); u != nil {
		return u.Ended(m.now)
	}
	return r.Complete(m.now-1) && !r.Knows(m.now, tag)
}

// currentRuns describes the current runs of a roster.
func (m *registryModel) currentRuns(r *roster.Roster) (out []string) {
	for _, u := range r.All() {
		out = append(out, fmt.Sprint(u.ID, u.Boot, u.State, r.Usable(u), r.ByTag(u.Service, u.Tag) == u, u.Since))
	}
	slices.Sort(out)
	return out
}

// checkRunning checks that what an instance was told does not change which runs are current, and that it resets no flow of a process that runs because of it.
func (m *registryModel) checkRunning(n *instance) {
	if told, untold := m.currentRuns(n.told), m.currentRuns(n.untold); !slices.Equal(told, untold) {
		m.Fatalf("current runs are %v at an instance that was told, and %v at one that was not", told, untold)
	}
	for _, p := range m.processes {
		if !p.running || !m.resets(n.told, p) {
			continue
		}
		u := n.told.ByTag(p.reg.Service, runTag(p.reg))
		if !m.faults && u != nil {
			m.Fatalf("run %d of %s counts as ended but its process runs", p.reg.Boot, p.reg.ID)
		}
		if !m.resets(n.untold, p) && (n.listed[p] || !n.certain[p]) {
			m.Fatalf("run %d of %s is reset by an instance that was told, and not by one that was not", p.reg.Boot, p.reg.ID)
		}
	}
}
