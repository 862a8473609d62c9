package clock_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hawthorncourse/internal/core/clock"
	"hawthorncourse/internal/core/model"
)

// heldTime is how long polls wait for news.
const heldTime = time.Second

// node is an instance whose own clock started at some time and drifts.
type node struct {
	*clock.Sync
	offset time.Duration
	rate   float64
}

func (n *node) now(at time.Duration) model.Instant {
	return model.Instant(n.offset + time.Duration(float64(at)*n.rate))
}

func newNode(offset time.Duration, rate float64) *node {
	next := clock.Epoch(offset)
	return &node{Sync: clock.NewSync(clock.SyncConfig{NewEpoch: func() clock.Epoch { next++; return next }}), offset: offset, rate: rate}
}

// poll lets a node poll another one, at a time that is the same for all. The peer holds the call for heldTime.
func (n *node) poll(peer *node, at, there, back time.Duration) {
	sent := n.now(at)
	called, replied := peer.now(at+there), peer.now(at+there+heldTime)
	stated := peer.State(replied)
	arrived := n.now(at + there + heldTime + back)
	n.Follow(arrived, stated, arrived.Sub(sent), replied.Sub(called))
}

// TestBounds checks that readings of one epoch, taken at the same time by instances whose clocks drift and that poll each other in any order, always overlap.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var nodes []*node
		for i := range 4 {
			ppm := rapid.IntRange(-500, 500).Draw(t, "ppm")
			nodes = append(nodes, newNode(time.Duration(i+1)*time.Hour, 1+float64(ppm)*1e-6))
		}
		at := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "polls") {
			at += time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond
			from := rapid.IntRange(1, 3).Draw(t, "from")
			to := rapid.IntRange(0, from-1).Draw(t, "to")
			there := time.Duration(rapid.IntRange(0, 300).Draw(t, "there")) * 100 * time.Microsecond
			back := time.Duration(rapid.IntRange(0, 300).Draw(t, "back")) * 100 * time.Microsecond
			nodes[from].poll(nodes[to], at, there, back)
			at += there + heldTime + back
			for _, a := range nodes {
				for _, b := range nodes {
					ra, rb := a.Read(a.now(at)), b.Read(b.now(at))
					if ra.Epoch == rb.Epoch && ra.Known() && ra.Earliest > rb.Latest {
						t.Fatalf("readings %v and %v of one clock do not overlap", ra, rb)
					}
				}
			}
		}
	})
}

func TestSync(t *testing.T) {
	const ms = time.Millisecond
	cases := map[string]func(is *is.I, lead, reader, follower *node){
		"nobody is polled": func(is *is.I, lead, _, _ *node) {
			is.True(!lead.Read(lead.now(time.Minute)).Known())
		},
		"a polled instance begins an epoch": func(is *is.I, lead, reader, follower *node) {
			reader.poll(lead, time.Second, ms, ms)
			follower.poll(reader, 2*time.Second, ms, ms)
			a, b := lead.Read(lead.now(5*time.Second)), follower.Read(follower.now(5*time.Second))
			is.Equal(a.Epoch, b.Epoch)
			is.True(b.Known() && b.Width() < 20*ms)
		},
		"an epoch is used by all at the same time": func(is *is.I, lead, reader, follower *node) {
			reader.poll(lead, time.Second, ms, ms)
			follower.poll(reader, 2100*ms, ms, ms)
			for _, n := range []*node{lead, reader, follower} {
				is.True(!n.Read(n.now(3900 * ms)).Known())
				is.True(n.Read(n.now(4100 * ms)).Known())
			}
		},
		"a slow reply does not widen the reading": func(is *is.I, lead, reader, _ *node) {
			reader.poll(lead, time.Second, ms, ms)
			reader.poll(lead, 4*time.Second, 100*ms, 100*ms)
			is.True(reader.Read(reader.now(5200*ms)).Width() < 20*ms)
		},
		"the clock goes on at the follower that takes over": func(is *is.I, lead, reader, follower *node) {
			reader.poll(lead, time.Second, ms, ms)
			follower.poll(reader, 7*time.Second, ms, ms)
			is.Equal(follower.Read(follower.now(9*time.Second)).Epoch, lead.Read(lead.now(9*time.Second)).Epoch)
		},
		"a clock that has become uncertain is replaced, and used until then": func(is *is.I, lead, reader, follower *node) {
			reader.poll(lead, time.Second, ms, ms)
			follower.poll(reader, 4*time.Second, ms, ms)
			follower.poll(reader, time.Minute, ms, ms)
			old := lead.Read(lead.now(time.Minute)).Epoch
			for _, n := range []*node{reader, follower} {
				is.Equal(n.Read(n.now(61100*ms)).Epoch, old)
				is.True(n.Read(n.now(64*time.Second)).Epoch != old)
				is.True(n.Read(n.now(64*time.Second)).Width() < 20*ms)
			}
		},
		"an instance follows the peer that it polls": func(is *is.I, lead, reader, follower *node) {
			follower.poll(reader, time.Second, ms, ms)
			reader.poll(lead, 3*time.Second, ms, ms)
			is.Equal(reader.Read(reader.now(9*time.Second)).Epoch, lead.Read(lead.now(9*time.Second)).Epoch)
		},
		"a starting instance uses an old epoch at once": func(is *is.I, lead, reader, follower *node) {
			reader.poll(lead, time.Second, ms, ms)
			follower.poll(lead, 10*time.Second, ms, ms)
			is.True(follower.Read(follower.now(11010 * ms)).Known())
		},
		"the own clock is exact where the epoch began": func(is *is.I, lead, reader, _ *node) {
			for n := range 100 {
				reader.poll(lead, time.Duration(n)*time.Minute, ms, ms)
			}
			is.Equal(lead.State(lead.now(100*time.Minute)).Width(), time.Duration(0))
		},
	}
	for name, check := range cases {
		t.Run(name, func(t *testing.T) {
			check(is.New(t), newNode(time.Hour, 1), newNode(2*time.Hour, 1), newNode(3*time.Hour, 1))
		})
	}
}
