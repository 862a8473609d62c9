package member_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/member"
	"hawthorncourse/internal/core/model"
)

const (
	size      = 24
	detection = 3 * time.Second
)

// group is instances that probe each other in one step of time after another.
type group struct {
	lists []*member.List
	cut   func(a, b int) bool
	dead  map[int]bool
	now   model.Instant
}

func newGroup() *group {
	g := &group{cut: func(int, int) bool { return false }, dead: map[int]bool{}}
	for n := range size {
		g.lists = append(g.lists, member.New(member.Config{
			Self: model.Member{
				ID:      model.InstanceID(fmt.Sprintf("i%02d", n)),
				Domain:  model.DomainID(fmt.Sprint("d", n%3)),
				Boot:    1,
				State:   model.MemberAlive,
				Control: netip.MustParseAddrPort("127.0.0.1:1"),
			},
			Detection: detection,
			Seed:      uint64(n),
		}))
	}
	for _, l := range g.lists[1:] {
		l.Merge(0, []model.Member{g.lists[0].Self()})
	}
	return g
}

func (g *group) index(m model.Member) int {
	for n, l := range g.lists {
		if l.Self().ID == m.ID {
			return n
		}
	}
	return -1
}

// exchange lets a probe b; it reports whether b answered.
func (g *group) exchange(a, b int) bool {
	if g.dead[a] || g.dead[b] || g.cut(a, b) {
		return false
	}
	from, to := g.lists[a], g.lists[b]
	to.Merge(g.now, append([]model.Member{from.Self()}, from.NextUpdates(12)...))
	reply := append([]model.Member{to.Self()}, to.NextUpdates(12)...)
	if known, ok := to.Find(from.Self().ID); ok {
		reply = append(reply, known)
	}
	from.Merge(g.now, reply)
	return true
}

func (g *group) step() {
	g.now = g.now.Add(g.lists[0].ProbeInterval())
	for n, l := range g.lists {
		if g.dead[n] {
			continue
		}
		target, ok := l.Tick(g.now)
		if !ok || g.exchange(n, g.index(target)) {
			continue
		}
		helped := false
		for _, h := range l.RandomLive(2, target.ID) {
			k := g.index(h)
			helped = helped || (g.exchange(n, k) && g.exchange(k, g.index(target)))
		}
		if !helped {
			l.Suspect(g.now, target.ID)
		}
	}
}

func (g *group) run(d time.Duration) {
	for end := g.now.Add(d); g.now < end; {
		g.step()
	}
}

// count returns how many live instances believe the state of one.
func (g *group) count(of int, state model.MemberState) int {
	n := 0
	for k, l := range g.lists {
		if m, ok := l.Find(g.lists[of].Self().ID); !g.dead[k] && ok && m.State == state {
			n++
		}
	}
	return n
}

func TestMembership(t *testing.T) {
	cases := map[string]func(*is.I, *group){
		"everyone is found": func(is *is.I, g *group) {
			for _, l := range g.lists {
				is.Equal(len(l.Members()), size)
			}
		},
		"a dead instance is noticed by everyone": func(is *is.I, g *group) {
			g.dead[5] = true
			g.run(3 * detection)
			is.Equal(g.count(5, model.MemberDead), size-1)
		},
		"a restarted instance is alive again": func(is *is.I, g *group) {
			g.dead[5] = true
			g.run(3 * detection)
			self := g.lists[5].Self()
			self.Boot = 2
			g.lists[5] = member.New(member.Config{Self: self, Detection: detection})
			g.lists[5].Merge(g.now, []model.Member{g.lists[0].Self()})
			g.dead[5] = false
			g.run(3 * detection)
			is.Equal(g.count(5, model.MemberAlive), size-1)
		},
		"a leaving instance is known to everyone": func(is *is.I, g *group) {
			g.lists[5].Leave()
			g.run(2 * detection)
			is.Equal(g.count(5, model.MemberLeaving), size-1)
		},
		"one lost link makes nobody dead": func(is *is.I, g *group) {
			g.cut = func(a, b int) bool { return a+b == 1 }
			g.run(10 * detection)
			is.Equal(g.count(0, model.MemberAlive), size-1)
			is.Equal(g.count(1, model.MemberAlive), size-1)
		},
		"both sides of a cut find each other again": func(is *is.I, g *group) {
			g.cut = func(a, b int) bool { return a%3 == 0 != (b%3 == 0) }
			g.run(6 * detection)
			is.Equal(g.count(0, model.MemberDead), size*2/3)
			g.cut = func(int, int) bool { return false }
			g.run(20 * detection)
			for n := range g.lists {
				is.Equal(g.count(n, model.MemberAlive), size-1)
			}
		},
	}
	for name, check := range cases {
		t.Run(name, func(t *testing.T) {
			g := newGroup()
			g.run(4 * detection)
			check(is.New(t), g)
		})
	}
}
