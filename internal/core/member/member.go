// Package member decides which instances are alive, by probes in turn and by word passed on.
package member

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"hawthorncourse/internal/core/model"
)

const (
	// spreadFactor times the logarithm of the size is how often one piece of news is passed on.
	spreadFactor = 3
	// deadLife is how long a dead instance is remembered and tried again.
	deadLife = 2 * time.Hour
	// probesPerDetection is how many probes one instance sends within the detection time.
	probesPerDetection = 6
	// suspectShare is the share of the detection time that a suspect has to contradict.
	suspectShare = 3
	// retryDeadEvery is the number of probes after which one goes to a dead instance.
	retryDeadEvery = 4
)

// Config is what a List is built from.
type Config struct {
	// Self is this instance, alive.
	Self model.Member
	// Detection is the longest time in which a dead instance is noticed.
	Detection time.Duration
	// Seed feeds the order of probes.
	Seed uint64
}

// List is what one instance believes of all others.
type List struct {
	cfg   Config
	rng   *rand.Rand
	self  model.Member
	peers map[model.InstanceID]*peer
	// round holds the instances that are still to be probed in this round.
	round  []model.InstanceID
	probes int
	news   map[model.InstanceID]int
	// changes counts what changed that others may care for.
	changes uint64
}

type peer struct {
	model.Member
	// since is when the state was entered.
	since model.Instant
	// heard is when the peer last spoke to this instance.
	heard model.Instant
}

// New returns a list that knows only this instance.
func New(cfg Config) *List {
	return &List{
		cfg:   cfg,
		rng:   rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Self.Boot))),
		self:  cfg.Self,
		peers: map[model.InstanceID]*peer{},
		news:  map[model.InstanceID]int{cfg.Self.ID: 0},
	}
}

// SetDetection changes the detection time, from which all intervals follow.
func (l *List) SetDetection(d time.Duration) {
	l.cfg.Detection = d
}

// ProbeInterval returns the time between two probes.
func (l *List) ProbeInterval() time.Duration {
	return l.cfg.Detection / probesPerDetection
}

// ProbeTimeout returns how long one probe waits for its answer.
func (l *List) ProbeTimeout() time.Duration {
	return l.ProbeInterval() / 2
}

// ChangeCount returns a number that grows with each change of any member.
func (l *List) ChangeCount() uint64 {
	return l.changes
}

// Self returns this instance as others should see it.
func (l *List) Self() model.Member {
	return l.self
}

