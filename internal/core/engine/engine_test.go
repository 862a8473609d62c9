package engine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hawthorncourse/internal/core/model"
)

// TestWorld runs instances, upstreams and callers in random order, with lost and repeated messages, crashes, pauses and membership changes.
// The simulation fails the test if a booking runs twice, if one runs that was refused as not run, or if an upstream gets more requests during a
// cold start than it allows.
func TestWorld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				for range rapid.IntRange(1, 12).Draw(t, "steps") {
					w.advance()
				}
			},
			"book": func(t *rapid.T) {
				b := &bookingSim{ref: uint64(len(w.bookings) + 1)}
				w.bookings[b.ref] = b
				w.sendToAny(t, w.bookingPacket(b))
			},
			"repeat": func(t *rapid.T) {
				if len(w.bookings) == 0 {
					t.Skip("there is no booking yet")
				}
				b := w.bookings[uint64(rapid.IntRange(1, len(w.bookings)).Draw(t, "booking"))]
				w.sendToAny(t, w.bookingPacket(b))
			},
			"read": func(t *rapid.T) {
				n := rapid.IntRange(1, 500).Draw(t, "reader")
				w.sendToAny(t, &model.Packet{
					Flow:   model.FlowKey{Caller: addr(201, uint16(1000+n)), Service: w.doc.Services[n%2].Address},
					Class:  model.ClassIdempotent,
					Digest: uint64(10_000 + n),
					Raw:    []byte("read"),
				})
			},
			"deliver":   func(t *rapid.T) { w.deliverSome(t, true) },
			"duplicate": func(t *rapid.T) { w.deliverSome(t, false) },
			"lose": func(t *rapid.T) {
				if len(w.messages) > 0 {
					w.removeMessage(rapid.IntRange(0, len(w.messages)-1).Draw(t, "message"))
				}
			},
			"update members": func(t *rapid.T) {
				n := rapid.IntRange(0, worldInstances-1).Draw(t, "instance")
				w.applyMemberships(func(k int) bool { return k == n })
			},
			"replace instance": func(t *rapid.T) {
				n := rapid.IntRange(0, worldInstances-1).Draw(t, "instance")
				if !w.membershipSettled() {
					t.Skip("not every instance knows the last membership")
				}
				w.startInstance(n)
				w.addMembership()
			},
			"kill instance": func(t *rapid.T) {
				n := rapid.IntRange(0, worldInstances-1).Draw(t, "instance")
				if !w.membershipSettled() || w.instances[n].dead {
					t.Skip("not every instance knows the last membership, or the instance is dead already")
				}
				w.instances[n].dead = true
				w.addMembership()
			},
			"pause instance": func(t *rapid.T) {
				w.instances[rapid.IntRange(0, worldInstances-1).Draw(t, "instance")].paused = true
			},
			"wake instances": func(*rapid.T) {
				for _, in := range w.instances {
					in.paused = false
				}
			},
			"kill upstream": func(t *rapid.T) {
				up := w.anyUpstream(t)
				up.dead, up.deadSince, up.running = true, w.now, 0
			},
			"start upstream": func(t *rapid.T) {
				up := w.anyUpstream(t)
				if !up.dead || w.now.Sub(up.deadSince) <= worldTiming.WarmLease+maxTransit+step {
					t.Skip("the upstream is running, or its last answer still confirms the old boot")
				}
				w.boots++
				up.dead, up.boot, up.running = false, model.BootID(w.boots), 0
				up.coldUntil = w.now.Add(up.cfg.ColdFor)
			},
			"new document": func(t *rapid.T) {
				doc := worldDocument(w.doc.Version + 1)
				doc.Domains[0].Out = rapid.Bool().Draw(t, "out")
				doc.Services[0].Upstreams[1].Leaving = rapid.Bool().Draw(t, "leaving")
				w.doc = doc
			},
			"update document": func(t *rapid.T) {
				in := w.instances[rapid.IntRange(0, worldInstances-1).Draw(t, "instance")]
				old := worldDocument(model.Version(rapid.IntRange(1, int(w.doc.Version)).Draw(t, "version")))
				for _, doc := range []*model.Document{old, w.doc} {
					in.engine.SetDocument(w.now, doc)
					if in.engine.Version() < in.version {
						t.Fatalf("document version decreased from %d to %d", in.version, in.engine.Version())
					}
					in.version = in.engine.Version()
				}
			},
		})
	})
}

func (w *world) sendToAny(t *rapid.T, p *model.Packet) {
	w.messages = append(w.messages, message{to: rapid.IntRange(0, worldInstances-1).Draw(t, "to"), from: -1, packet: p})
}

// deliverSome delivers random messages, which stay in flight unless remove is set; a message to an upstream is delivered at most once.
func (w *world) deliverSome(t *rapid.T, remove bool) {
	for range rapid.IntRange(1, 8).Draw(t, "count") {
		if len(w.messages) == 0 {
			return
		}
		n := rapid.IntRange(0, len(w.messages)-1).Draw(t, "message")
		if remove || w.messages[n].upstream != nil {
			w.deliver(w.removeMessage(n))
		} else {
			w.deliver(w.messages[n])
		}
	}
}

func (w *world) removeMessage(n int) message {
	m := w.messages[n]
	w.messages = append(w.messages[:n:n], w.messages[n+1:]...)
	return m
}

// membershipSettled reports whether every running instance knows the last membership and its hold-offs are over.
func (w *world) membershipSettled() bool {
	for _, in := range w.instances {
		if !in.dead && (in.paused || in.membership != len(w.memberships)-1) {
			return false
		}
	}
	return w.now.Sub(w.membershipSince[len(w.membershipSince)-1]) > worldTiming.Detection+2*time.Second
}

func (w *world) anyUpstream(t *rapid.T) *upstreamSim {
	svc := w.doc.Services[rapid.IntRange(0, 1).Draw(t, "service")]
	return w.upstreams[svc.Upstreams[rapid.IntRange(0, worldUpstreams-1).Draw(t, "upstream")].Address]
}

// settledWorld returns a world that has run for long enough that every slot is usable.
func settledWorld(t *rapid.T) *world {
	w := newWorld(t)
	for range 100 {
		w.advance()
	}
	return w
}

// TestBookingRuns checks that a booking runs exactly once if no fault occurs.
func TestBookingRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(rapidT{t})
		w := settledWorld(t)
		b := &bookingSim{ref: uint64(rapid.IntRange(1, 40).Draw(t, "ref"))}
		w.bookings[b.ref] = b
		for range 2 {
			w.sendToAny(t, w.bookingPacket(b))
			for len(w.messages) > 0 {
				w.deliver(w.removeMessage(0))
			}
		}
		is.Equal(b.runs, 1)
	})
}

// rapidT adapts rapid.T to the interface of package is.
type rapidT struct {
	*rapid.T
}

// Fail implements is.T.
func (f rapidT) Fail() { f.T.Fail() }

// FailNow implements is.T.
func (f rapidT) FailNow() { f.T.FailNow() }
