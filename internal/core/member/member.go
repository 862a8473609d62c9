// Package member tracks which instances are alive, in the manner of SWIM: instances probe each other, directly and through others, and
// piggyback membership updates on the probes.
package member

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"hawthorncourse/internal/core/model"
)

const (
	// retransmitFactor, multiplied by the bit length of the number of instances, is how often one update is sent.
	retransmitFactor = 3
	// deadRetention is how long a dead instance is remembered and still probed.
	deadRetention = 2 * time.Hour
	// probesPerDetection is how many probes one instance sends within the detection time.
	probesPerDetection = 6
	// suspicionDivisor divides the detection time to give the time within which a suspect must refute its suspicion.
	suspicionDivisor = 3
	// deadProbeEvery is the number of probes after which one goes to a dead instance, so that the sides of a healed partition find each
	// other.
	deadProbeEvery = 4
)

// Config configures a List.
type Config struct {
	// Self is this instance, in state alive.
	Self model.Member
	// Detection is the longest time until a failed instance is detected.
	Detection time.Duration
	// Seed initialises the random order of probes.
	Seed uint64
}

// List is the membership as seen by one instance.
type List struct {
	cfg   Config
	rng   *rand.Rand
	self  model.Member
	peers map[model.InstanceID]*peer
	// round holds the instances still to be probed in the current round.
	round      []model.InstanceID
	probeCount int
	// pending counts how often each update still to be disseminated was sent.
	pending map[model.InstanceID]int
	// changeCount counts the changes of all members.
	changeCount uint64
}

type peer struct {
	model.Member
	// stateSince is when the current state was entered.
	stateSince model.Instant
}

// New returns a list that contains only this instance.
func New(cfg Config) *List {
	return &List{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Self.Boot))),
		self:    cfg.Self,
		peers:   map[model.InstanceID]*peer{},
		pending: map[model.InstanceID]int{cfg.Self.ID: 0},
	}
}

// SetDetection changes the detection time, from which the probe interval and all timeouts follow.
func (l *List) SetDetection(d time.Duration) {
	l.cfg.Detection = d
}

// ProbeInterval returns the time between two probes.
func (l *List) ProbeInterval() time.Duration {
	return l.cfg.Detection / probesPerDetection
}

// ProbeTimeout returns the timeout of one probe.
func (l *List) ProbeTimeout() time.Duration {
	return l.ProbeInterval() / 2
}

// ChangeCount returns a number that increases with each change of any member.
func (l *List) ChangeCount() uint64 {
	return l.changeCount
}

// Self returns this instance as it is announced to others.
func (l *List) Self() model.Member {
	return l.self
}

// Members returns all known instances, this one first and the others sorted by ID.
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

// Find returns the instance with the given ID, other than this one.
func (l *List) Find(id model.InstanceID) (model.Member, bool) {
	p := l.peers[id]
	if p == nil {
		return model.Member{}, false
	}
	return p.Member, true
}

// Tick declares suspects dead that did not refute in time, forgets dead instances after deadRetention, and returns the instance to probe
// now; ok is false if there is none.
func (l *List) Tick(now model.Instant) (target model.Member, ok bool) {
	for id, p := range l.peers {
		age := now.Sub(p.stateSince)
		switch {
		case p.State == model.MemberSuspect && age >= l.cfg.Detection/suspicionDivisor:
			l.setState(now, p, model.MemberDead)
		case p.State == model.MemberDead && age >= deadRetention:
			delete(l.peers, id)
			delete(l.pending, id)
		}
	}
	l.probeCount++
	if l.probeCount%deadProbeEvery == 0 {
		if target, ok = l.randomDead(); ok {
			return target, true
		}
	}
	return l.nextInRound()
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

// nextInRound returns the next instance of the round. When a round ends, a new one starts in random order.
func (l *List) nextInRound() (model.Member, bool) {
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

// RandomLive returns up to n random live instances other than the excluded one, for example to probe that one indirectly.
func (l *List) RandomLive(n int, exclude model.InstanceID) []model.Member {
	var live []model.Member
	for _, p := range l.peers {
		if p.ID != exclude && (p.State == model.MemberAlive || p.State == model.MemberLeaving) {
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

// Suspect marks an instance as suspect after its direct and indirect probes went unanswered.
func (l *List) Suspect(now model.Instant, id model.InstanceID) {
	p := l.peers[id]
	if p != nil && (p.State == model.MemberAlive || p.State == model.MemberLeaving) {
		l.setState(now, p, model.MemberSuspect)
	}
}

// Leave marks this instance as leaving and announces that it takes no new work.
func (l *List) Leave() {
	l.self.State = model.MemberLeaving
	l.self.Incarnation++
	l.recordChange(l.self.ID)
}

func (l *List) setState(now model.Instant, p *peer, state model.MemberState) {
	p.State, p.stateSince = state, now
	l.recordChange(p.ID)
}

func (l *List) recordChange(id model.InstanceID) {
	l.changeCount++
	l.pending[id] = 0
}

// Merge applies the membership updates of another instance.
func (l *List) Merge(now model.Instant, members []model.Member) {
	for _, m := range members {
		if m.ID == l.self.ID {
			l.refute(m)
			continue
		}
		p := l.peers[m.ID]
		if p == nil {
			l.peers[m.ID] = &peer{Member: m, stateSince: now}
			l.recordChange(m.ID)
			continue
		}
		if supersedes(m, p.Member) {
			p.Member, p.stateSince = m, now
			l.recordChange(m.ID)
		}
	}
}

// refute overrides a report that this instance is in a worse state than it is, by announcing a higher incarnation.
func (l *List) refute(m model.Member) {
	if m.Boot != l.self.Boot || m.Incarnation < l.self.Incarnation || m.State == l.self.State {
		return
	}
	l.self.Incarnation = m.Incarnation + 1
	l.recordChange(l.self.ID)
}

// supersedes reports whether a replaces b: by a later start, a higher incarnation of the same start, or a worse state in the same
// incarnation.
func supersedes(a, b model.Member) bool {
	if a.Boot != b.Boot {
		return a.Boot > b.Boot
	}
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.State > b.State
}

// NextUpdates returns up to n members with updates to disseminate, the least sent first, and counts them as sent.
func (l *List) NextUpdates(n int) []model.Member {
	ids := make([]model.InstanceID, 0, len(l.pending))
	for id := range l.pending {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b model.InstanceID) int {
		if l.pending[a] != l.pending[b] {
			return l.pending[a] - l.pending[b]
		}
		if a < b {
			return -1
		}
		return 1
	})
	limit := retransmitFactor * bits.Len(uint(len(l.peers)+1))
	out := make([]model.Member, 0, n)
	for _, id := range ids[:min(n, len(ids))] {
		out = append(out, l.lookup(id))
		l.pending[id]++
		if l.pending[id] >= limit {
			delete(l.pending, id)
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

// DomainDown reports whether every known instance of another failure domain is dead, or none is known. It is false for the own failure
// domain.
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