// Members returns every known instance, this one first.
func (l *List) Members() []model.Member {
	out := make([]model.Member, 0, len(l.peers)+1)
	out = append(out, l.self)
	for _, p := range l.peers {
		out = append(out, p.Member)
	}
	slices.SortFunc(out[1:], func(a, b model.Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

// Find returns the named instance.
func (l *List) Find(id model.InstanceID) (model.Member, bool) {
	p := l.peers[id]
	if p == nil {
		return model.Member{}, false
	}
	return p.Member, true
}

// Tick lets suspicions run out and returns the instance to probe now; ok is false for none.
func (l *List) Tick(now model.Instant) (target model.Member, ok bool) {
	for id, p := range l.peers {
		age := now.Sub(p.since)
		switch {
		case p.State == model.MemberSuspect && age >= l.cfg.Detection/suspectShare:
			l.set(now, p, model.MemberDead)
		case p.State == model.MemberDead && age >= deadLife:
			delete(l.peers, id)
			delete(l.news, id)
		}
	}
	l.probes++
	if l.probes%retryDeadEvery == 0 {
		if target, ok = l.randomDead(); ok {
			return target, true
		}
	}
	return l.next()
}

func (l *List) randomDead() (model.Member, bool) {
	var dead []model.Member
	for _, p := range l.peers {
		if p.State == model.MemberDead {
			dead = append(dead, p.Member)
		}
	}
	if len(dead) == 0 {
		return model.Member{}, false
	}
	return dead[l.rng.IntN(len(dead))], true
}

// next returns the next instance of the round, which is shuffled anew when it ends.
func (l *List) next() (model.Member, bool) {
	for range 2 {
		for len(l.round) > 0 {
			id := l.round[0]
			l.round = l.round[1:]
			if p := l.peers[id]; p != nil && p.State != model.MemberDead {
				return p.Member, true
			}
		}
		l.round = l.round[:0]
		for id := range l.peers {
			l.round = append(l.round, id)
		}
		slices.Sort(l.round)
		l.rng.Shuffle(len(l.round), func(i, j int) { l.round[i], l.round[j] = l.round[j], l.round[i] })
	}
	return model.Member{}, false
}

// RandomLive returns up to n live instances that may probe another.
func (l *List) RandomLive(n int, not model.InstanceID) []model.Member {
	var live []model.Member
	for _, p := range l.peers {
		if p.ID != not && (p.State == model.MemberAlive || p.State == model.MemberLeaving) {
			live = append(live, p.Member)
		}
	}
	slices.SortFunc(live, func(a, b model.Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	l.rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(n, len(live))]
}

// RecordContact takes note that the instance itself has just answered.
func (l *List) RecordContact(now model.Instant, id model.InstanceID) {
	if p := l.peers[id]; p != nil {
		p.heard = now
	}
}

// Suspect takes note that neither the instance nor any helper for it answered.
func (l *List) Suspect(now model.Instant, id model.InstanceID) {
	p := l.peers[id]
	if p != nil && (p.State == model.MemberAlive || p.State == model.MemberLeaving) {
		l.set(now, p, model.MemberSuspect)
	}
}

// Leave tells everyone that this instance takes no new work.
func (l *List) Leave() {
	l.self.State = model.MemberLeaving
	l.self.Incarnation++
	l.changed(l.self.ID)
}

func (l *List) set(now model.Instant, p *peer, state model.MemberState) {
	p.State, p.since = state, now
	l.changed(p.ID)
}

func (l *List) changed(id model.InstanceID) {
	l.changes++
	l.news[id] = 0
}

// Merge merges what another instance says of members.
func (l *List) Merge(now model.Instant, members []model.Member) {
	for _, m := range members {
		if m.ID == l.self.ID {
			l.contradict(m)
			continue
		}
		p := l.peers[m.ID]
		if p == nil {
			l.peers[m.ID] = &peer{Member: m, since: now}
			l.changed(m.ID)
			continue
		}
		if newer(m, p.Member) {
			p.Member, p.since = m, now
			l.changed(m.ID)
		}
	}
}

// contradict answers a report that this instance is worse than it is.
func (l *List) contradict(m model.Member) {
	if m.Boot != l.self.Boot || m.Incarnation < l.self.Incarnation || m.State == l.self.State {
		return
	}
	l.self.Incarnation = m.Incarnation + 1
	l.changed(l.self.ID)
}

// newer reports whether a replaces b: a later start, a later incarnation, or the worse state of the same.
func newer(a, b model.Member) bool {
	if a.Boot != b.Boot {
		return a.Boot > b.Boot
	}
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.State > b.State
}

// NextUpdates returns up to n members whose changes are still to be passed on, the least passed on first.
func (l *List) NextUpdates(n int) []model.Member {
	ids := make([]model.InstanceID, 0, len(l.news))
	for id := range l.news {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b model.InstanceID) int {
		if l.news[a] != l.news[b] {
			return l.news[a] - l.news[b]
		}
		if a < b {
			return -1
		}
		return 1
	})
	limit := spreadFactor * bits.Len(uint(len(l.peers)+1))
	out := make([]model.Member, 0, n)
	for _, id := range ids[:min(n, len(ids))] {
		out = append(out, l.lookup(id))
		l.news[id]++
		if l.news[id] >= limit {
			delete(l.news, id)
		}
	}
	return out
}

func (l *List) lookup(id model.InstanceID) model.Member {
	if id == l.self.ID {
		return l.self
	}
	return l.peers[id].Member
}

// DomainDown reports whether no instance of the domain has been heard of as live.
func (l *List) DomainDown(domain model.DomainID) bool {
	if l.self.Domain == domain {
		return false
	}
	for _, p := range l.peers {
		if p.Domain == domain && p.State != model.MemberDead {
			return false
		}
	}
	return true
}
