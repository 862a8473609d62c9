package relay

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/base/ring"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/load/gauge"
	"hawthorncourse/internal/peer/share"
	"hawthorncourse/platform"
	"hawthorncourse/platform/stand"
)

const (
	healthPath = "/healthz"
	// collectTime exceeds the time in which the collection starts and each upstream is asked once.
	collectTime = idleInterval + askInterval + 500*time.Millisecond
)

// loadRelay is an instance without a scheduler, which collects loads while it is told to be the reader.
type loadRelay struct {
	*Relay
	addr netip.AddrPort
	// stop ends the instance; it returns when the collection has ended.
	stop func()
}

func newLoadRelay(t *testing.T, snap model.Snapshot) *loadRelay {
	t.Helper()
	r := &loadRelay{Relay: newTestRelay(t)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.work, r.addr, r.cfg.Domain, r.cfg.ParseHealth = ctx, netip.MustParseAddrPort(l.Addr().String()), "east", platform.ParseHealth
	r.counters, r.commands = newActionCounters(r.counts), ring.New[command](commandRingSize)
	r.share = share.New(share.Config{
		Self: "self", Listener: l, Ordinals: noOrdinals{}, Counts: r.counts, OnLoads: r.handleLoads, OnSuspicion: func(model.Suspicion) {},
	})
	go func() { _ = r.share.Run(ctx) }()
	go func() {
		for {
			c, ok := r.commands.Take(ctx)
			if !ok {
				return
			}
			c(r.now())
		}
	}()
	done := make(chan struct{})
	go func() { defer close(done); _ = r.collectLoads(ctx) }()
	r.stop = func() { cancel(); <-done }
	t.Cleanup(r.stop)
	r.applySnapshot(ctx, snap, fromStore)
	return r
}

// gauge returns the work in an upstream's gauge, and whether it is known.
func (r *loadRelay) gauge(id string) (work int, known bool) {
	read := make(chan struct{})
	r.submit(r.work, func(now model.Instant) {
		defer close(read)
		if u := r.engine.Roster().Get(model.UpstreamID(id)); u != nil {
			work, known = u.Gauge.Work(now)
		}
	})
	<-read
	return work, known
}

// await waits until a condition holds, for at most collectTime.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(collectTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("%s: not within %v", what, collectTime)
}

// poll polls another instance as a follower does.
func (r *loadRelay) poll(t *testing.T, reader *loadRelay) {
	t.Helper()
	snap, err := r.share.Poll(r.work, reader.addr, r.currentSnapshot(), 0)
	if err != nil {
		t.Fatal(err)
	}
	r.applySnapshot(r.work, snap, fromReader)
}

// total returns the value of a counter, which may lag behind.
func (r *loadRelay) total(name string) (value int64) {
	for _, total := range r.counts.Totals() {
		if total.Name == name {
			value = total.Value
		}
	}
	return value
}

// freeAddr returns an address that nothing listens on.
func freeAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

