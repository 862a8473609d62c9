// Package share distributes snapshots of the platform's store within a failure domain. The reader, the instance that reads the store, publishes
// snapshots; the other instances poll it and get the changes since the snapshot that they have. Suspicions that upstreams or whole failure
// domains do not answer are distributed the same way.
package share

import (
	"context"
	"net"
	"net/netip"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"hawthorncourse/internal/base/count"
	"hawthorncourse/internal/core/clock"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/peer/links"
)

const (
	serviceName = "Share"
	nextMethod  = serviceName + ".Next"
	// CallMargin is how much longer than the requested wait a poll may take.
	CallMargin = 200 * time.Millisecond
	// maxWait bounds how long the server holds a poll open, whatever the caller requests.
	maxWait = 10 * time.Second
)

// ErrNoSnapshot means that the peer has no snapshot yet, or that its rate limit does not allow a full reply now.
var ErrNoSnapshot = eris.New("peer sent no snapshot: it has none yet or its rate limit is exceeded")

// OrdinalAssigner assigns ordinals to the instances that poll. It must be safe for concurrent use.
type OrdinalAssigner interface {
	// Ordinal returns the ordinal of the instance; it is zero if none is assigned.
	Ordinal(id model.InstanceID) model.Ordinal
}

// Config configures a Share.
type Config struct {
	// Self is the ID of this instance.
	Self model.InstanceID
	// Listener accepts RPC connections from peers.
	Listener net.Listener
	// Ordinals assigns ordinals to the instances that poll.
	Ordinals OrdinalAssigner
	// LinkMbps is the speed of the instance's own link in Mbit/s; zero if unknown.
	LinkMbps float64
	// OnSent, if not nil, is called with the bytes of each write to a peer.
	OnSent func(bytes int)
	// OnSuspicion is called with each suspicion received from another instance.
	OnSuspicion func(model.Suspicion)
	// OnLoads, if not nil, is called with loads of upstreams received from another instance that are newer than what this one knows.
	OnLoads func(model.LoadReport)
	// Clock reads the instance's own clock, which must also advance while the machine is suspended; nil selects one that need not.
	Clock func() time.Duration
	// OnEpoch, if not nil, is called when a reply has changed the epoch of the shared clock that Share.Clock returns.
	OnEpoch func()
	// Counts holds the counters.
	Counts *count.Set
}

// Share is both the server that publishes snapshots and the client that polls peers for theirs. It is safe for concurrent use.
type Share struct {
	cfg   Config
	start time.Time
	links *links.Pool
	// fullReplyLimiter bounds the bytes per second of full replies, and suspicionLimiter the broadcasts of suspicions.
	fullReplyLimiter, suspicionLimiter *rate.Limiter

	// clock is guarded by clockMu.
	clockMu sync.Mutex
	clock   *clock.Sync

	mu sync.Mutex
	// The fields below are guarded by mu.

	// latest is the last published snapshot.
	latest model.Snapshot
	// digest is that of latest; zero before the first snapshot.
	digest uint64
	// confirmedAt is when the store confirmed latest.
	confirmedAt time.Time
	// graceUntil is the end of the grace period after an outage of the store; until then, a missing registration is not conclusive.
	graceUntil time.Time
	// notifiedConfirmedAt and notifiedGraceUntil are confirmedAt and graceUntil as of the last publication that answered the polls that wait.
	notifiedConfirmedAt, notifiedGraceUntil time.Time
	// deltas holds the changes of the last publications, the oldest first; at most maxDeltas.
	deltas []delta
	// changed is closed and replaced at each publication of something new, each broadcast of a suspicion and when urgent loads are to be sent.
	changed chan struct{}
	// suspicions holds the latest suspicions. suspicionSeq is the sequence number of the last one; it starts at 1, as zero means none.
	suspicions   []model.Suspicion
	suspicionSeq uint64
	// seenSeqs holds the sequence number of the last suspicion received from the peer that was last polled.
	seenSeqs map[netip.AddrPort]uint64
	loads    loadTable
	ended    endedRuns
}

// New returns a Share without a snapshot. It does not answer peers before Run is called.
func New(cfg Config) *Share {
	return &Share{
		cfg: cfg, start: time.Now(), clock: newClockSync(),
		links:            links.New(links.Config{Name: "share", Local: cfg.Listener.Addr(), Counts: cfg.Counts, OnSent: cfg.OnSent}),
		fullReplyLimiter: newFullReplyLimiter(cfg.LinkMbps), changed: make(chan struct{}),
		suspicionLimiter: rate.NewLimiter(suspicionRate, suspicionRate), suspicionSeq: 1, seenSeqs: map[netip.AddrPort]uint64{}, loads: newLoadTable(),
		ended: newEndedRuns(cfg.LinkMbps),
	}
}

// SetLinkMbps replaces the speed of the instance's own link, in Mbit/s.
func (s *Share) SetLinkMbps(mbps float64) {
	s.fullReplyLimiter.SetLimit(fullReplyRate(mbps))
	s.fullReplyLimiter.SetBurst(int(fullReplyRate(mbps)))
	s.ended.limiter.SetLimit(endedRate(mbps))
	s.ended.limiter.SetBurst(int(endedRate(mbps)))
}

