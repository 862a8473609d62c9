// Package relay runs one instance that forwards tagged flows: its sockets, its goroutines and the bounded queues between them.
//
// A single goroutine, the decision loop, owns the engine; the others reach it through queues. One instance per failure domain, the reader,
// reads the platform's store and distributes its contents to the others as snapshots.
package relay

import (
	"context"
	"net"
	"net/http"
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
	"hawthorncourse/internal/core/clock"
	"hawthorncourse/internal/core/direct"
	"hawthorncourse/internal/core/egress"
	"hawthorncourse/internal/core/fresh"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
	"hawthorncourse/internal/peer/share"
)

const (
	// packetRingSize is half a second of packets at 8,000 packets/s; callers have retransmitted older ones.
	packetRingSize  = 4096
	commandRingSize = 64
	// suspicionRingSize exceeds the number of suspicions that are broadcast per second.
	suspicionRingSize = 32
	// socketBuffer is the size of the socket's receive buffer in bytes: about 3,400 packets of the largest size, 1,239 bytes.
	socketBuffer = 4 << 20
)

// Source reads the objects of one kind from the platform's store.
type Source[T any] interface {
	// Read returns all objects.
	Read(ctx context.Context) (model.Listing[T], error)
	// ReadStale returns all objects in a state that may be seconds old and is complete up to the listing's revision. While it reads a long list,
	// it passes each page and its state to onPage.
	ReadStale(ctx context.Context, onPage func([]T, model.Position)) (model.Listing[T], error)
	// ChangesSince returns the changes after a revision. It fails if the store no longer has them.
	ChangesSince(ctx context.Context, after model.Revision) (model.Changes[T], error)
}

// ReaderRecords accesses the records in the platform's store that name the reader of each failure domain.
type ReaderRecords interface {
	// Read returns the records of all failure domains.
	Read(ctx context.Context) (model.Listing[model.ReaderRecord], error)
	// Claim writes a record if the stored one is still at the same revision. It returns the stored record after that, whoever holds the role.
	Claim(ctx context.Context, record model.ReaderRecord) (model.ReaderRecord, error)
}

// Codec parses and builds packets.
type Codec interface {
	// Parse parses a caller's datagram; the segment refers to raw.
	Parse(raw []byte) (model.Segment, error)
	// AppendForward appends the datagram that forwards a packet to an upstream.
	AppendForward(dst, raw []byte, number model.EndpointNumber, tag model.RoutingTag) []byte
	// AppendReset appends the packet that resets a flow at its caller.
	AppendReset(dst []byte, flow model.FlowKey, seq uint32) []byte
}

// Config configures a Relay.
type Config struct {
	// Limits holds the settings that may change while the instance runs.
	Limits
	// Instance is the ID of this instance.
	Instance model.InstanceID
	// Domain is the failure domain of this instance.
	Domain model.DomainID
	// Packets is the UDP address that receives packets from callers. Resets go to the same port number at the callers.
	Packets netip.AddrPort
	// Ready is the address of the readiness check.
	Ready netip.AddrPort
	// ReadyPath is the HTTP path of the readiness check.
	ReadyPath string
	// Control is the address for RPCs from other instances.
	Control netip.AddrPort
	// ReaderRecords accesses the reader records in the platform's store.
	ReaderRecords ReaderRecords
	// Metrics is the address that serves metrics and status; if it is invalid, they are not served.
	Metrics netip.AddrPort
	// Codec parses and builds packets.
	Codec Codec
	// Upstreams, Routes and DomainsOut read the platform's store; DomainsOut lists the failure domains that operators have taken out of
	// service.
	Upstreams  Source[model.Registration]
	Routes     Source[model.RouteTable]
	DomainsOut Source[model.DomainID]
	// ParseHealth parses the answer of an upstream to a health request; nil if upstreams are not asked for their load.
	ParseHealth func(status int, header http.Header) model.HealthAnswer
	// SinceStoreResponse returns the time since the platform's store last sent any data.
	SinceStoreResponse func() time.Duration
	// LogsDropped returns the number of log lines lost since the last call; nil for a log that loses none.
	LogsDropped func() int64
}

