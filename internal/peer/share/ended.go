package share

import (
	"context"
	"net/netip"
	"net/rpc"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"hawthorncourse/internal/core/model"
)

const (
	endedMethod = serviceName + ".Ended"
	// maxEnded bounds the ended runs in a reply, of which the newest are kept: 141 KB for short names, 0.12 s of a link of 10 Mbit/s.
	maxEnded = 2000
	// endedShare is the share of the instance's own link that lists of ended runs may take. They are sent to starting instances only, and full replies,
	// without which those cannot serve, must not wait for them.
	endedShare = 0.1
	// unknownMethod is the start of the error of net/rpc for a method that the peer does not have.
	unknownMethod = "rpc: can't find method"
	// endedBytes is the encoded size of an ended run, for names as long as the platform's.
	endedBytes = upstreamBytes + 10
)

// EndedRun is a model.EndedRun on the wire. Age is in nanoseconds, at the time at which the reply was written.
type EndedRun struct {
	Upstream Upstream
	Era      uint64
	Age      int64
	Replaced bool
}

// EndedArgs are the arguments of a request for ended runs.
type EndedArgs struct {
	// Have is the digest of the last list that the caller received from this peer; zero for none.
	Have uint64
	// Wait is the maximum wait for another list, in nanoseconds.
	Wait int64
}

// EndedReply holds the ended runs that the peer knows, and their digest. Both are zero if the caller has that list or if the rate limit does not
// allow to send it now. Held is the time from the arrival of the request to the reply, in nanoseconds.
type EndedReply struct {
	Ended  []EndedRun
	Digest uint64
	Held   int64
}

// endedRuns holds the ended runs that an instance offers to others, and those that it has received. It is guarded by Share.mu.
type endedRuns struct {
	// offered holds the published runs, whose ages are those at publishedAt, and digest is theirs.
	offered     []model.EndedRun
	digest      uint64
	publishedAt time.Time
	// changed is closed and replaced at each publication. Only polls that ask for ended runs wait for it.
	changed chan struct{}
	limiter *rate.Limiter
	// wanted is set while polls ask for ended runs.
	wanted bool
	// have holds the digest of the last list received from each peer.
	have map[netip.AddrPort]uint64
	// unsupported holds the peers of an earlier build, which do not have the method of RequestEnded. Its error closes the connection, and fails the polls on it.
	unsupported map[netip.AddrPort]bool
	// received holds the runs received since TakeEnded, whose ages are those at receivedAt.
	received   []model.EndedRun
	receivedAt time.Time
}

func newEndedRuns(linkMbps float64) endedRuns {
	return endedRuns{
		changed: make(chan struct{}), limiter: rate.NewLimiter(endedRate(linkMbps), int(endedRate(linkMbps))),
		have: map[netip.AddrPort]uint64{}, unsupported: map[netip.AddrPort]bool{},
	}
}

// endedRate returns the bytes per second that lists of ended runs may take.
func endedRate(linkMbps float64) rate.Limit {
	return fullReplyRate(linkMbps) * endedShare / fullReplyShare
}

// PublishEnded replaces the ended runs that are offered to instances which have started recently. The list is ordered from the oldest to the newest; only the
// newest maxEnded are offered.
func (s *Share) PublishEnded(list []model.EndedRun) {
	if omitted := len(list) - maxEnded; omitted > 0 {
		s.cfg.Counts.Counter("share.ended_omitted").Inc(int64(omitted))
		list = list[omitted:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e := &s.ended
	e.offered, e.digest, e.publishedAt = list, model.EndedDigest(list), time.Now()
	close(e.changed)
	e.changed = make(chan struct{})
}

// SetWantEnded sets whether polls ask for ended runs from now on.
func (s *Share) SetWantEnded(want bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended.wanted = want
	if !want {
		clear(s.ended.have)
		clear(s.ended.unsupported)
	}
}

// TakeEnded returns the ended runs that polls have received since the last call.
func (s *Share) TakeEnded() []model.EndedRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs, waited := s.ended.received, time.Since(s.ended.receivedAt)
	s.ended.received = nil
	for i := range runs {
		runs[i].Age += waited
	}
	return runs
}

// RequestEnded asks a peer for the ended runs that it knows, without a snapshot, and waits up to wait for a list that this instance lacks. The lead reader
// polls no other instance, so it asks this way. A peer of an earlier build, which does not know such requests, gets a single one; later calls do nothing.
func (s *Share) RequestEnded(ctx context.Context, peer netip.AddrPort, wait time.Duration) (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "request ended runs of %s", peer)
		}
	}()
	if s.endedUnsupported(peer) {
		return nil
	}
	_, have := s.endedArgs(peer)
	var reply EndedReply
	start := time.Now()
	if err = s.links.Call(ctx, peer, endedMethod, EndedArgs{Have: have, Wait: int64(wait)}, &reply, wait+CallMargin); err != nil {
		s.recordUnsupported(peer, err)
		return err
	}
	s.receiveEnded(peer, reply.Ended, reply.Digest, transit(time.Since(start), wait, time.Duration(reply.Held)))
	return nil
}