// startUpstream starts a fake upstream of the service desk.
func startUpstream(t *testing.T, number uint64, domain string, h stand.Health) *stand.Upstream {
	t.Helper()
	u, err := stand.StartUpstream(stand.UpstreamConfig{
		Number: number, Service: "desk", Domain: domain, Address: freeAddr(t), HealthPath: healthPath, Store: stand.NewStore(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(u.Close)
	u.SetHealth(h)
	return u
}

// loadSnapshot returns a snapshot that lists upstreams, with a health path of their service and a route to it that states a target.
func loadSnapshot(upstreams ...*stand.Upstream) model.Snapshot {
	snap := snapshotAt(1, 10)
	for n, u := range upstreams {
		snap.Upstreams.Items = append(snap.Upstreams.Items, model.Registration{
			ID: model.UpstreamID(u.Name()), Number: model.EndpointNumber(n + 1), Revision: 1, Service: "desk", Domain: model.DomainID(u.Domain()), Address: u.Address(),
			Boot: 5, Slots: 2,
		})
	}
	snap.Routes = model.RouteTable{
		Version: 1, Revision: 1, Era: 1,
		Routes: []model.Route{{
			Name: "feed", Address: netip.MustParseAddrPort("198.18.0.1:443"), Kind: model.RouteIdempotent, Target: 400 * time.Millisecond,
			Targets: []model.Target{{Service: "desk", Weight: 1}},
		}},
		Services: []model.ServiceLimits{{ID: "desk", HealthPath: healthPath}},
	}
	return snap
}

// TestCollectLoads checks that the reader asks the upstreams of its failure domain over one connection each, and that its gauges and those of a follower
// hold the loads that they state.
func TestCollectLoads(t *testing.T) {
	is := is.New(t)
	busy, idle := startUpstream(t, 1, "east", stand.Health{Load: "2,6,2"}), startUpstream(t, 2, "east", stand.Health{Load: "0,0,2"})
	rejecting := startUpstream(t, 3, "east", stand.Health{Load: "2,24,2", Full: true})
	remote := startUpstream(t, 4, "west", stand.Health{Load: "1,0,2"})
	snap := loadSnapshot(busy, idle, rejecting, remote)
	reader, follower := newLoadRelay(t, snap), newLoadRelay(t, snap)
	reader.reading.Store(true)
	for name, r := range map[string]*loadRelay{"reader": reader, "follower": follower} {
		await(t, name, func() bool {
			if r == follower {
				r.poll(t, reader)
			}
			_, known := r.gauge(busy.Name())
			_, idleKnown := r.gauge(idle.Name())
			_, rejectingKnown := r.gauge(rejecting.Name())
			return known && idleKnown && rejectingKnown
		})
		work, _ := r.gauge(busy.Name())
		t.Logf("%s: busy %d", name, work)
		is.True(work > 2 && work <= 8)
		work, _ = r.gauge(rejecting.Name())
		is.True(work > 6 && work <= 26)
		work, _ = r.gauge(idle.Name())
		is.Equal(work, 0)
		_, known := r.gauge(remote.Name())
		is.True(!known)
	}
	busy.SetHealth(stand.Health{Load: "0,1,2"})
	await(t, "change", func() bool { work, known := reader.gauge(busy.Name()); return known && work <= 1 })
	requests, open, opened := busy.HealthRequests()
	is.True(requests >= 2)
	is.Equal([]int{open, opened}, []int{1, 1})
	requests, _, _ = remote.HealthRequests()
	is.Equal(requests, 0)
	await(t, "requests are counted", func() bool { return reader.total("loads.requests") > 0 })
	is.Equal(follower.total("loads.requests"), int64(0))
}

// TestReaderReplaced checks that an instance that is no reader any more closes its connections and asks no more, and that the gauges of a follower stay
// known as the next reader asks.
func TestReaderReplaced(t *testing.T) {
	is := is.New(t)
	u := startUpstream(t, 1, "east", stand.Health{Load: "1,0,2"})
	snap := loadSnapshot(u)
	first, next, follower := newLoadRelay(t, snap), newLoadRelay(t, snap), newLoadRelay(t, snap)
	first.reading.Store(true)
	await(t, "first reader", func() bool { follower.poll(t, first); _, known := follower.gauge(u.Name()); return known })
	first.reading.Store(false)
	await(t, "connections are closed", func() bool { _, open, _ := u.HealthRequests(); return open == 0 })
	before, _, _ := u.HealthRequests()
	time.Sleep(2 * askInterval)
	after, _, _ := u.HealthRequests()
	is.Equal(after, before)
	time.Sleep(gauge.MaxAge - 2*askInterval)
	_, known := follower.gauge(u.Name())
	is.True(!known) // The loads of the first reader have become too old.
	next.reading.Store(true)
	await(t, "next reader", func() bool { follower.poll(t, next); _, known := follower.gauge(u.Name()); return known })
	next.stop()
	await(t, "connections are closed at the end", func() bool { _, open, _ := u.HealthRequests(); return open == 0 })
}

// TestUpstreamsWithoutLoad checks that upstreams that state no valid load, or do not answer, have unknown load and nothing else: their health is not in
// question, and the others are asked all the same.
func TestUpstreamsWithoutLoad(t *testing.T) {
	cases := map[string]struct {
		health  stand.Health
		closed  bool
		counter string
	}{
		"does not answer":            {health: stand.Health{Load: "2,6,2", Silent: true}, counter: "loads.failed.timeout"},
		"accepts no connections":     {closed: true, counter: "loads.failed.connect"},
		"malformed load":             {health: stand.Health{Load: "2,6"}, counter: "loads.failed.malformed"},
		"no load":                    {counter: "loads.failed.malformed"},
		"another one at the address": {health: stand.Health{Load: "2,6,2", Instance: "i-0000000009"}, counter: "loads.failed.other_instance"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			odd, good := startUpstream(t, 1, "east", tc.health), startUpstream(t, 2, "east", stand.Health{Load: "1,0,2"})
			if tc.closed {
				odd.Close()
			}
			reader := newLoadRelay(t, loadSnapshot(odd, good))
			reader.reading.Store(true)
			await(t, "the other upstream", func() bool { _, known := reader.gauge(good.Name()); return known })
			await(t, tc.counter, func() bool { return reader.total(tc.counter) > 0 })
			_, known := reader.gauge(odd.Name())
			is.True(!known)
			_, known = reader.gauge(good.Name())
			is.True(known)
			suspect := make(chan bool, 1)
			reader.submit(reader.work, func(model.Instant) {
				suspect <- reader.engine.Roster().Get(model.UpstreamID(odd.Name())).Health.Suspect()
			})
			is.True(!<-suspect)
		})
	}
}

// TestLoadBecomesUnknown guards against a load that is taken for that of an upstream whose address another one has taken over.
func TestLoadBecomesUnknown(t *testing.T) {
	u := startUpstream(t, 1, "east", stand.Health{Load: "1,0,2"})
	snap := loadSnapshot(u)
	reader, follower := newLoadRelay(t, snap), newLoadRelay(t, snap)
	reader.reading.Store(true)
	await(t, "known", func() bool { follower.poll(t, reader); _, known := follower.gauge(u.Name()); return known })
	u.SetHealth(stand.Health{Load: "1,0,2", Instance: "i-0000000009"})
	start := time.Now()
	await(t, "unknown", func() bool { follower.poll(t, reader); _, known := follower.gauge(u.Name()); return !known })
	is.New(t).True(time.Since(start) < gauge.MaxAge-askInterval/2) // Not only because the load became too old.
}

// TestCollectionIsOff checks that no upstream is asked unless the configuration asks for it and the instance is the reader, and that this can change.
func TestCollectionIsOff(t *testing.T) {
	cases := map[string]struct {
		change   func(*model.Snapshot)
		follower bool
	}{
		"no health path":            {change: func(s *model.Snapshot) { s.Routes.Services[0].HealthPath = "" }},
		"path of another service":   {change: func(s *model.Snapshot) { s.Routes.Services[0].ID = "claims" }},
		"no target":                 {change: func(s *model.Snapshot) { s.Routes.Routes[0].Target = 0 }},
		"target of another service": {change: func(s *model.Snapshot) { s.Routes.Routes[0].Targets[0].Service = "claims" }},
		"path that is none":         {change: func(s *model.Snapshot) { s.Routes.Services[0].HealthPath = "http://10.0.0.1/" }},
		"follower":                  {change: func(*model.Snapshot) {}, follower: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			u := startUpstream(t, 1, "east", stand.Health{Load: "1,0,2"})
			off := loadSnapshot(u)
			tc.change(&off)
			r := newLoadRelay(t, off)
			r.reading.Store(!tc.follower)
			time.Sleep(collectTime)
			requests, _, opened := u.HealthRequests()
			is.Equal([]int{requests, opened}, []int{0, 0})

			on := loadSnapshot(u)
			on.Revision, on.Routes.Version, on.Routes.Revision = 11, 2, 11
			r.applySnapshot(r.work, on, fromStore)
			r.reading.Store(true)
			await(t, "on", func() bool { requests, _, _ := u.HealthRequests(); return requests > 0 })
			off.Revision, off.Routes.Version, off.Routes.Revision = 12, 3, 12
			r.applySnapshot(r.work, off, fromStore)
			r.reading.Store(!tc.follower)
			await(t, "off", func() bool { _, open, _ := u.HealthRequests(); return open == 0 })
		})
	}
}

// TestAskRate checks how often an upstream is asked: once a second, and every quarter of a second while the work of its service exceeds the slots.
func TestAskRate(t *testing.T) {
	const period = 3 * time.Second
	cases := map[string]struct {
		load     string
		min, max int
	}{
		"within its slots":  {load: "2,1,2", min: 2, max: 4},
		"beyond its slots":  {load: "2,2,2", min: 8, max: 14},
		"nothing is stated": {min: 2, max: 4},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := startUpstream(t, 1, "east", stand.Health{Load: tc.load})
			r := newLoadRelay(t, loadSnapshot(u))
			r.reading.Store(true)
			time.Sleep(collectTime)
			before, _, _ := u.HealthRequests()
			time.Sleep(period)
			after, _, _ := u.HealthRequests()
			t.Logf("%d requests in %v", after-before, period)
			is.New(t).True(after-before >= tc.min && after-before <= tc.max)
		})
	}
}

