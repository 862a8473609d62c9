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

// maxAttempts is how often a caller tries one request, as the platform's callers do.
const maxAttempts = 3

// Workload is one kind of request.
type Workload struct {
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
	// Workloads holds every kind of request.
	Workloads []Workload
	// Concurrency is the number of loops for each kind.
	Concurrency int
	// Deadline is when a caller gives a request up.
	Deadline time.Duration
	// ThinkTime is the pause between two requests of one loop.
	ThinkTime time.Duration
	// OnReset is told of every reset of an open flow; it may be nil.
	OnReset func(*stand.ResetError)
}

// Generator is a running load.
type Generator struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu sync.Mutex
	// All below is guarded by mu.
	counts Counts
	// countingSince is when the counts began: what was asked before does not count.
	countingSince  time.Time
	wrongResponses []string
}

// Counts is what callers saw of the requests that began after the last Forget.
type Counts struct {
	// Served and Failed count requests over all their tries.
	Served, Failed int
	// BrokenFlows counts open flows that ended before their request was answered.
	BrokenFlows int
	// MaxLatency is the longest time that a served request took.
	MaxLatency time.Duration
}

// Start lets callers ask until Stop.
func Start(ctx context.Context, cfg Config) *Generator {
	g := &Generator{cfg: cfg}
	g.ctx, g.cancel = context.WithCancel(ctx)
	for worker := range cfg.Concurrency {
		for _, w := range cfg.Workloads {
			caller := cfg.Callers[worker%len(cfg.Callers)]
			if w.Idempotent {
				g.wg.Go(func() { g.sendOnOneFlow(caller, w, worker) })
			} else {
				g.wg.Go(func() { g.sendOnNewFlows(caller, w, worker) })
			}
		}
	}
	return g
}

// Stop ends the load and waits for it.
func (g *Generator) Stop() {
	g.cancel()
	g.wg.Wait()
}

// ResetCounts begins to count anew: a request that was under way by then may have been lost by what happened before.
func (g *Generator) ResetCounts() {
	g.withLock(func() { g.counts, g.countingSince = Counts{}, time.Now() })
}

// Counts returns what was counted since the last Forget.
func (g *Generator) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counts
}

// WrongResponses returns every answer that was not the caller's own.
func (g *Generator) WrongResponses() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string(nil), g.wrongResponses...)
}

func (g *Generator) withLock(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f()
}

// sendOnOneFlow asks again and again on one flow and opens another when it ends.
func (g *Generator) sendOnOneFlow(caller *stand.Caller, w Workload, worker int) {
	var f *stand.Flow
	for i := 0; g.ctx.Err() == nil; i++ {
		ctx, cancel := context.WithTimeout(g.ctx, g.cfg.Deadline)
		started := time.Now()
		err := errors.New("not tried")
		for attempt := 0; attempt < maxAttempts && err != nil && ctx.Err() == nil; attempt++ {
			if f == nil {
				if f, err = caller.Open(ctx, w.Address); err != nil {
					continue
				}
			}
			if err = g.request(ctx, f, w, fmt.Sprintf("%s-%d-%d-%d", w.Name, worker, i, attempt)); err != nil {
				f = nil
				g.update(started, func(counts *Counts) { counts.BrokenFlows++ })
			}
		}
		cancel()
		g.recordResult(err, started)
		time.Sleep(g.cfg.ThinkTime)
	}
}

// sendOnNewFlows opens a flow for each request.
func (g *Generator) sendOnNewFlows(caller *stand.Caller, w Workload, worker int) {
	for i := 0; g.ctx.Err() == nil; i++ {
		ctx, cancel := context.WithTimeout(g.ctx, g.cfg.Deadline)
		started := time.Now()
		var f *stand.Flow
		err := stand.ErrNotOpened
		for attempt := 0; attempt < maxAttempts && err != nil && ctx.Err() == nil; attempt++ {
			f, err = caller.Open(ctx, w.Address)
		}
		if err == nil {
			err = g.request(ctx, f, w, fmt.Sprintf("%s-%d-%d", w.Name, worker, i))
			f.Close()
		}
		cancel()
		g.recordResult(err, started)
		time.Sleep(g.cfg.ThinkTime)
	}
}

func (g *Generator) request(ctx context.Context, f *stand.Flow, w Workload, id string) error {
	response, err := f.Request(ctx, id)
	if err == nil && response != w.Service+" "+id {
		g.withLock(func() {
			g.wrongResponses = append(g.wrongResponses, fmt.Sprintf("asked %q of %q, got %q", id, w.Service, response))
		})
	}
	var reset *stand.ResetError
	if errors.As(err, &reset) && g.cfg.OnReset != nil {
		g.cfg.OnReset(reset)
	}
	return err
}

func (g *Generator) recordResult(err error, started time.Time) {
	if g.ctx.Err() != nil {
		return
	}
	g.update(started, func(counts *Counts) {
		if err != nil {
			counts.Failed++
			return
		}
		counts.Served++
		counts.MaxLatency = max(counts.MaxLatency, time.Since(started))
	})
}

// update counts what a request met that began after the last Forget.
func (g *Generator) update(started time.Time, apply func(*Counts)) {
	g.withLock(func() {
		if started.After(g.countingSince) {
			apply(&g.counts)
		}
	})
}