// Relay is one running relay instance.
type Relay struct {
	cfg Config
	log *logrus.Logger
	// counts holds all metrics, counters those of the engine's actions.
	counts   *count.Set
	counters *actionCounters
	start    time.Time

	engine *direct.Engine
	share  *share.Share
	// snapshot is the current snapshot of the platform's store, snapshotDigest is its digest, and outages tracks how long a missing registration is not
	// conclusive after an outage of the store. All are guarded by snapshotMu.
	snapshotMu     sync.Mutex
	snapshot       model.Snapshot
	snapshotDigest uint64
	outages        *fresh.OutageTracker
	// scheduler is used by the follow goroutine only.
	scheduler *fresh.Scheduler
	// limits holds the active limits, and pendingLimits changed ones that the follow goroutine has not applied yet.
	limits, pendingLimits atomic.Pointer[Limits]
	ordinals              *ordinalAllocator
	// ordinal is the ordinal that was last assigned to this instance, for the status report.
	ordinal atomic.Pointer[model.Ordinal]

	packets *net.UDPConn
	ready   net.Listener
	control net.Listener
	metrics net.Listener

	segments *ring.Ring[model.Segment]
	commands *ring.Ring[command]
	// work is cancelled when the instance stops; it is set once, before the goroutines start.
	work context.Context
	// suspicions queues suspicions for other instances.
	suspicions *ring.Ring[model.Suspicion]
	// reader is the reader record of the failure domain as last read.
	reader atomic.Pointer[model.ReaderRecord]
	// reading is set while this instance is the reader of the failure domain.
	reading atomic.Bool
	// refresh requests a read before the next step is due.
	refresh chan struct{}

	// engineReady is set once the engine has enough state to handle packets; only the decision loop uses it.
	engineReady bool
	// unconfigured is set once the instance has found no readable route configuration; only the decision loop uses it.
	unconfigured bool
	// requestingRoutes is set while other instances are asked for theirs.
	requestingRoutes atomic.Bool
	// endedDigest is that of the ended runs that were last published; only the decision loop uses it.
	endedDigest uint64
	// stopping is set once the graceful shutdown has started.
	stopping atomic.Bool
	// serving is set while the instance is ready for traffic.
	serving atomic.Bool
	// isolated is set while no upstream is reachable.
	isolated atomic.Bool
	// lastPacket is the instant at which the last packet was handled.
	lastPacket atomic.Int64
	// era and revision are those of the current snapshot, and confirmedAt is the instant at which the store last confirmed it. They are for logs
	// and metrics.
	era, revision atomic.Uint64
	confirmedAt   atomic.Int64
	recorder      recorder
	// stall is used by the decision loop only, but for its clock.
	stall *stallDetector
	// timeOfDay is the reading of the shared clock until another instance states one.
	timeOfDay clock.Reading
	// bootAhead is by how much the boot-time clock was ahead of the monotonic one when the engine's reading of the shared clock was set; only the decision loop
	// uses it.
	bootAhead time.Duration
	// handshakes and answers are the histograms of the latencies that the engine measures.
	handshakes, answers tally.Histogram
	// datagram is the send buffer of the decision loop, and egress the queue in front of the instance's own link, which the same loop uses.
	datagram []byte
	egress   *egress.Scheduler[outgoing]
	// receivedBytes counts the bytes of received packets, and callBytes those sent in calls between instances that egress does not know yet.
	receivedBytes, callBytes atomic.Int64
}

// command is a function that the decision loop runs.
type command func(now model.Instant)

