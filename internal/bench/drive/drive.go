// Package drive generates load on a fleet and verifies the responses that callers received against the statistics of the upstreams.
package drive

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"hawthorncourse/internal/bench/fleet"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/stand/caller"
)

const (
	// requestTimeout is the time after which a caller abandons a request.
	requestTimeout = 4 * time.Second
	// stallTimeout is the time without notifications after which a stream counts as broken.
	stallTimeout = 12 * time.Second
	pollInterval = 50 * time.Millisecond
	// maxLatencyMicros and significantDigits are the range and the precision of the latency histogram.
	maxLatencyMicros  = int64(time.Minute / time.Microsecond)
	significantDigits = 3
)

// Config holds the parameters of a Load.
type Config struct {
	Fleet *fleet.Fleet
	// Streams, Bookers and Readers are the numbers of callers of each service that keep a stream open, send bookings and send reads, respectively.
	Streams, Bookers, Readers int
	// ThinkTime is the pause of a caller between two requests.
	ThinkTime time.Duration
	// RefreshInterval is the interval at which streams are refreshed.
	RefreshInterval time.Duration
	// Seed initializes the random number generators of the callers.
	Seed uint64
}

// Booking is a booking request, identified by its unique reference, with the outcome that its caller received.
type Booking struct {
	Ref         string
	Outcome     caller.Outcome
	CompletedAt time.Time
}

// Stream is the report of a stream.
type Stream struct {
	caller.StreamReport
	// FirstUpstream is the name of the upstream that the stream was first opened at.
	FirstUpstream string
}

// Load is a set of callers that send requests to every service until it is stopped.
type Load struct {
	cfg    Config
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu sync.Mutex
	// The fields below are guarded by mu, except lastCaller, which only Start uses.
	bookings       []Booking
	reads          map[caller.Outcome]int
	wrongResponses []string
	refused        map[string]int
	streams        map[int]Stream
	latency        *hdrhistogram.Histogram
	lastCaller     int
}

// Start starts the callers of every service.
func Start(cfg Config) (*Load, error) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Load{
		cfg:     cfg,
		cancel:  cancel,
		reads:   map[caller.Outcome]int{},
		refused: map[string]int{},
		streams: map[int]Stream{},
		latency: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
	}
	for id := range cfg.Fleet.Services {
		workloads := []struct {
			count int
			work  func(context.Context, *caller.Caller, int)
		}{
			{count: cfg.Streams, work: l.runStream},
			{count: cfg.Bookers, work: l.runBookings},
			{count: cfg.Readers, work: l.runReads},
		}
		for _, w := range workloads {
			for range w.count {
				if err := l.startCaller(ctx, id, w.work); err != nil {
					l.Stop()
					return nil, err
				}
			}
		}
	}
	return l, nil
}

// startCaller runs work in a new goroutine with its own caller.
func (l *Load) startCaller(ctx context.Context, id model.ServiceID, work func(context.Context, *caller.Caller, int)) error {
	l.lastCaller++
	n := l.lastCaller
	c, err := caller.New(caller.Config{
		Local:   l.cfg.Fleet.CallerIP(),
		Service: l.cfg.Fleet.Services[id],
		Seed:    l.cfg.Seed + uint64(n),
		Timeout: requestTimeout,
	})
	if err != nil {
		return err
	}
	l.wg.Go(func() {
		defer c.Close()
		work(ctx, c, n)
	})
	return nil
}

// Stop stops the load and waits until the callers have finished their current requests. It may be called more than once.
func (l *Load) Stop() {
	l.cancel()
	l.wg.Wait()
}

// runStream keeps a stream open until ctx is done.
func (l *Load) runStream(ctx context.Context, c *caller.Caller, n int) {
	cfg := caller.StreamConfig{Path: "alerts", RefreshInterval: l.cfg.RefreshInterval, StallTimeout: stallTimeout}
	c.RunStream(ctx, cfg, func(r caller.StreamReport) {
		l.mu.Lock()
		defer l.mu.Unlock()
		s := l.streams[n]
		s.StreamReport = r
		if s.FirstUpstream == "" {
			s.FirstUpstream, _, _ = strings.Cut(r.StreamID, "/")
		}
		l.streams[n] = s
	})
}

