package engine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hawthorncourse/internal/core/model"
)

// TestWorld lets instances, upstreams and callers act in any order and checks after each step what must hold.
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
				w.toAny(t, w.bookingPacket(b))
			},
			"repeat": func(t *rapid.T) {
				if len(w.bookings) == 0 {
					t.Skip("no booking yet")
				}
				b := w.bookings[uint64(rapid.IntRange(1, len(w.bookings)).Draw(t, "booking"))]
				w.toAny(t, w.bookingPacket(b))
			},
			"read": func(t *rapid.T) {
				n := rapid.IntRange(1, 500).Draw(t, "reader")
				w.toAny(t, &model.Packet{
					Flow:   model.FlowKey{Caller: addr(201, uint16(1000+n)), Service: w.doc.Services[n%2].Address},
					Class:  model.ClassIdempotent,
					Digest: uint64(10_000 + n),
					Raw:    []byte("read"),
				})
			},
			"deliver": func(t *rapid.T) { w.deliverSome(t, true) },
			"double":  func(t *rapid.T) { w.deliverSome(t, false) },
			"lose": func(t *rapid.T) {
				if len(w.mail) > 0 {
					w.take(rapid.IntRange(0, len(w.mail)-1).Draw(t, "message"))
				}
			},
			"tell members": func(t *rapid.T) {
				n := rapid.IntRange(0, worldInstances-1).Draw(t, "instance")
				w.learnViews(func(k int) bool { return k == n })
			},
			"replace instance": func(t *rapid.T) {
				n := rapid.IntRange(0, worldInstances-1).Draw(t, "instance")
				if !w.settled() {
					t.Skip("the last change is not known everywhere")
				}
				w.startInstance(n)
				w.newView()
			},
			"kill instance": func(t *rapid.T) {
				n := rapid.IntRange(0, worldInstances-1).Draw(t, "instance")
				if !w.settled() || w.instances[n].dead {
					t.Skip("the last change is not known everywhere")
				}
				w.instances[n].dead = true
				w.newView()
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
				if !up.dead || w.now.Sub(up.deadSince) <= worldTiming.WarmLease+flightTime+step {
					t.Skip("it did not keep silent for as long as an answer is trusted")
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
			"tell document": func(t *rapid.T) {
				in := w.instances[rapid.IntRange(0, worldInstances-1).Draw(t, "instance")]
				old := worldDocument(model.Version(rapid.IntRange(1, int(w.doc.Version)).Draw(t, "version")))
				for _, doc := range []*model.Document{old, w.doc} {
					in.engine.SetDocument(w.now, doc)
					if in.engine.Version() < in.version {
						t.Fatalf("version fell from %d to %d", in.version, in.engine.Version())
					}
					in.version = in.engine.Version()
				}
			},
		})
	})
}

func (w *world) toAny(t *rapid.T, p *model.Packet) {
	w.mail = append(w.mail, message{to: rapid.IntRange(0, worldInstances-1).Draw(t, "to"), from: -1, packet: p})
}

// deliverSome delivers messages in any order; what goes to an upstream arrives at most once.
func (w *world) deliverSome(t *rapid.T, remove bool) {
	for range rapid.IntRange(1, 8).Draw(t, "count") {
		if len(w.mail) == 0 {
			return
		}
		n := rapid.IntRange(0, len(w.mail)-1).Draw(t, "message")
		if remove || w.mail[n].upstream != nil {
			w.deliver(w.take(n))
		} else {
			w.deliver(w.mail[n])
		}
	}
}

func (w *world) take(n int) message {
	m := w.mail[n]
	w.mail = append(w.mail[:n:n], w.mail[n+1:]...)
	return m
}

// settled reports whether every instance that runs knows the last membership.
func (w *world) settled() bool {
	for _, in := range w.instances {
		if !in.dead && (in.paused || in.view != len(w.views)-1) {
			return false
		}
	}
	return w.now.Sub(w.viewAt[len(w.viewAt)-1]) > worldTiming.Detection+2*time.Second
}

func (w *world) anyUpstream(t *rapid.T) *upstreamSim {
	svc := w.doc.Services[rapid.IntRange(0, 1).Draw(t, "service")]
	return w.upstreams[svc.Upstreams[rapid.IntRange(0, worldUpstreams-1).Draw(t, "upstream")].Address]
}

// warmWorld returns a world in which every upstream has answered and is warm.
func warmWorld(t *rapid.T) *world {
	w := newWorld(t)
	for range 100 {
		w.advance()
	}
	return w
}

// TestBookingRuns checks that an undisturbed booking runs, once.
func TestBookingRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(failer{t})
		w := warmWorld(t)
		b := &bookingSim{ref: uint64(rapid.IntRange(1, 40).Draw(t, "ref"))}
		w.bookings[b.ref] = b
		for range 2 {
			w.toAny(t, w.bookingPacket(b))
			for len(w.mail) > 0 {
				w.deliver(w.take(0))
			}
		}
		is.Equal(b.runs, 1)
	})
}

// failer lets is report to rapid.
type failer struct {
	*rapid.T
}

// Fail implements is.T.
func (f failer) Fail() { f.T.Fail() }

// FailNow implements is.T.
func (f failer) FailNow() { f.T.FailNow() }
