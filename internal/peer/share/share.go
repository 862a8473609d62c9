// Package share carries what one instance knows from the platform to the others of its failure domain.
package share

import (
	"context"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"hawthorncourse/internal/base/count"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/peer/links"
)

const (
	serviceName = "Share"
	nextMethod  = serviceName + ".Next"
	// CallMargin is the time that a call may take beyond its wait.
	CallMargin = 200 * time.Millisecond
	// waitLimit bounds the time that a call waits here, whatever its caller asks.
	waitLimit = 10 * time.Second
)

// ErrNoSnapshot means that the peer knows nothing yet, or cannot tell all of it now.
var ErrNoSnapshot = eris.New("peer tells nothing now")

// OrdinalAssigner numbers the instances that ask; it may be called by several of them at once.
type OrdinalAssigner interface {
	// Ordinal returns the number of the instance; it is zero for none.
	Ordinal(id model.InstanceID) model.Ordinal
}

// Config is what a Share is built from.
type Config struct {
	// Self is this instance.
	Self model.InstanceID
	// Listener takes the calls of others.
	Listener net.Listener
	// Ordinals numbers those that ask.
	Ordinals OrdinalAssigner
	// LinkMbps is the speed of the instance's own link in Mbit/s; zero for unknown.
	LinkMbps float64
	// OnSuspicion takes what another instance found silent.
	OnSuspicion func(model.Suspicion)
	// Counts takes the counters.
	Counts *count.Set
}

// Share answers the calls of others and calls them.
type Share struct {
	cfg   Config
	links *links.Pool
	// wholes bounds the bytes of replies that hold everything, and words the words of doubt.
	wholes, words *rate.Limiter

	mu sync.Mutex
	// latest, confirmed, unsure and told are guarded by mu.
	latest model.Snapshot
	// digest is that of latest.
	digest uint64
	// confirmed is when the store confirmed latest.
	confirmed time.Time
	// unsure is until when a missing upstream proves nothing.
	unsure time.Time
	// steps holds what vanished at each of the last publications, the oldest first; at most stepsKept.
	steps []step
	// told is closed and replaced at each confirmation and each word of doubt.
	told chan struct{}
	// doubts holds the last words of doubt, and spread is how many there ever were, plus one; both are guarded by mu.
	doubts []model.Suspicion
	spread uint64
	// heard is the number of the last word that each peer has told; guarded by mu.
	heard map[netip.AddrPort]uint64
}

// New returns a share that serves once it runs.
func New(cfg Config) *Share {
	return &Share{
		cfg: cfg, links: links.New("share", cfg.Listener.Addr(), cfg.Counts), wholes: newWholes(cfg.LinkMbps), told: make(chan struct{}),
		words: rate.NewLimiter(doubtsEach, doubtsEach), spread: 1, heard: map[netip.AddrPort]uint64{},
	}
}

// SetLinkMbps replaces the speed of the instance's own link in Mbit/s.
func (s *Share) SetLinkMbps(mbps float64) {
	s.wholes.SetLimit(wholeRate(mbps))
	s.wholes.SetBurst(int(wholeRate(mbps)))
}

// Run answers calls until ctx ends.
func (s *Share) Run(ctx context.Context) error {
	srv := rpc.NewServer()
	if err := srv.RegisterName(serviceName, &calls{share: s, ctx: ctx}); err != nil {
		return err
	}
	defer s.links.Close()
	return s.links.Serve(ctx, s.cfg.Listener, srv)
}

// Publish tells those that wait what this instance knows as of now, less its age.
func (s *Share) Publish(k model.Snapshot) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	digest := k.Digest()
	if digest != s.digest && s.digest != 0 {
		s.steps = append(s.steps, newStep(&s.latest, &k))
		s.steps = s.steps[max(len(s.steps)-stepsKept, 0):]
	}
	s.digest = digest
	s.latest, s.confirmed, s.unsure = k, now.Add(-k.Age), now.Add(k.GraceLeft)
	s.wake()
}

