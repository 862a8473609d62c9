// Package relay runs one instance that forwards tagged flows: its duties, the rings between them and its sockets.
package relay

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"hawthorncourse/internal/base/count"
	"hawthorncourse/internal/base/logs"
	"hawthorncourse/internal/base/ring"
	"hawthorncourse/internal/core/direct"
	"hawthorncourse/internal/core/fresh"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
	"hawthorncourse/internal/peer/share"
)

const (
	// packetRing holds what arrives in half a second at 8,000 packets a second, after which callers have repeated it.
	packetRing  = 4096
	commandRing = 64
	// doubtRing holds more words than are passed on in a second.
	doubtRing = 32
	// socketBuffer is as many packets of the largest size as packetRing holds.
	socketBuffer = 4 << 20
)

// Source reads the objects of one kind from the platform.
type Source[T any] interface {
	// Read returns all of them.
	Read(ctx context.Context) (model.Listing[T], error)
	// ReadPaged returns all of them and hands parts of a long list to early before the rest is read.
	ReadPaged(ctx context.Context, early func([]T)) (model.Listing[T], error)
	// ChangesSince returns what has changed after a revision; it fails when the platform cannot tell.
	ChangesSince(ctx context.Context, after model.Revision) (model.Changes[T], error)
}

// ReaderRecords keeps who reads the platform's store for each failure domain.
type ReaderRecords interface {
	// Read returns every seat.
	Read(ctx context.Context) (model.Listing[model.ReaderRecord], error)
	// Claim takes a seat that is still at its revision; it returns the seat as it is now, whoever holds it.
	Claim(ctx context.Context, seat model.ReaderRecord) (model.ReaderRecord, error)
}

// Codec translates between datagrams and segments.
type Codec interface {
	// Parse reads a caller's datagram; the segment refers to raw.
	Parse(raw []byte) (model.Segment, error)
	// AppendForward appends the datagram that brings a packet to an upstream.
	AppendForward(dst, raw []byte, number model.EndpointNumber, tag model.RoutingTag) []byte
	// AppendReset appends the packet that ends a flow towards its caller.
	AppendReset(dst []byte, flow model.FlowKey, position uint32) []byte
}

// Config is what a Relay is built from.
type Config struct {
	// Limits holds what may change while the instance runs.
	Limits
	// Instance is the name of this instance.
	Instance model.InstanceID
	// Domain is the failure domain that this instance is in.
	Domain model.DomainID
	// Packets receives packets from callers; answers to callers go to the same port number.
	Packets netip.AddrPort
	// Ready serves the readiness check.
	Ready netip.AddrPort
	// ReadyPath is the path of the readiness check.
	ReadyPath string
	// Control receives calls from other instances.
	Control netip.AddrPort
	// ReaderRecords keeps who reads the store for each failure domain.
	ReaderRecords ReaderRecords
	// Metrics serves counters; it may be invalid for none.
	Metrics netip.AddrPort
	// Codec translates packets.
	Codec Codec
	// Upstreams, Routes and DomainsOut are what the platform knows.
	Upstreams  Source[model.Registration]
	Routes     Source[model.RouteTable]
	DomainsOut Source[model.DomainID]
	// SinceStoreResponse returns for how long the platform's store has sent nothing.
	SinceStoreResponse func() time.Duration
	// LogsDropped returns how many lines of the log were lost since the last call; nil for a log that loses none.
	LogsDropped func() int64
}

// Relay is one running instance.
type Relay struct {
	cfg    Config
	log    *logrus.Logger
	counts *count.Set
	tally  *tallies
	start  time.Time

	engine *direct.Engine
	share  *share.Share
	// known is what the platform last told and trust what that proves; both are guarded by knownMu.
	knownMu sync.Mutex
	known   model.Snapshot
	trust   *fresh.OutageTracker
	// keeper is used by the follow duty only.
	keeper *fresh.Scheduler
	// limits are those in force, and changed holds new ones that the follow duty has yet to take up.
	limits, changed atomic.Pointer[Limits]
	places          *places
	// place is the number that the instance was last given, for the report.
	place atomic.Pointer[model.Ordinal]

	packets *net.UDPConn
	ready   net.Listener
	control net.Listener
	metrics net.Listener

	arrived  *ring.Ring[model.Segment]
	commands *ring.Ring[command]
	// work ends when the instance does; it is set once, before any duty begins.
	work context.Context
	// doubts holds what others should hear of.
	doubts *ring.Ring[model.Suspicion]
	// seat is who reads for the failure domain as last known.
	seat atomic.Pointer[model.ReaderRecord]
	// nudge asks for an early read of the platform.
	nudge chan struct{}

	// opened is set once the engine decides on packets; the decide duty alone uses it.
	opened bool
	// stopping is set once the planned stop has begun.
	stopping atomic.Bool
	// serving is set while the instance wants packets.
	serving atomic.Bool
	// isolated is set while no upstream can be reached.
	isolated atomic.Bool
	// stalled is the instant at which a timer last fired so late that the process must have stood still.
	stalled atomic.Int64
	// lastPacket is the instant at which the last packet was decided on.
	lastPacket atomic.Int64
	// revision and confirmed are of what is known, for the log.
	revision  atomic.Uint64
	confirmed atomic.Int64
	recorder  recorder
	// stall is used by the decide duty only.
	stall *stall
	// handshakes and answers are the times that the engine measured.
	handshakes, answers tally.Histogram
	// datagram is reused by the decide duty.
	datagram []byte
}

