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
	clusterSize   = 24
	detectionTime = 3 * time.Second
)

// cluster simulates instances that probe each other, in steps of one probe interval.
type cluster struct {
	lists       []*member.List
	partitioned func(a, b int) bool
	dead        map[int]bool
	now         model.Instant
}

func newCluster() *cluster {
	c := &cluster{partitioned: func(int, int) bool { return false }, dead: map[int]bool{}}
	for n := range clusterSize {
		c.lists = append(c.lists, member.New(member.Config{
			Self: model.Member{
				ID:      model.InstanceID(fmt.Sprintf("i%02d", n)),
				Domain:  model.DomainID(fmt.Sprint("d", n%3)),
				Boot:    1,
				State:   model.MemberAlive,
				Control: netip.MustParseAddrPort("127.0.0.1:1"),
			},
			Detection: detectionTime,
			Seed:      uint64(n),
		}))
	}
	for _, l := range c.lists[1:] {
		l.Merge(0, []model.Member{c.lists[0].Self()})
	}
	return c
}

func (c *cluster) index(m model.Member) int {
	for n, l := range c.lists {
		if l.Self().ID == m.ID {
			return n
		}
	}
	return -1
}

// exchange makes instance a probe instance b and reports whether b answered.
func (c *cluster) exchange(a, b int) bool {
	if c.dead[a] || c.dead[b] || c.partitioned(a, b) {
		return false
	}
	from, to := c.lists[a], c.lists[b]
	to.Merge(c.now, append([]model.Member{from.Self()}, from.NextUpdates(12)...))
	reply := append([]model.Member{to.Self()}, to.NextUpdates(12)...)
	if known, ok := to.Find(from.Self().ID); ok {
		reply = append(reply, known)
	}
	from.Merge(c.now, reply)
	return true
}

func (c *cluster) step() {
	c.now = c.now.Add(c.lists[0].ProbeInterval())
	for n, l := range c.lists {
		if c.dead[n] {
			continue
		}
		target, ok := l.Tick(c.now)
		if !ok || c.exchange(n, c.index(target)) {
			continue
		}
		reached := false
		for _, h := range l.RandomLive(2, target.ID) {
			helper := c.index(h)
			reached = reached || (c.exchange(n, helper) && c.exchange(helper, c.index(target)))
		}
		if !reached {
			l.Suspect(c.now, target.ID)
		}
	}
}

func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now < end; {
		c.step()
	}
}

// count returns the number of live instances that consider the target to be in the given state.
func (c *cluster) count(target int, state model.MemberState) int {
	n := 0
	for k, l := range c.lists {
		if m, ok := l.Find(c.lists[target].Self().ID); !c.dead[k] && ok && m.State == state {
			n++
		}
	}
	return n
}

// TestMembership checks that all instances agree on the state of a member after failures, restarts and partitions.
func TestMembership(t *testing.T) {
	cases := map[string]func(*is.I, *cluster){
		"all instances are discovered": func(is *is.I, c *cluster) {
			for _, l := range c.lists {
				is.Equal(len(l.Members()), clusterSize)
			}
		},
		"a failed instance is dead at all others": func(is *is.I, c *cluster) {
			c.dead[5] = true
			c.run(3 * detectionTime)
			is.Equal(c.count(5, model.MemberDead), clusterSize-1)
		},
		"a restarted instance is alive at all others": func(is *is.I, c *cluster) {
			c.dead[5] = true
			c.run(3 * detectionTime)
			self := c.lists[5].Self()
			self.Boot = 2
			c.lists[5] = member.New(member.Config{Self: self, Detection: detectionTime})
			c.lists[5].Merge(c.now, []model.Member{c.lists[0].Self()})
			c.dead[5] = false
			c.run(3 * detectionTime)
			is.Equal(c.count(5, model.MemberAlive), clusterSize-1)
		},
		"a leaving instance is leaving at all others": func(is *is.I, c *cluster) {
			c.lists[5].Leave()
			c.run(2 * detectionTime)
			is.Equal(c.count(5, model.MemberLeaving), clusterSize-1)
		},
		"the loss of one link leaves both ends alive": func(is *is.I, c *cluster) {
			c.partitioned = func(a, b int) bool { return a+b == 1 }
			c.run(10 * detectionTime)
			is.Equal(c.count(0, model.MemberAlive), clusterSize-1)
			is.Equal(c.count(1, model.MemberAlive), clusterSize-1)
		},
		"a healed partition merges": func(is *is.I, c *cluster) {
			c.partitioned = func(a, b int) bool { return a%3 == 0 != (b%3 == 0) }
			c.run(6 * detectionTime)
			is.Equal(c.count(0, model.MemberDead), clusterSize*2/3)
			c.partitioned = func(int, int) bool { return false }
			c.run(20 * detectionTime)
			for n := range c.lists {
				is.Equal(c.count(n, model.MemberAlive), clusterSize-1)
			}
		},
	}
	for name, check := range cases {
		t.Run(name, func(t *testing.T) {
			c := newCluster()
			c.run(4 * detectionTime)
			check(is.New(t), c)
		})
	}
}