// TestAskLimit checks that a reader with many overloaded upstreams asks at most 150 of them a second, all in turn, and never more than 16 at a time.
func TestAskLimit(t *testing.T) {
	is := is.New(t)
	var requests, running, highest atomic.Int64
	asked := make([]atomic.Int64, 300)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	srv := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		requests.Add(1)
		highest.Store(max(highest.Load(), running.Add(1)))
		time.Sleep(30 * time.Millisecond)
		running.Add(-1)
		var n int
		_, _ = fmt.Sscanf(req.URL.Path, "/healthz-%d", &n)
		asked[n].Add(1)
		w.Header().Set(platform.HeaderLoad, "2,14,2")
		w.Header().Set(platform.HeaderInstance, fmt.Sprint("i-", n))
	})}
	go func() { _ = srv.Serve(l) }()
	snap := loadSnapshot()
	snap.Routes.Services = nil
	for n := range asked {
		id := model.ServiceID(fmt.Sprint("desk-", n))
		snap.Upstreams.Items = append(snap.Upstreams.Items, model.Registration{
			ID: model.UpstreamID(fmt.Sprint("i-", n)), Number: model.EndpointNumber(n + 1), Revision: 1, Service: id, Domain: "east", Boot: 5, Slots: 2,
			Address: netip.MustParseAddrPort(l.Addr().String()),
		})
		snap.Routes.Services = append(snap.Routes.Services, model.ServiceLimits{ID: id, HealthPath: fmt.Sprint(healthPath, "-", n)})
		snap.Routes.Routes[0].Targets = append(snap.Routes.Routes[0].Targets, model.Target{Service: id, Weight: 1})
	}
	r := newLoadRelay(t, snap)
	r.reading.Store(true)
	await(t, "the first request", func() bool { return requests.Load() > 0 })
	time.Sleep(3 * time.Second) // At first, those that are due in the first second take turns with those that have become urgent.
	before := requests.Load()
	for n := range asked {
		is.True(asked[n].Swap(0) > 0)
	}
	time.Sleep(3 * time.Second)
	got := requests.Load() - before
	t.Logf("%d requests in 3 s, at most %d at a time", got, highest.Load())
	is.True(got <= 3*maxAsksPerSecond+1 && got >= 2*maxAsksPerSecond)
	is.True(highest.Load() <= maxAsking)
	least, most := asked[0].Load(), asked[0].Load()
	for n := range asked {
		least, most = min(least, asked[n].Load()), max(most, asked[n].Load())
	}
	t.Logf("each was asked %d to %d times", least, most)
	is.True(most <= least+1)
}