// wake lets those that wait look again; s.mu is held.
func (s *Share) wake() {
	close(s.told)
	s.told = make(chan struct{})
}

// Poll asks a peer for its next word and returns what is known with it; have is what the caller knows.
func (s *Share) Poll(ctx context.Context, peer netip.AddrPort, have model.Snapshot, wait time.Duration) (k model.Snapshot, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "ask %s", peer)
		}
	}()
	var reply NextReply
	args := NextArgs{From: string(s.cfg.Self), Have: have.Digest(), Wait: int64(wait), Heard: s.heardOf(peer)}
	if err = s.links.Call(ctx, peer, nextMethod, args, &reply, wait+CallMargin); err != nil {
		return k, err
	}
	s.hear(peer, &reply)
	if reply.Revision == 0 {
		return k, ErrNoSnapshot
	}
	return merge(have, &reply)
}

// heardOf returns the number of the last word of doubt that the peer has told.
func (s *Share) heardOf(peer netip.AddrPort) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heard[peer]
}

// hear takes the words of doubt in a reply.
func (s *Share) hear(peer netip.AddrPort, reply *NextReply) {
	s.mu.Lock()
	clear(s.heard)
	s.heard[peer] = reply.Spread
	s.mu.Unlock()
	if d := doubtFromWire(reply.Doubts); !d.Empty() {
		s.cfg.OnSuspicion(d)
	}
}

// calls holds the methods that peers call.
type calls struct {
	share *Share
	ctx   context.Context
}

// Next answers at the next confirmation by the store or the next word of doubt, or with what is known when the wait is over; without a wait, at once.
func (c *calls) Next(args NextArgs, reply *NextReply) error {
	s := c.share
	s.mu.Lock()
	told := s.told
	behind := args.Heard != 0 && args.Heard < s.spread
	s.mu.Unlock()
	if args.Wait > 0 && !behind {
		timer := time.NewTimer(min(time.Duration(args.Wait), waitLimit))
		defer timer.Stop()
		select {
		case <-told:
		case <-timer.C:
		case <-c.ctx.Done():
		}
	}
	place := s.cfg.Ordinals.Ordinal(model.InstanceID(args.From))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.latest.Revision == 0 {
		return nil
	}
	now := time.Now()
	k := s.latest
	k.Age, k.GraceLeft = now.Sub(s.confirmed), max(s.unsure.Sub(now), 0)
	s.answer(&k, args.Have, reply)
	reply.Doubts, reply.Spread = s.doubtsSince(args.Heard), s.spread
	if reply.Revision != 0 {
		reply.Index, reply.Of = place.Index, place.Count
	}
	return nil
}

// answer fills a reply with what the caller lacks, which is told by the digest of what it has; s.mu is held.
func (s *Share) answer(k *model.Snapshot, have uint64, reply *NextReply) {
	missed, ok := s.since(have)
	switch {
	case have == s.digest:
		*reply = toWire(k, scopeNothing, step{})
	case ok:
		*reply = toWire(k, scopeChanges, missed)
	case s.wholes.AllowN(time.Now(), s.wholeSize(k)):
		*reply = toWire(k, scopeAll, step{})
	default:
		// An empty reply sends the caller elsewhere: more would arrive late at everybody.
		s.cfg.Counts.Counter("share.wholes_refused").Inc(1)
	}
}

// since returns what has changed after a state of knowledge; ok is false when that is not known any more. s.mu is held.
func (s *Share) since(have uint64) (all step, ok bool) {
	for _, st := range s.steps {
		if st.from == have {
			all, ok = step{}, true
		}
		if ok {
			all.upstreams = append(all.upstreams, st.upstreams...)
			all.routes = append(all.routes, st.routes...)
			all.goneUpstreams = append(all.goneUpstreams, st.goneUpstreams...)
			all.goneRoutes = append(all.goneRoutes, st.goneRoutes...)
		}
	}
	return all, ok
}