// endedUnsupported reports whether the peer has replied that it does not know requests for ended runs.
func (s *Share) endedUnsupported(peer netip.AddrPort) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended.unsupported[peer]
}

// recordUnsupported records that the peer does not know requests for ended runs, if err says so. While no ended runs are wanted, nothing is recorded.
func (s *Share) recordUnsupported(peer netip.AddrPort, err error) {
	var replied rpc.ServerError
	if !eris.As(err, &replied) || !strings.HasPrefix(string(replied), unknownMethod) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended.wanted {
		s.ended.unsupported[peer] = true
	}
}

// Ended is the RPC behind RequestEnded. It replies at once if the caller lacks the published list, and else at the next publication or when args.Wait is over.
func (c *calls) Ended(args EndedArgs, reply *EndedReply) error {
	s, start := c.share, time.Now()
	s.mu.Lock()
	allowed, changed := s.awaitedEnded(true, args.Have)
	s.mu.Unlock()
	if !allowed {
		c.await(args.Wait, changed, nil)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if allowed || s.allowEnded(true, args.Have) {
		reply.Ended, reply.Digest = s.endedToWire()
	}
	reply.Held = max(int64(time.Since(start)), 1)
	return nil
}

// endedArgs returns what a poll of the peer states about ended runs.
func (s *Share) endedArgs(peer netip.AddrPort) (want bool, have uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended.wanted, s.ended.have[peer]
}

// allowEnded reports whether a reply must hold the ended runs: the caller wants them, it lacks the published list, and the rate limit allows it, which
// is then used up. s.mu must be held.
func (s *Share) allowEnded(want bool, have uint64) bool {
	e := &s.ended
	if !want || e.digest == 0 || e.digest == have {
		return false
	}
	if !e.limiter.AllowN(time.Now(), min(len(e.offered)*endedBytes, e.limiter.Burst())) {
		s.cfg.Counts.Counter("share.ended_refused").Inc(1)
		return false
	}
	return true
}

// awaitedEnded returns what allowEnded does and, if the caller wants the ended runs, the channel that is closed when they change next. s.mu must be held.
func (s *Share) awaitedEnded(want bool, have uint64) (allowed bool, changed <-chan struct{}) {
	if !want {
		return false, nil
	}
	return s.allowEnded(want, have), s.ended.changed
}

// endedToWire returns the published ended runs, with their present ages, and their digest. s.mu must be held.
func (s *Share) endedToWire() (list []EndedRun, digest uint64) {
	e, since := &s.ended, time.Since(s.ended.publishedAt)
	list = make([]EndedRun, len(e.offered))
	for i := range e.offered {
		run := &e.offered[i]
		list[i] = EndedRun{Upstream: upstreamToWire(&run.Registration), Era: uint64(run.Era), Age: int64(run.Age + since), Replaced: run.Replaced}
	}
	return list, e.digest
}

// receiveEnded keeps the ended runs in a reply for TakeEnded; transit is how long the reply may have been under way. A digest of zero means that there are
// none. Runs that cannot be decoded are left out.
func (s *Share) receiveEnded(peer netip.AddrPort, list []EndedRun, digest uint64, transit time.Duration) {
	if digest == 0 {
		return
	}
	list = list[max(len(list)-maxEnded, 0):]
	runs := make([]model.EndedRun, 0, len(list))
	for i := range list {
		w := &list[i]
		if reg, err := upstreamFromWire(&w.Upstream); err == nil {
			runs = append(runs, model.EndedRun{Registration: reg, Era: model.Era(w.Era), Age: time.Duration(w.Age) + transit, Replaced: w.Replaced})
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e, now := &s.ended, time.Now()
	if !e.wanted {
		return
	}
	for i := range e.received {
		e.received[i].Age += now.Sub(e.receivedAt)
	}
	e.have[peer], e.receivedAt = digest, now
	e.received = append(e.received, runs...)
	e.received = e.received[max(len(e.received)-maxEnded, 0):]
}
