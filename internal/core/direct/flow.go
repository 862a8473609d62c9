package direct

import (
	"time"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

// flow is what this instance saw of one flow.
type flow struct {
	// up is where the flow's packets go; it is nil only before the first choice.
	up *roster.Upstream
	// tried holds every upstream that got the opening packet, in order.
	tried []*roster.Upstream
	// opening is the opening packet; it is nil once the flow is open or was not seen to open here.
	opening []byte
	// sent is when the opening packet last went to up.
	sent model.Instant
	// open is set once the caller was seen to hold an answer from up.
	open bool
	// counted is set while the flow counts in the load of up.
	counted bool
	// asked is when the last byte of the unanswered request went to up; zero for none.
	asked model.Instant
	// position is the end of the data that passed here.
	position uint32
	// received is the last acknowledgement of the caller.
	received uint32
	// ahead counts the data packets since the last sign of life from up.
	ahead int
	// missed is set once the unanswered data counted against up.
	missed bool
}

// count adds the open flow to the load of its upstream.
func (f *flow) count() {
	if !f.counted {
		f.counted = true
		f.up.Load.Flows++
	}
}

// ask notes that data of a request went to the upstream.
func (f *flow) ask(now model.Instant) {
	if f.asked == 0 {
		f.up.Load.Running++
	}
	f.asked = now
}

// answer notes that the upstream's answer has reached the caller.
func (f *flow) answer(now model.Instant) {
	if f.asked != 0 {
		f.up.Load.Running--
		f.up.Load.Observe(now.Sub(f.asked))
		f.asked = 0
	}
}

// end takes the flow out of the load of its upstream.
func (f *flow) end() {
	if f.asked != 0 {
		f.up.Load.Running--
		f.asked = 0
	}
	if f.counted {
		f.up.Load.Flows--
		f.counted = false
	}
}

// move sends the flow to another upstream; what counted at the old one ends.
func (f *flow) move(up *roster.Upstream) {
	if f.up == up {
		return
	}
	f.end()
	f.up = up
}

// wasTried reports whether the upstream got the opening packet.
func (f *flow) wasTried(up *roster.Upstream) bool {
	for _, t := range f.tried {
		if t == up {
			return true
		}
	}
	return false
}

// repeatAfter is below the time after which callers repeat data (200 ms); what comes sooner was overtaken on its way.
const repeatAfter = 150 * time.Millisecond

// waits reports whether the packet repeats data that got no answer; a flow that was not seen before is taken not to wait.
func (f *flow) waits(now model.Instant, seg *model.Segment) bool {
	return f != nil && f.open && f.asked != 0 && seg.Size > 0 && !after(seg.Seq+uint32(seg.Size), f.position) && now.Sub(f.asked) >= repeatAfter
}
