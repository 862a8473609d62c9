package relay

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"hawthorncourse/internal/core/fresh"
	"hawthorncourse/internal/core/model"
)

const (
	// nudgePause is the least time between two reads that packets ask for.
	nudgePause = 300 * time.Millisecond
	// paceJitter spreads the reads of instances that started together.
	paceJitter = 50 * time.Millisecond
	// seedDelay is how long the store has to answer at the start before others are asked.
	seedDelay = 250 * time.Millisecond
	// seedPause is the time between two rounds of questions to seeds.
	seedPause = 500 * time.Millisecond
	// readLimit is above the time that the lists of the planned size take over the slowest link (10 Mbit/s).
	readLimit = 10 * time.Second
)

// errSilent is why a read ends whose answer does not come.
var errSilent = eris.New("the store has sent nothing for too long")

// follow is the duty that keeps the engine's knowledge young.
func (r *Relay) follow(ctx context.Context) error {
	k := r.keeper
	f := &follower{Relay: r}
	for ctx.Err() == nil {
		f.takeUp(ctx)
		seat := k.ReaderRecord()
		r.seat.Store(&seat)
		step, wait := k.Next(r.now())
		r.pause(ctx, wait)
		if ctx.Err() != nil {
			return nil
		}
		reading := k.IsReader()
		switch step {
		case fresh.StepPollReader:
			f.askReader(ctx)
		case fresh.StepClaimRole:
			f.claim(ctx)
		default:
			f.readStore(ctx)
		}
		if k.IsReader() != reading {
			r.part("platform").With("reading", k.IsReader()).With("holder", k.ReaderRecord().Holder).Info("Who reads the platform's store for the failure domain has changed.")
		}
	}
	return nil
}

// follower is the state of the follow duty.
type follower struct {
	*Relay
	// lost is set while the store does not answer here.
	lost bool
}

// pause waits until the next step is due or asked for.
func (r *Relay) pause(ctx context.Context, d time.Duration) {
	if d == 0 {
		return
	}
	early := min(d, nudgePause)
	sleep(ctx, early)
	t := time.NewTimer(max(d-early-rand.N(paceJitter), 0))
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.nudge:
	case <-ctx.Done():
	}
}

// readStore reads the seats, whose answer tells the store's revision, and all the rest if anything has changed.
func (f *follower) readStore(ctx context.Context) {
	start := f.now()
	work, cancel := f.patient(ctx, f.keeper.StoreTimeout())
	defer cancel()
	next, seats, err := f.readKnowledge(work)
	now := f.now()
	if ctx.Err() != nil {
		return
	}
	f.noteStore(err)
	if err != nil {
		f.keeper.FinishStoreRead(now, start, model.ReaderRecord{}, false)
		return
	}
	next.Age, next.GraceLeft = now.Sub(start), 0
	f.learn(ctx, next)
	f.keeper.FinishStoreRead(now, start, f.ownSeat(seats), true)
	f.places.confirm(now, start, f.keeper.IsReader())
	if f.keeper.IsReader() {
		f.take(ctx, f.places.Ordinal(f.cfg.Instance))
	}
}

// take lets the engine use the instance's number until it may belong to another.
func (f *follower) take(ctx context.Context, p model.Ordinal) {
	until := f.now().Add(f.places.life())
	f.place.Store(&p)
	f.do(ctx, func(model.Instant) { f.engine.SetOrdinal(p, until) })
}

// patient returns a context that ends when the store has sent nothing for the time, or after readLimit.
func (r *Relay) patient(ctx context.Context, silence time.Duration) (context.Context, context.CancelFunc) {
	ctx, stop := context.WithTimeout(ctx, readLimit)
	work, fail := context.WithCancelCause(ctx)
	began := time.Now()
	go func() {
		quiet := time.Duration(0)
		for quiet < silence && work.Err() == nil {
			sleep(work, silence-quiet)
			quiet = min(r.cfg.SinceStoreResponse(), time.Since(began))
		}
		fail(errSilent)
	}()
	return work, stop
}

// noteStore logs when the store is lost and when it is back.
func (f *follower) noteStore(err error) {
	log := f.part("platform")
	switch {
	case err != nil && !f.lost:
		log.With("error", err).Warn("The platform's store does not answer; what is known stays in force.")
	case err == nil && f.lost:
		log.Info("The platform's store answers again.")
	}
	f.lost = err != nil
}

// ownSeat returns the seat of the instance's failure domain.
func (r *Relay) ownSeat(seats []model.ReaderRecord) model.ReaderRecord {
	for _, s := range seats {
		if s.Domain == r.cfg.Domain {
			return s
		}
	}
	return model.ReaderRecord{Domain: r.cfg.Domain}
}