// BenchmarkAsk measures one health request and its answer, the small server that answers it included.
func BenchmarkAsk(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		for r := bufio.NewReader(conn); ; {
			for line := []byte(nil); len(line) != 2; {
				if line, err = r.ReadSlice('\n'); err != nil {
					return
				}
			}
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nX-Server-Load: 2,14,2\r\nX-Instance-Id: i-1\r\nContent-Length: 2\r\n\r\nok"))
		}
	}()
	c := newHealthClient(platform.ParseHealth)
	defer c.close()
	req, err := newHealthRequest(netip.MustParseAddrPort(l.Addr().String()), healthPath)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if answer, err := c.ask(b.Context(), req); err != nil || !answer.Known {
			b.Fatal(answer, err)
		}
	}
}

// TestReadingFollowsRole checks that the goroutine that collects loads learns whether the instance is the reader.
func TestReadingFollowsRole(t *testing.T) {
	for holder, reading := range map[model.InstanceID]bool{"self": true, "other": false} {
		t.Run(string(holder), func(t *testing.T) {
			is := is.New(t)
			r := newTestRelay(t)
			r.cfg.Domain, r.cfg.Control = "east", freeAddr(t)
			record := model.ReaderRecord{Domain: "east", Holder: holder, Control: freeAddr(t), Revision: 10}
			r.cfg.ReaderRecords = fakeReaderRecords{fakeSource[model.ReaderRecord]{at: 10, items: []model.ReaderRecord{record}}}
			r.cfg.Upstreams, r.cfg.Routes, r.cfg.DomainsOut = fakeSource[model.Registration]{at: 10}, fakeSource[model.RouteTable]{at: 10}, fakeSource[model.DomainID]{at: 10}
			r.cfg.SinceStoreResponse = func() time.Duration { return 0 }
			r.commands = ring.New[command](commandRingSize)
			r.limits.Store(&Limits{})
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error)
			go func() { done <- r.follow(ctx) }()
			await(t, "reader record", func() bool { record := r.reader.Load(); return record != nil && record.Holder == holder })
			await(t, "role", func() bool { return r.reading.Load() == reading })
			cancel()
			is.NoErr(<-done)
		})
	}
}