// New opens the sockets of an instance. Run closes them.
func New(cfg Config, log *logrus.Logger) (r *Relay, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "start instance %s", cfg.Instance)
		}
	}()
	start := time.Now()
	r = &Relay{
		cfg:        cfg,
		log:        log,
		counts:     count.New(),
		start:      start,
		outages:    fresh.NewOutageTracker(cfg.MaxStaleness, roster.OutageGrace),
		scheduler:  fresh.NewScheduler(fresh.SchedulerConfig{Self: cfg.Instance, MaxStaleness: cfg.MaxStaleness, LinkMbps: cfg.LinkMbps}),
		segments:   ring.New[model.Segment](packetRingSize),
		commands:   ring.New[command](commandRingSize),
		suspicions: ring.New[model.Suspicion](suspicionRingSize),
		refresh:    make(chan struct{}, 1),
		stall:      newStallDetector(bootClock),
		egress:     egress.New[outgoing](cfg.LinkMbps),
	}
	r.timeOfDay = readTimeOfDay(r.bootTime())
	r.limits.Store(&cfg.Limits)
	r.ordinal.Store(&model.Ordinal{})
	r.counters = newActionCounters(r.counts)
	r.handshakes, r.answers = r.counts.Latency("handshake"), r.counts.Latency("answer")
	r.recorder = recorder{
		log: r.logger("flow"), decisions: logs.Limiter{Limit: decisionsPerSecond}, stateChanges: logs.Limiter{Limit: stateChangesPerSecond},
		limited: map[model.ServiceID]bool{},
	}
	if r.cfg.LogsDropped == nil {
		r.cfg.LogsDropped = func() int64 { return 0 }
	}
	r.engine = direct.New(direct.Config{
		Domain: cfg.Domain,
		Seed:   uint64(start.UnixNano()),
		Limits: cfg.engineLimits(),
	})
	if err = r.openSockets(); err != nil {
		r.closeSockets()
		return nil, err
	}
	r.ordinals = newOrdinalAllocator(r.scheduler, r.now)
	r.share = share.New(share.Config{
		Self: cfg.Instance, Listener: r.control, Ordinals: r.ordinals, LinkMbps: cfg.LinkMbps, OnSuspicion: r.handleSuspicion, Counts: r.counts,
		OnLoads: r.handleLoads, OnSent: func(bytes int) { r.callBytes.Add(int64(bytes)) }, Clock: r.bootTime, OnEpoch: r.handleEpoch,
	})
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

// Run serves until ctx is cancelled and the graceful shutdown that follows is complete, or until a goroutine fails.
func (r *Relay) Run(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "run instance %s", r.cfg.Instance)
		}
	}()
	r.logger("relay").With("domain", r.cfg.Domain).Info("Instance is starting.")
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, work := errgroup.WithContext(work)
	r.work = work
	for _, task := range []func(context.Context) error{r.read, r.decide, r.follow, r.pollSeeds, r.sendSuspicions, r.collectLoads, r.share.Run, r.serveReady, r.serveMetrics} {
		g.Go(func() error { return task(work) })
	}
	g.Go(func() error {
		defer cancel()
		return r.awaitStop(ctx, work)
	})
	stop := context.AfterFunc(work, r.closeSockets)
	defer stop()
	err = g.Wait()
	r.closeSockets()
	r.logger("relay").Info("Instance has stopped.")
	return err
}

// submit queues a command for the decision loop; it blocks while the queue is full.
func (r *Relay) submit(ctx context.Context, c command) {
	for !r.commands.Offer(c) && ctx.Err() == nil {
		r.counts.Counter("relay.command_ring_full").Inc(1)
		sleep(ctx, ringRetryDelay)
	}
}

// logger returns the log of the named component.
func (r *Relay) logger(name string) logs.Logger {
	return logs.Named(r.log, name).With("instance", r.cfg.Instance)
}

// now returns the time since the start of the process.
func (r *Relay) now() model.Instant {
	return model.Instant(time.Since(r.start))
}

// sleep waits for d or until ctx is cancelled.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
