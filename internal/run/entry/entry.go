// Package entry runs one entry instance: its sockets, its goroutines and the bounded queues between them.
package entry

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"hawthorncourse/internal/base/count"
	"hawthorncourse/internal/base/logs"
	"hawthorncourse/internal/base/ring"
	"hawthorncourse/internal/conf/setup"
	"hawthorncourse/internal/core/engine"
	"hawthorncourse/internal/core/member"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/peer/mesh"
	"hawthorncourse/internal/plat/object"
)

const (
	tickInterval = 50 * time.Millisecond
	// ringRetryDelay is how long submit waits before it retries a full queue.
	ringRetryDelay = 5 * time.Millisecond
	// initialDetection is the detection time for dead instances until a document is active.
	initialDetection = 3 * time.Second
	// socketBuffer is the receive buffer of each UDP socket, in bytes.
	socketBuffer = 4 << 20
)

// Entry is one running entry instance. A single goroutine, the decision loop, owns the engine; the others reach it through queues.
type Entry struct {
	cfg   setup.Config
	log   *logrus.Logger
	self  model.Member
	start time.Time
	// counts holds all metrics, counters those of the engine's actions.
	counts   *count.Set
	counters *actionCounters

	engine   *engine.Engine
	mesh     *mesh.Mesh
	platform *object.Client
	objects  [objectKinds]activeObject

	// front is the socket towards the fabric, back the one towards the upstreams, and handOff the one for packets of peers.
	front, back, handOff *net.UDPConn
	control, admin       net.Listener

	packets  *ring.Ring[model.Packet]
	answers  *ring.Ring[model.Answer]
	commands *ring.Ring[command]
	out      *ring.Ring[datagram]

	// services maps each service address to its kind; the goroutines that read packets use it.
	services atomic.Pointer[map[netip.AddrPort]model.Kind]
	// platformList is the platform's list of instances as last read; nil before the first successful read.
	platformList atomic.Pointer[instanceList]
	// keyEpoch is the key epoch of the active document; zero without a document.
	keyEpoch atomic.Uint32
	// loads is the latest utilisation of this instance's slots, sent to peers with every probe.
	loads atomic.Pointer[[]engine.Load]
	// handOffAddrs maps peers to their addresses for handed-off packets; only the decision loop uses it.
	handOffAddrs map[model.InstanceID]netip.AddrPort

	stopOnce sync.Once
	// decideStopped is set when the decision loop is stopped, so that submit does not block any longer.
	decideStopped atomic.Bool
}

// command is a function that the decision loop runs.
type command func(now model.Instant)

// New opens the sockets of an instance. Run closes them.
func New(cfg setup.Config, log *logrus.Logger) (e *Entry, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "start instance %s", cfg.Instance)
		}
	}()
	e = &Entry{
		cfg:          cfg,
		log:          log,
		start:        time.Now(),
		counts:       count.New(),
		platform:     object.NewClient(cfg.Platform, cfg.Control.Addr()),
		packets:      ring.New[model.Packet](cfg.RingSize),
		answers:      ring.New[model.Answer](cfg.RingSize),
		commands:     ring.New[command](cfg.RingSize),
		out:          ring.New[datagram](cfg.RingSize),
		handOffAddrs: map[model.InstanceID]netip.AddrPort{},
	}
	e.counters = newActionCounters(e.counts)
	if err := e.openSockets(); err != nil {
		e.closeSockets()
		return nil, err
	}
	e.self = model.Member{
		ID:      cfg.Instance,
		Domain:  cfg.Domain,
		Boot:    model.BootID(e.start.UnixNano()),
		State:   model.MemberAlive,
		Control: cfg.Advertise,
		HandOff: cfg.AdvertiseHandOff,
	}
	seed := cfg.Seed
	if seed == 0 {
		seed = uint64(e.self.Boot)
	}
	policy, _ := engine.PolicyByName(cfg.Policy)
	e.engine = engine.New(engine.Config{Self: e.self, Start: e.start, Seed: seed, StreamLimit: cfg.StreamLimit, Policy: policy})
	e.mesh = mesh.New(mesh.Config{
		Listener: e.control,
		Member:   member.Config{Self: e.self, Detection: initialDetection, Seed: seed},
		Host:     e,
		Log:      logs.Named(log, "mesh"),
		Counts:   e.counts,
		Start:    e.start,
	})
	return e, nil
}