// askReader waits for the next word of the instance that reads for the failure domain.
func (f *follower) askReader(ctx context.Context) {
	seat := f.keeper.ReaderRecord()
	k, err := f.ask(ctx, seat.Control, f.keeper.ReaderTimeout())
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		f.counts.Counter("platform.reader_failed").Inc(1)
		f.part("platform").With("holder", seat.Holder).With("error", err).Warn("The instance that reads for the failure domain does not answer.")
	}
	f.keeper.FinishReaderPoll(f.now(), k.Age, err == nil)
	if err == nil {
		f.take(ctx, k.Ordinal)
	}
}

// ask takes over what another instance knows if it is newer.
func (r *Relay) ask(ctx context.Context, peer netip.AddrPort, wait time.Duration) (model.Snapshot, error) {
	k, err := r.share.Poll(ctx, peer, r.knowledge(), wait)
	if err != nil {
		return k, err
	}
	r.learn(ctx, k)
	return k, nil
}

// claim tries to become the instance that reads for the failure domain.
func (f *follower) claim(ctx context.Context) {
	seat := f.keeper.ReaderRecord()
	seat.Domain, seat.Holder, seat.Control = f.cfg.Domain, f.cfg.Instance, f.cfg.Control
	work, cancel := context.WithTimeout(ctx, f.keeper.StoreTimeout())
	defer cancel()
	now, err := f.cfg.ReaderRecords.Claim(work, seat)
	if err != nil {
		f.counts.Counter("platform.claim_failed").Inc(1)
		f.part("platform").With("error", err).Warn("The seat of the failure domain's reader was not taken.")
	} else {
		f.counts.Counter("platform.claims").Inc(1)
	}
	f.keeper.FinishClaim(f.now(), now, err == nil)
}

// askSeeds is the duty that asks other instances at the start if the store does not answer.
func (r *Relay) askSeeds(ctx context.Context) error {
	sleep(ctx, seedDelay)
	for ctx.Err() == nil && r.knowledge().Revision == 0 {
		if r.cfg.SinceStoreResponse() < seedDelay {
			// The store is telling all that there is, and its link is wider than that of a seed which everybody asks.
			sleep(ctx, seedDelay)
			continue
		}
		for _, seed := range r.limits.Load().Seeds {
			if seed == r.cfg.Control || r.knowledge().Revision != 0 {
				continue
			}
			if _, err := r.ask(ctx, seed, 0); err != nil {
				r.counts.Counter("platform.seed_failed").Inc(1)
			}
		}
		sleep(ctx, seedPause)
	}
	return nil
}

func (r *Relay) knowledge() model.Snapshot {
	r.knownMu.Lock()
	defer r.knownMu.Unlock()
	return r.known
}

// learn puts knowledge in force unless newer is, and tells those that ask here.
func (r *Relay) learn(ctx context.Context, k model.Snapshot) {
	r.knownMu.Lock()
	defer r.knownMu.Unlock()
	if k.Revision < r.known.Revision {
		return
	}
	k = k.KeepNewer(r.known)
	arrived := r.now()
	k.GraceLeft = r.trust.Confirm(arrived, arrived.Add(-k.Age), k.GraceLeft)
	newer := k.Digest() != r.known.Digest()
	first := r.known.Revision == 0
	r.known = k
	r.revision.Store(uint64(k.Revision))
	r.confirmed.Store(int64(arrived.Add(-k.Age)))
	r.share.Publish(k)
	r.do(ctx, func(now model.Instant) {
		r.engine.Roster().ExtendGrace(now.Add(k.GraceLeft))
		if newer {
			r.install(now, &k)
		}
		r.engine.Roster().Confirm(now, arrived.Add(-k.Age))
		if first {
			r.open(ctx, now)
		}
	})
}

// open lets the instance serve, if it does not yet; it is called by the decide duty.
func (r *Relay) open(ctx context.Context, now model.Instant) {
	if r.opened {
		return
	}
	r.opened = true
	r.act(ctx, now, r.engine.SetReady(now))
	r.serving.Store(!r.stopping.Load())
	r.part("relay").With("upstreams", r.engine.Roster().Len()).With("routesRevision", r.engine.Revision()).Info("Instance is ready.")
}

// install is called by the decide duty.
func (r *Relay) install(now model.Instant, k *model.Snapshot) {
	r.engine.Roster().SetOut(now, k.Out)
	r.engine.Roster().Sync(now, k.Upstreams)
	if r.engine.SetRoutes(k.Routes) {
		r.part("platform").With("version", k.Routes.Version).With("revision", k.Routes.Revision).With("routes", len(k.Routes.Routes)).
			With("age", k.Age).Info("A configuration is in force.")
	}
}
