// Package crowd is callers that ask all the time: on flows that stay open, and with a flow each for requests that run at most once.
package crowd

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"hawthorncourse/platform/stand"
)

// triesLimit is how often a caller tries one request, as the platform's callers do.
const triesLimit = 3

// Kind is one kind of request.
type Kind struct {
	// Name begins the id of each request.
	Name string
	// Address is where flows are opened to, and Service is who must answer.
	Address netip.AddrPort
	Service string
	// Idempotent requests share a flow and are tried again after any failure; others have a flow each.
	Idempotent bool
}

// Config is what a Crowd is built from.
type Config struct {
	// Callers are used in turn.
	Callers []*stand.Caller
	// Kinds holds every kind of request.
	Kinds []Kind
	// Loops is the number of loops for each kind.
	Loops int
	// Deadline is when a caller gives a request up.
	Deadline time.Duration
	// Think is the pause between two requests of one loop.
	Think time.Duration
	// Reset is told of every reset of an open flow; it may be nil.
	Reset func(*stand.ResetError)
}

// Crowd is a running load.
type Crowd struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu sync.Mutex
	// All below is guarded by mu.
	counts Counts
	// since is when the counts began: what was asked before does not count.
	since  time.Time
	faults []string
}

// Counts is what callers saw of the requests that began after the last Forget.
type Counts struct {
	// Served and Failed count requests over all their tries.
	Served, Failed int
	// Broken counts open flows that ended before their request was answered.
	Broken int
	// Slowest is the longest time that a served request took.
	Slowest time.Duration
}

// Start lets callers ask until Stop.
func Start(ctx context.Context, cfg Config) *Crowd {
	c := &Crowd{cfg: cfg}
	c.ctx, c.cancel = context.WithCancel(ctx)
	for n := range cfg.Loops {
		for _, k := range cfg.Kinds {
			caller := cfg.Callers[n%len(cfg.Callers)]
			if k.Idempotent {
				c.wg.Go(func() { c.stream(caller, k, n) })
			} else {
				c.wg.Go(func() { c.fresh(caller, k, n) })
			}
		}
	}
	return c
}

// Stop ends the load and waits for it.
func (c *Crowd) Stop() {
	c.cancel()
	c.wg.Wait()
}

// Forget begins to count anew: a request that was under way by then may have been lost by what happened before.
func (c *Crowd) Forget() {
	c.count(func() { c.counts, c.since = Counts{}, time.Now() })
}

// Counts returns what was counted since the last Forget.
func (c *Crowd) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// Faults returns every answer that was not the caller's own.
func (c *Crowd) Faults() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.faults...)
}

func (c *Crowd) count(do func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	do()
}

// stream asks again and again on one flow and opens another when it ends.
func (c *Crowd) stream(caller *stand.Caller, k Kind, n int) {
	var f *stand.Flow
	for i := 0; c.ctx.Err() == nil; i++ {
		ctx, cancel := context.WithTimeout(c.ctx, c.cfg.Deadline)
		began := time.Now()
		err := errors.New("not tried")
		for try := 0; try < triesLimit && err != nil && ctx.Err() == nil; try++ {
			if f == nil {
				if f, err = caller.Open(ctx, k.Address); err != nil {
					continue
				}
			}
			if err = c.ask(ctx, f, k, fmt.Sprintf("%s-%d-%d-%d", k.Name, n, i, try)); err != nil {
				f = nil
				c.tally(began, func(counts *Counts) { counts.Broken++ })
			}
		}
		cancel()
		c.outcome(err, began)
		time.Sleep(c.cfg.Think)
	}
}

// fresh opens a flow for each request.
func (c *Crowd) fresh(caller *stand.Caller, k Kind, n int) {
	for i := 0; c.ctx.Err() == nil; i++ {
		ctx, cancel := context.WithTimeout(c.ctx, c.cfg.Deadline)
		began := time.Now()
		var f *stand.Flow
		err := stand.ErrNotOpened
		for try := 0; try < triesLimit && err != nil && ctx.Err() == nil; try++ {
			f, err = caller.Open(ctx, k.Address)
		}
		if err == nil {
			err = c.ask(ctx, f, k, fmt.Sprintf("%s-%d-%d", k.Name, n, i))
			f.Close()
		}
		cancel()
		c.outcome(err, began)
		time.Sleep(c.cfg.Think)
	}
}

func (c *Crowd) ask(ctx context.Context, f *stand.Flow, k Kind, id string) error {
	answer, err := f.Request(ctx, id)
	if err == nil && answer != k.Service+" "+id {
		c.count(func() { c.faults = append(c.faults, fmt.Sprintf("asked %q of %q, got %q", id, k.Service, answer)) })
	}
	var reset *stand.ResetError
	if errors.As(err, &reset) && c.cfg.Reset != nil {
		c.cfg.Reset(reset)
	}
	return err
}

func (c *Crowd) outcome(err error, began time.Time) {
	if c.ctx.Err() != nil {
		return
	}
	c.tally(began, func(counts *Counts) {
		if err != nil {
			counts.Failed++
			return
		}
		counts.Served++
		counts.Slowest = max(counts.Slowest, time.Since(began))
	})
}

// tally counts what a request met that began after the last Forget.
func (c *Crowd) tally(began time.Time, add func(*Counts)) {
	c.count(func() {
		if began.After(c.since) {
			add(&c.counts)
		}
	})
}