// runBookings sends bookings in sequence until ctx is done.
func (l *Load) runBookings(ctx context.Context, c *caller.Caller, n int) {
	for k := 0; ctx.Err() == nil; k++ {
		ref := fmt.Sprintf("ref-%d-%d", n, k)
		res := c.Do(context.Background(), caller.Request{Code: codes.POST, Path: "bookings", Payload: ref})
		l.mu.Lock()
		l.bookings = append(l.bookings, Booking{Ref: ref, Outcome: res.Outcome, CompletedAt: time.Now()})
		l.recordResult(res, strings.HasSuffix(res.Payload, " "+ref), ref)
		l.mu.Unlock()
		time.Sleep(l.cfg.ThinkTime)
	}
}

// runReads sends reads in sequence until ctx is done.
func (l *Load) runReads(ctx context.Context, c *caller.Caller, n int) {
	for k := 0; ctx.Err() == nil; k++ {
		query := fmt.Sprintf("q=%d-%d", n, k)
		res := c.Do(context.Background(), caller.Request{Code: codes.GET, Path: "hives", Query: query})
		l.mu.Lock()
		l.reads[res.Outcome]++
		l.recordResult(res, strings.Contains(res.Payload, " "+query+" "), query)
		l.mu.Unlock()
		time.Sleep(l.cfg.ThinkTime)
	}
}

// recordResult records the result of a request; matches reports whether the response belongs to the request. mu must be held.
func (l *Load) recordResult(res caller.Result, matches bool, request string) {
	if res.Outcome != caller.OutcomeDone {
		l.refused[res.Outcome.String()+": "+res.Payload]++
		return
	}
	_ = l.latency.RecordValue(res.Latency.Microseconds())
	if !matches {
		l.wrongResponses = append(l.wrongResponses, request+" received "+res.Payload)
	}
}

// AwaitStreams waits until every stream has been opened, or until ctx is done.
func (l *Load) AwaitStreams(ctx context.Context) error {
	want := l.cfg.Streams * len(l.cfg.Fleet.Services)
	for {
		open := 0
		for _, s := range l.Streams() {
			if s.Opened {
				open++
			}
		}
		if open == want {
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return fmt.Errorf("only %d of %d streams have been opened", open, want)
		}
	}
}

// Streams returns the current reports of all streams.
func (l *Load) Streams() []Stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Stream, 0, len(l.streams))
	for _, s := range l.streams {
		out = append(out, s)
	}
	return out
}

// BrokenStreams returns the streams that have been interrupted at least once.
func (l *Load) BrokenStreams() []Stream {
	var out []Stream
	for _, s := range l.Streams() {
		if s.Breaks() > 0 {
			out = append(out, s)
		}
	}
	return out
}

// Bookings counts the bookings completed after since, by outcome.
func (l *Load) Bookings(since time.Time) map[caller.Outcome]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[caller.Outcome]int{}
	for _, b := range l.bookings {
		if b.CompletedAt.After(since) {
			out[b.Outcome]++
		}
	}
	return out
}

// Reads counts the completed reads by outcome.
func (l *Load) Reads() map[caller.Outcome]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.reads)
}

// Refused counts the requests that were not done, by outcome and response text.
func (l *Load) Refused() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.refused)
}

// ResetLatency discards the latencies recorded so far, for example after a warm-up.
func (l *Load) ResetLatency() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latency.Reset()
}

// Latency returns a histogram of the latencies of successful requests, in microseconds.
func (l *Load) Latency() *hdrhistogram.Histogram {
	l.mu.Lock()
	defer l.mu.Unlock()
	return hdrhistogram.Import(l.latency.Export())
}
