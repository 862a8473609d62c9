// Package crowd generates a continuous load of requests. Idempotent requests share long-lived flows; every other request uses a flow of its
// own, because it must not run more than once.
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

// maxAttempts is the number of attempts that a caller makes for one request; it matches the platform's callers.
const maxAttempts = 3

// Workload is one kind of request.
type Workload struct {
	// Name is the prefix of the ID of each request.
	Name string
	// Address is the address that flows are opened to, and Service is the name of the service that must respond.
	Address netip.AddrPort
	Service string
	// Idempotent requests of one worker share a flow and are retried after any failure. Others use a new flow each and are not retried once the
	// flow is open.
	Idempotent bool
}

// Config configures a Generator.
type Config struct {
	// Callers are assigned to the workers in round-robin order.
	Callers []*stand.Caller
	// Workloads holds the kinds of requests to send.
	Workloads []Workload
	// Concurrency is the number of workers for each workload; a worker sends one request at a time.
	Concurrency int
	// Deadline is the time limit of one request, over all its attempts.
	Deadline time.Duration
	// ThinkTime is the pause between two requests of one worker.
	ThinkTime time.Duration
	// OnReset is called for every reset of an open flow; it may be nil.
	OnReset func(*stand.ResetError)
}

// Generator sends requests until it is stopped, checks the responses and counts the results.
type Generator struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu sync.Mutex
	// All below is guarded by mu.
	counts Counts
	// countingSince is the time of the last ResetCounts: requests that started earlier are not counted.
	countingSince  time.Time
	wrongResponses []string
}

// Counts holds the results of the requests that started after the last ResetCounts.
type Counts struct {
	// Served and Failed count requests by their final result; a request that succeeds on a later attempt is served.
	Served, Failed int
	// BrokenFlows counts failures on flows shared by idempotent requests: the flow was open, but a request on it got no response.
	BrokenFlows int
	// MaxLatency is the highest latency of a served request, over all its attempts.
	MaxLatency time.Duration
}

// Start starts the workers, which send requests until Stop is called or ctx ends.
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

// Stop cancels the requests in progress and waits until all workers have finished.
func (g *Generator) Stop() {
	g.cancel()
	g.wg.Wait()
}

// ResetCounts sets the counts to zero. Requests in progress are not counted, since they may still fail because of an earlier fault.
func (g *Generator) ResetCounts() {
	g.withLock(func() { g.counts, g.countingSince = Counts{}, time.Now() })
}

// Counts returns the results since the last ResetCounts.
func (g *Generator) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counts
}

// WrongResponses describes every response that came from the wrong service or belongs to another request.
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

// sendOnOneFlow sends requests on one flow, and opens a new flow after a failure.
func (g *Generator) sendOnOneFlow(caller *stand.Caller, w Workload, worker int) {
	var f *stand.Flow
	for i := 0; g.ctx.Err() == nil; i++ {
		ctx, cancel := context.WithTimeout(g.ctx, g.cfg.Deadline)
		started := time.Now()
		err := errors.New("request not attempted")
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

// sendOnNewFlows opens a new flow for each request. Only the opening is retried.
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

// request sends one request on an open flow and checks the response.
func (g *Generator) request(ctx context.Context, f *stand.Flow, w Workload, id string) error {
	response, err := f.Request(ctx, id)
	if err == nil && response != w.Service+" "+id {
		g.withLock(func() {
			g.wrongResponses = append(g.wrongResponses, fmt.Sprintf("request %q to service %q got response %q", id, w.Service, response))
		})
	}
	var reset *stand.ResetError
	if errors.As(err, &reset) && g.cfg.OnReset != nil {
		g.cfg.OnReset(reset)
	}
	return err
}

// recordResult counts the final result of a request, unless the generator was stopped meanwhile.
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

// update applies a change to the counts if the request started after the last ResetCounts.
func (g *Generator) update(started time.Time, apply func(*Counts)) {
	g.withLock(func() {
		if started.After(g.countingSince) {
			apply(&g.counts)
		}
	})
}
