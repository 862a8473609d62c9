package whole

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/plgd-dev/go-coap/v3/message/codes"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/stand/caller"
)

const (
	streamsEach  = 30
	bookersEach  = 8
	readersEach  = 6
	thinkTime    = 20 * time.Millisecond
	patience     = 4 * time.Second
	silenceLimit = 12 * time.Second
)

// booking is one booking and what its caller was told.
type booking struct {
	ref     string
	outcome caller.Outcome
	at      time.Time
}

// load is callers of every service at work until it is stopped.
type load struct {
	t      *testing.T
	s      *stage
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu sync.Mutex
	// all below is guarded by mu.
	bookings []booking
	reads    map[caller.Outcome]int
	crossed  []string
	refused  map[string]int
	streams  []caller.StreamReport
	live     map[int]caller.StreamReport
	serial   int
}

// startLoad sets callers to work on every service.
func (s *stage) startLoad() *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{t: s.t, s: s, cancel: cancel, reads: map[caller.Outcome]int{}, refused: map[string]int{}, live: map[int]caller.StreamReport{}}
	s.load = l
	s.t.Cleanup(func() { l.stop() })
	for id := range s.Services {
		for range streamsEach {
			l.spawn(ctx, id, l.stream)
		}
		for range bookersEach {
			l.spawn(ctx, id, l.book)
		}
		for range readersEach {
			l.spawn(ctx, id, l.read)
		}
	}
	return l
}

func (l *load) spawn(ctx context.Context, id model.ServiceID, work func(context.Context, *caller.Caller, int)) {
	l.mu.Lock()
	l.serial++
	n := l.serial
	l.mu.Unlock()
	c, err := caller.New(caller.Config{Local: l.s.CallerIP(), Service: l.s.Services[id], Seed: uint64(seed + n), Patience: patience})
	if err != nil {
		l.t.Fatal(err)
	}
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		defer c.Close()
		work(ctx, c, n)
	}()
}

// stop ends the load and waits for its callers.
func (l *load) stop() {
	l.cancel()
	l.wg.Wait()
}

func (l *load) stream(ctx context.Context, c *caller.Caller, n int) {
	r := c.Stream(ctx, caller.StreamConfig{Path: "alerts", Refresh: 2 * time.Second, Silence: silenceLimit}, func(r caller.StreamReport) {
		l.mu.Lock()
		l.live[n] = r
		l.mu.Unlock()
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.streams = append(l.streams, r)
}

func (l *load) book(ctx context.Context, c *caller.Caller, n int) {
	for k := 0; ctx.Err() == nil; k++ {
		ref := fmt.Sprintf("ref-%d-%d", n, k)
		res := c.Do(context.Background(), caller.Request{Code: codes.POST, Path: "bookings", Payload: ref})
		l.mu.Lock()
		if res.Outcome != caller.OutcomeDone {
			l.refused[res.Text]++
		}
		l.bookings = append(l.bookings, booking{ref: ref, outcome: res.Outcome, at: time.Now()})
		if res.Outcome == caller.OutcomeDone && !strings.HasSuffix(res.Text, " "+ref) {
			l.crossed = append(l.crossed, ref+" got "+res.Text)
		}
		l.mu.Unlock()
		time.Sleep(thinkTime)
	}
}

func (l *load) read(ctx context.Context, c *caller.Caller, n int) {
	for k := 0; ctx.Err() == nil; k++ {
		query := fmt.Sprintf("q=%d-%d", n, k)
		res := c.Do(context.Background(), caller.Request{Code: codes.GET, Path: "hives", Query: query})
		l.mu.Lock()
		l.reads[res.Outcome]++
		if res.Outcome != caller.OutcomeDone {
			l.refused[res.Text]++
		}
		if res.Outcome == caller.OutcomeDone && !strings.Contains(res.Text, " "+query+" ") {
			l.crossed = append(l.crossed, query+" got "+res.Text)
		}
		l.mu.Unlock()
		time.Sleep(thinkTime)
	}
}

// awaitStreams waits until every stream is open.
func (l *load) awaitStreams() {
	l.t.Helper()
	deadline := time.Now().Add(startLimit)
	for {
		open := 0
		l.mu.Lock()
		for _, r := range l.live {
			if r.Opened {
				open++
			}
		}
		l.mu.Unlock()
		if open == streamsEach*len(l.s.Services) {
			return
		}
		if time.Now().After(deadline) {
			l.t.Fatalf("only %d streams are open", open)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// broken returns how many streams broke so far.
func (l *load) broken() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.live {
		if r.Broken() > 0 {
			n++
		}
	}
	return n
}

// outcomes counts the bookings that ended after since, by outcome.
func (l *load) outcomes(since time.Time) map[caller.Outcome]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[caller.Outcome]int{}
	for _, b := range l.bookings {
		if b.at.After(since) {
			out[b.outcome]++
		}
	}
	return out
}
