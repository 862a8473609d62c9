package share

import (
	"context"
	"net/netip"

	"github.com/rotisserie/eris"

	"hawthorncourse/internal/core/model"
)

const (
	suspicionMethod = serviceName + ".Doubt"
	// suspicionBacklog is the number of suspicions kept for instances that poll late: one second's worth.
	suspicionBacklog = suspicionRate
	// suspicionRate is the maximum number of broadcasts per second. It is limited because each broadcast makes all instances of the failure
	// domain poll again.
	suspicionRate = 20
)

// DoubtArgs carries suspicions: the names of upstreams and failure domains that do not answer an instance.
type DoubtArgs struct {
	Upstreams []string
	Domains   []string
}

// Done is an empty reply.
type Done struct{}

// SendSuspicion sends a suspicion to a peer, which broadcasts it.
func (s *Share) SendSuspicion(ctx context.Context, peer netip.AddrPort, susp model.Suspicion) (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "send suspicion to %s", peer)
		}
	}()
	return s.links.Call(ctx, peer, suspicionMethod, suspicionToWire(susp), &Done{}, CallMargin)
}

// BroadcastSuspicion sends a suspicion to the instances that poll this one. Suspicions beyond suspicionRate are dropped.
func (s *Share) BroadcastSuspicion(susp model.Suspicion) {
	if susp.Empty() || !s.suspicionLimiter.Allow() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspicions = append(s.suspicions, susp)
	s.suspicions = s.suspicions[max(len(s.suspicions)-suspicionBacklog, 0):]
	s.suspicionSeq++
	s.notifyWaiters()
}

// Doubt is the RPC behind SendSuspicion.
func (c *calls) Doubt(args DoubtArgs, _ *Done) error {
	susp := suspicionFromWire(args)
	c.share.cfg.OnSuspicion(susp)
	c.share.BroadcastSuspicion(susp)
	return nil
}

// suspicionsAfter returns the suspicions after a sequence number, merged into one; none if that is zero. s.mu must be held.
func (s *Share) suspicionsAfter(seq uint64) (merged DoubtArgs) {
	if seq == 0 || seq >= s.suspicionSeq {
		return merged
	}
	n := int(min(s.suspicionSeq-seq, uint64(len(s.suspicions))))
	for _, susp := range s.suspicions[len(s.suspicions)-n:] {
		w := suspicionToWire(susp)
		merged.Upstreams, merged.Domains = append(merged.Upstreams, w.Upstreams...), append(merged.Domains, w.Domains...)
	}
	return merged
}

func suspicionToWire(susp model.Suspicion) (w DoubtArgs) {
	for _, id := range susp.Upstreams {
		w.Upstreams = append(w.Upstreams, string(id))
	}
	for _, id := range susp.Domains {
		w.Domains = append(w.Domains, string(id))
	}
	return w
}

func suspicionFromWire(w DoubtArgs) (susp model.Suspicion) {
	for _, id := range w.Upstreams {
		susp.Upstreams = append(susp.Upstreams, model.UpstreamID(id))
	}
	for _, id := range w.Domains {
		susp.Domains = append(susp.Domains, model.DomainID(id))
	}
	return susp
}