func (e *Entry) openSockets() (err error) {
	if e.front, err = listenUDP(e.cfg.Front); err != nil {
		return err
	}
	if e.back, err = listenUDP(e.cfg.Back); err != nil {
		return err
	}
	if e.handOff, err = listenUDP(e.cfg.HandOff); err != nil {
		return err
	}
	if e.control, err = net.Listen("tcp", e.cfg.Control.String()); err != nil {
		return err
	}
	e.admin, err = net.Listen("tcp", e.cfg.Admin.String())
	return err
}

func listenUDP(addr netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	if err := conn.SetReadBuffer(socketBuffer); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

func (e *Entry) closeSockets() {
	for _, conn := range []*net.UDPConn{e.front, e.back, e.handOff} {
		if conn != nil {
			_ = conn.Close()
		}
	}
	for _, l := range []net.Listener{e.control, e.admin} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// Run serves until ctx is cancelled and the graceful shutdown that follows is complete, or until a goroutine fails.
func (e *Entry) Run(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "run instance %s", e.cfg.Instance)
		}
	}()
	e.logger("entry").With("instance", e.cfg.Instance).With("domain", e.cfg.Domain).Info("Instance is starting.")
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, work := errgroup.WithContext(work)
	tasks := []func(context.Context) error{
		e.mesh.Run,
		e.decide,
		e.send,
		e.readFront,
		e.readBack,
		e.readHandOff,
		e.watchDocument,
		e.watchKeys,
		e.resync,
		e.rewrite,
		e.seed,
		e.pollHealth,
		e.disseminate,
		e.serveAdmin,
	}
	for _, task := range tasks {
		g.Go(func() error { return task(work) })
	}
	g.Go(func() error {
		defer cancel()
		return e.awaitStop(ctx, work)
	})
	stop := context.AfterFunc(work, func() {
		e.decideStopped.Store(true)
		e.closeSockets()
	})
	defer stop()
	err = g.Wait()
	e.closeSockets()
	e.logger("entry").Info("Instance has stopped.")
	return err
}

// awaitStop starts the graceful shutdown when ctx is cancelled and returns when no request or flow depends on this instance any more.
// work is the context of the other goroutines; it is cancelled when one of them fails.
func (e *Entry) awaitStop(ctx, work context.Context) error {
	select {
	case <-ctx.Done():
	case <-work.Done():
		return nil
	}
	e.logger("entry").Info("Graceful shutdown has started; new requests and flows go to other instances.")
	e.mesh.Leave()
	stopped := make(chan struct{})
	e.submit(func(now model.Instant) { e.engine.Stop(now) })
	for {
		e.submit(func(now model.Instant) {
			if e.engine.Stopped(now) {
				e.stopOnce.Do(func() { close(stopped) })
			}
		})
		select {
		case <-stopped:
			return nil
		case <-work.Done():
			return nil
		case <-time.After(tickInterval):
		}
	}
}

// submit queues a command for the decision loop. It blocks while the queue is full; only the calling goroutine waits.
func (e *Entry) submit(c command) {
	for !e.commands.Offer(c) && !e.decideStopped.Load() {
		e.counts.Counter("entry.command_ring_full").Inc(1)
		time.Sleep(ringRetryDelay)
	}
}

// logger returns the log of the named component.
func (e *Entry) logger(name string) logs.Logger {
	return logs.Named(e.log, name)
}

// now returns the time since the start of the process.
func (e *Entry) now() model.Instant {
	return model.Instant(time.Since(e.start))
}
