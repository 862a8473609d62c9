package direct

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"hawthorncourse/platform/stand"
)

// load is callers that ask all the time: on long flows, and with a flow each for requests that run once.
type load struct {
	s      *stage
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu sync.Mutex
	// All below is guarded by mu.
	served, failed, broken int
	slowest                time.Duration
	unknown                map[string]bool
	faults                 []string
}

func startLoad(s *stage) *load {
	l := &load{s: s, unknown: map[string]bool{}}
	l.ctx, l.cancel = context.WithCancel(s.ctx)
	for n := range 6 {
		l.wg.Add(3)
		go l.stream(n)
		go l.fresh(n, orderAddress, "desk")
		go l.fresh(n, photoAddress, "claims")
	}
	return l
}

func (l *load) stop() {
	if l != nil {
		l.cancel()
		l.wg.Wait()
	}
}

// reset forgets what was counted so far.
func (l *load) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.served, l.failed, l.broken, l.slowest = 0, 0, 0, 0
}

// counts returns what was counted since the last reset.
func (l *load) counts() (served, failed, broken int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.served, l.failed, l.broken
}

// stream asks again and again on one flow and opens another when it ends; idempotent requests are tried three times.
func (l *load) stream(n int) {
	defer l.wg.Done()
	var f *stand.Flow
	for i := 0; l.ctx.Err() == nil; i++ {
		ctx, cancel := context.WithTimeout(l.ctx, deadline)
		began := time.Now()
		err := errors.New("not tried")
		for try := 0; try < 3 && err != nil && ctx.Err() == nil; try++ {
			if f == nil {
				if f, err = l.s.caller.Open(ctx, feedAddress); err != nil {
					continue
				}
			}
			if err = l.ask(ctx, f, "desk", fmt.Sprintf("feed-%d-%d-%d", n, i, try)); err != nil {
				f = nil
				l.count(func() { l.broken++ })
			}
		}
		cancel()
		l.outcome(err, time.Since(began))
		time.Sleep(thinkTime)
	}
}

// fresh opens a flow for each request, which runs at most once.
func (l *load) fresh(n int, service netip.AddrPort, name string) {
	defer l.wg.Done()
	for i := 0; l.ctx.Err() == nil; i++ {
		ctx, cancel := context.WithTimeout(l.ctx, deadline)
		began := time.Now()
		var f *stand.Flow
		err := stand.ErrNotOpened
		for try := 0; try < 3 && err != nil && ctx.Err() == nil; try++ {
			f, err = l.s.caller.Open(ctx, service)
		}
		if err == nil {
			id := fmt.Sprintf("%s-%d-%d", name, n, i)
			if err = l.ask(ctx, f, name, id); err != nil {
				l.count(func() { l.unknown[id] = true })
			}
			f.Close()
		}
		cancel()
		l.outcome(err, time.Since(began))
		time.Sleep(thinkTime)
	}
}

func (l *load) ask(ctx context.Context, f *stand.Flow, service, id string) error {
	answer, err := f.Ask(ctx, id)
	if err == nil && answer != service+" "+id {
		l.count(func() { l.faults = append(l.faults, fmt.Sprintf("asked %q of %q, got %q", id, service, answer)) })
	}
	return err
}

func (l *load) count(do func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	do()
}

func (l *load) outcome(err error, took time.Duration) {
	if l.ctx.Err() != nil {
		return
	}
	l.count(func() {
		if err != nil {
			l.failed++
			return
		}
		l.served++
		l.slowest = max(l.slowest, took)
	})
}