// command is one change for the decide duty.
type command func(now model.Instant)

// New opens the sockets of an instance; Run closes them.
func New(cfg Config, log *logrus.Logger) (r *Relay, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "start instance %s", cfg.Instance)
		}
	}()
	start := time.Now()
	r = &Relay{
		cfg:      cfg,
		log:      log,
		counts:   count.New(),
		start:    start,
		trust:    fresh.NewOutageTracker(cfg.MaxStaleness, roster.OutageGrace),
		keeper:   fresh.NewScheduler(fresh.SchedulerConfig{Self: cfg.Instance, MaxStaleness: cfg.MaxStaleness, LinkMbps: cfg.LinkMbps}),
		arrived:  ring.New[model.Segment](packetRing),
		commands: ring.New[command](commandRing),
		doubts:   ring.New[model.Suspicion](doubtRing),
		nudge:    make(chan struct{}, 1),
		stall:    newStall(bootClock),
	}
	r.limits.Store(&cfg.Limits)
	r.place.Store(&model.Ordinal{})
	r.tally = newTallies(r.counts)
	r.handshakes, r.answers = r.counts.Latency("handshake"), r.counts.Latency("answer")
	r.recorder = recorder{log: r.part("flow"), budget: logs.Limiter{Limit: decisionLines}, beliefs: logs.Limiter{Limit: beliefLines}}
	if r.cfg.LogsDropped == nil {
		r.cfg.LogsDropped = func() int64 { return 0 }
	}
	r.engine = direct.New(direct.Config{
		Domain: cfg.Domain,
		Seed:   uint64(start.UnixNano()),
		Limits: cfg.engine(),
	})
	if err = r.openSockets(); err != nil {
		r.closeSockets()
		return nil, err
	}
	r.places = newPlaces(r.keeper, r.now)
	r.share = share.New(share.Config{Self: cfg.Instance, Listener: r.control, Ordinals: r.places, LinkMbps: cfg.LinkMbps, OnSuspicion: r.hearDoubt, Counts: r.counts})
	return r, nil
}

func (r *Relay) openSockets() (err error) {
	if r.packets, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(r.cfg.Packets)); err != nil {
		return err
	}
	if err = r.packets.SetReadBuffer(socketBuffer); err != nil {
		return err
	}
	if r.ready, err = net.Listen("tcp", r.cfg.Ready.String()); err != nil {
		return err
	}
	if r.control, err = net.Listen("tcp", r.cfg.Control.String()); err != nil {
		return err
	}
	if r.cfg.Metrics.IsValid() {
		r.metrics, err = net.Listen("tcp", r.cfg.Metrics.String())
	}
	return err
}

func (r *Relay) closeSockets() {
	if r.packets != nil {
		_ = r.packets.Close()
	}
	for _, l := range []net.Listener{r.ready, r.control, r.metrics} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// Run serves until the planned stop that begins when ctx ends is over, or until a duty fails.
func (r *Relay) Run(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "run instance %s", r.cfg.Instance)
		}
	}()
	r.part("relay").With("domain", r.cfg.Domain).Info("Instance starts.")
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, work := errgroup.WithContext(work)
	r.work = work
	for _, duty := range []func(context.Context) error{r.read, r.decide, r.follow, r.askSeeds, r.tellDoubts, r.share.Run, r.serveReady, r.serveMetrics} {
		g.Go(func() error { return duty(work) })
	}
	g.Go(func() error {
		defer cancel()
		return r.awaitStop(ctx, work)
	})
	stop := context.AfterFunc(work, r.closeSockets)
	defer stop()
	err = g.Wait()
	r.closeSockets()
	r.part("relay").Info("Instance ends.")
	return err
}

// do gives the decide duty a change and waits while its ring is full.
func (r *Relay) do(ctx context.Context, c command) {
	for !r.commands.Offer(c) && ctx.Err() == nil {
		r.counts.Counter("relay.command_ring_full").Inc(1)
		sleep(ctx, ringPause)
	}
}

func (r *Relay) part(name string) logs.Logger {
	return logs.Named(r.log, name).With("instance", r.cfg.Instance)
}

func (r *Relay) now() model.Instant {
	return model.Instant(time.Since(r.start))
}

// sleep waits for the time or for the end of the context.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