// Run answers peers until ctx is cancelled.
func (s *Share) Run(ctx context.Context) error {
	srv := rpc.NewServer()
	if err := srv.RegisterName(serviceName, &calls{share: s, ctx: ctx}); err != nil {
		return err
	}
	defer s.links.Close()
	return s.links.Serve(ctx, s.cfg.Listener, srv)
}

// Publish replaces the latest snapshot, which the store confirmed snap.Age ago. It answers the polls that wait unless the snapshot says nothing new: a reply
// to a reader that brings only loads leads to a publication too, up to four times a second.
func (s *Share) Publish(snap model.Snapshot) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	digest := snap.Digest()
	if digest != s.digest && s.digest != 0 {
		s.deltas = append(s.deltas, newDelta(&s.latest, &snap))
		s.deltas = s.deltas[max(len(s.deltas)-maxDeltas, 0):]
	}
	news := digest != s.digest || s.hasNews(now, &snap)
	s.digest = digest
	s.latest, s.confirmedAt, s.graceUntil = snap, now.Add(-snap.Age), now.Add(snap.GraceLeft)
	if news {
		s.notifiedConfirmedAt, s.notifiedGraceUntil = s.confirmedAt, s.graceUntil
		s.notifyWaiters()
	}
}

// hasNews reports whether a snapshot with the digest of the latest one differs from it in its revision or reader records, or by more than wakeInterval in the
// time of its confirmation or the end of its grace period; s.mu must be held.
func (s *Share) hasNews(now time.Time, snap *model.Snapshot) bool {
	if snap.At() != s.latest.At() || !slices.Equal(snap.Readers, s.latest.Readers) {
		return true
	}
	confirmed := now.Add(-snap.Age).Sub(s.notifiedConfirmedAt)
	grace := max(snap.GraceLeft, 0) - max(s.notifiedGraceUntil.Sub(now), 0)
	return confirmed.Abs() > wakeInterval || grace.Abs() > wakeInterval
}

// notifyWaiters answers the polls that wait; s.mu must be held.
func (s *Share) notifyWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Connect opens a connection to the peer for later polls.
func (s *Share) Connect(ctx context.Context, peer netip.AddrPort) error {
	return s.links.Connect(ctx, peer)
}

// Poll waits up to wait for the peer's next publication or suspicion. It returns have, the caller's snapshot, with the peer's changes applied.
func (s *Share) Poll(ctx context.Context, peer netip.AddrPort, have model.Snapshot, wait time.Duration) (snap model.Snapshot, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "poll %s", peer)
		}
	}()
	args := NextArgs{From: string(s.cfg.Self), Have: have.Digest(), Wait: int64(wait), Heard: s.lastSeenSeq(peer)}
	reply, err := s.next(ctx, peer, &args)
	if err != nil {
		return snap, err
	}
	s.handleSuspicions(peer, &reply)
	return s.applyReply(have, &args, &reply)
}

// PollAsReader is Poll for the reader of one failure domain at that of another. The returned snapshot also holds the reader records; suspicions of
// the other domain are not received.
func (s *Share) PollAsReader(ctx context.Context, peer netip.AddrPort, have model.Snapshot, wait time.Duration) (snap model.Snapshot, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "poll %s as a reader", peer)
		}
	}()
	args := NextArgs{From: string(s.cfg.Self), Have: have.Digest(), Wait: int64(wait), Readers: true}
	s.addLoads(&args, peer)
	reply, err := s.next(ctx, peer, &args)
	s.recordLoadStamp(peer, &reply, err)
	if err != nil {
		return snap, err
	}
	return s.applyReply(have, &args, &reply)
}

// applyReply returns have, the caller's snapshot, with the changes in a reply applied, and passes on the loads in it.
func (s *Share) applyReply(have model.Snapshot, args *NextArgs, reply *NextReply) (snap model.Snapshot, err error) {
	snap, err = snapshotFrom(have, reply)
	if err == nil && len(reply.Loads) > 0 {
		digest := args.Have
		if reply.Scope != scopeNothing {
			digest = snap.Digest()
		}
		s.receiveLoads(&snap, digest, reply)
	}
	return snap, err
}

// next makes the call of a poll. The age in the reply that it returns is that at the return, never less.
func (s *Share) next(ctx context.Context, peer netip.AddrPort, args *NextArgs) (reply NextReply, err error) {
	if args.Wait > 0 {
		// A poll that does not wait is for a first snapshot, which a long list would delay.
		args.WantEnded, args.HaveEnded = s.endedArgs(peer)
	}
	start, began, wait := time.Now(), s.ownTime(), time.Duration(args.Wait)
	if err = s.links.Call(ctx, peer, nextMethod, args, &reply, wait+CallMargin); err != nil {
		return reply, err
	}
	s.followClock(&reply, s.ownTime().Sub(began))
	transitTime := transit(time.Since(start), wait, time.Duration(reply.Held))
	reply.Age += int64(transitTime)
	reply.LoadAge = addAge(reply.LoadAge, int64(transitTime))
	s.receiveEnded(peer, reply.Ended, reply.EndedDigest, transitTime)
	return reply, nil
}

