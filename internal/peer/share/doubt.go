package share

import (
	"context"
	"net/netip"

	"github.com/rotisserie/eris"

	"hawthorncourse/internal/core/model"
)

const (
	doubtMethod = serviceName + ".Doubt"
	// doubtsKept is how many words of doubt are kept for instances that ask only after the next ones: a second of them at the rate at which
	// they are admitted.
	doubtsKept = doubtsEach
	// doubtsEach is how many words a second are passed on: each wakes every instance of the failure domain.
	doubtsEach = 20
)

// DoubtArgs is what one instance found silent.
type DoubtArgs struct {
	Upstreams []string
	Domains   []string
}

// Done is an empty reply.
type Done struct{}

// SendSuspicion gives word of doubt to the instance that reads for the failure domain.
func (s *Share) SendSuspicion(ctx context.Context, peer netip.AddrPort, d model.Suspicion) (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "tell %s", peer)
		}
	}()
	return s.links.Call(ctx, peer, doubtMethod, doubtToWire(d), &Done{}, CallMargin)
}

// BroadcastSuspicion passes word of doubt on to those that wait here.
func (s *Share) BroadcastSuspicion(d model.Suspicion) {
	if d.Empty() || !s.words.Allow() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.doubts = append(s.doubts, d)
	s.doubts = s.doubts[max(len(s.doubts)-doubtsKept, 0):]
	s.spread++
	s.wake()
}

// Doubt takes word of doubt from another instance.
func (c *calls) Doubt(args DoubtArgs, _ *Done) error {
	d := doubtFromWire(args)
	c.share.cfg.OnSuspicion(d)
	c.share.BroadcastSuspicion(d)
	return nil
}

// doubtsSince returns the words after the one that a caller heard last, if it is known which that is; s.mu is held.
func (s *Share) doubtsSince(heard uint64) (all DoubtArgs) {
	if heard == 0 || heard >= s.spread {
		return all
	}
	missed := int(min(s.spread-heard, uint64(len(s.doubts))))
	for _, d := range s.doubts[len(s.doubts)-missed:] {
		w := doubtToWire(d)
		all.Upstreams, all.Domains = append(all.Upstreams, w.Upstreams...), append(all.Domains, w.Domains...)
	}
	return all
}

func doubtToWire(d model.Suspicion) (w DoubtArgs) {
	for _, id := range d.Upstreams {
		w.Upstreams = append(w.Upstreams, string(id))
	}
	for _, id := range d.Domains {
		w.Domains = append(w.Domains, string(id))
	}
	return w
}

func doubtFromWire(w DoubtArgs) (d model.Suspicion) {
	for _, id := range w.Upstreams {
		d.Upstreams = append(d.Upstreams, model.UpstreamID(id))
	}
	for _, id := range w.Domains {
		d.Domains = append(d.Domains, model.DomainID(id))
	}
	return d
}