// transit returns the part of a call in which the peer did not hold it. Only one that took longer than its wait has a known part if the peer does not
// state held: a whole wait added to the age would make a peer of an earlier build count as outdated, and the store be read instead.
func transit(took, wait, held time.Duration) time.Duration {
	if held <= 0 {
		held = min(wait, maxWait)
	}
	return max(took-held, 0)
}

// snapshotFrom returns have with the changes in a reply applied.
func snapshotFrom(have model.Snapshot, reply *NextReply) (model.Snapshot, error) {
	if reply.Revision == 0 {
		return model.Snapshot{}, ErrNoSnapshot
	}
	return merge(have, reply)
}

// lastSeenSeq returns the sequence number of the last suspicion received from the peer; zero if another peer was polled since.
func (s *Share) lastSeenSeq(peer netip.AddrPort) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seenSeqs[peer]
}

// handleSuspicions passes on the suspicions in a reply.
func (s *Share) handleSuspicions(peer netip.AddrPort, reply *NextReply) {
	s.mu.Lock()
	clear(s.seenSeqs)
	s.seenSeqs[peer] = reply.Spread
	s.mu.Unlock()
	if susp := suspicionFromWire(reply.Doubts); !susp.Empty() {
		s.cfg.OnSuspicion(susp)
	}
}

// calls is the net/rpc receiver: its exported methods are what peers call.
type calls struct {
	share *Share
	ctx   context.Context
}

// Next is the RPC behind Poll. It replies after the next publication or suspicion, or when args.Wait is over. It replies immediately if the
// wait is zero or the caller lacks suspicions or wants ended runs that it lacks.
func (c *calls) Next(args NextArgs, reply *NextReply) error {
	s, start := c.share, time.Now()
	s.mergeSentLoads(&args)
	s.mu.Lock()
	changed := s.changed
	sendEnded, endedChanged := s.awaitedEnded(args.WantEnded, args.HaveEnded)
	pending := args.Heard != 0 && args.Heard < s.suspicionSeq
	s.mu.Unlock()
	if !pending && !sendEnded {
		c.await(args.Wait, changed, endedChanged)
	}
	var ordinal model.Ordinal
	if !args.Readers {
		ordinal = s.cfg.Ordinals.Ordinal(model.InstanceID(args.From))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.latest.Revision == 0 {
		return nil
	}
	now := time.Now()
	snap := s.latest
	snap.Age, snap.GraceLeft = now.Sub(s.confirmedAt), max(s.graceUntil.Sub(now), 0)
	s.fillReply(&snap, args.Have, reply)
	if args.Readers && reply.Revision != 0 {
		reply.Readers = readersToWire(snap.Readers)
	}
	reply.Doubts, reply.Spread = s.suspicionsAfter(args.Heard), s.suspicionSeq
	if sendEnded || s.allowEnded(args.WantEnded, args.HaveEnded) {
		reply.Ended, reply.EndedDigest = s.endedToWire()
	}
	if reply.Revision != 0 {
		reply.Index, reply.Of = ordinal.Index, ordinal.Count
		reply.Held = max(int64(now.Sub(start)), 1)
		s.stateClock(reply)
		s.fillLoads(now, &args, reply)
	}
	return nil
}

// await waits until one of two channels is closed, of which the second may be nil, or until a wait in nanoseconds is over.
func (c *calls) await(wait int64, changed, endedChanged <-chan struct{}) {
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(min(time.Duration(wait), maxWait))
	defer timer.Stop()
	select {
	case <-changed:
	case <-endedChanged:
	case <-timer.C:
	case <-c.ctx.Done():
	}
}

// fillReply fills a reply with what the caller lacks, given the digest of its snapshot; s.mu must be held.
func (s *Share) fillReply(snap *model.Snapshot, have uint64, reply *NextReply) {
	missing, ok := s.deltaSince(have)
	switch {
	case have == s.digest:
		*reply = toWire(snap, scopeNothing, delta{})
	case ok:
		*reply = toWire(snap, scopeChanges, missing)
	case s.fullReplyLimiter.AllowN(time.Now(), s.fullReplySize(snap)):
		*reply = toWire(snap, scopeAll, delta{})
	default:
		// An empty reply makes the caller turn to the store or to another instance. One more full reply would overload the link and delay the
		// replies to all callers.
		s.cfg.Counts.Counter("share.wholes_refused").Inc(1)
	}
}

// deltaSince returns the changes since the snapshot with the given digest; ok is false if they are no longer available. s.mu must be held.
func (s *Share) deltaSince(have uint64) (merged delta, ok bool) {
	for _, d := range s.deltas {
		if d.from == have {
			merged, ok = delta{}, true
		}
		if ok {
			merged.upstreams = append(merged.upstreams, d.upstreams...)
			merged.routes = append(merged.routes, d.routes...)
			merged.deletedUpstreams = append(merged.deletedUpstreams, d.deletedUpstreams...)
			merged.deletedRoutes = append(merged.deletedRoutes, d.deletedRoutes...)
		}
	}
	return merged, ok
}
