// Package entry runs one entry instance: its duties, the rings between them and its sockets.
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
	ringPause    = 5 * time.Millisecond
	startTiming  = 3 * time.Second
	socketBuffer = 4 << 20
)

// Entry is one running instance.
type Entry struct {
	cfg    setup.Config
	log    *logrus.Logger
	self   model.Member
	start  time.Time
	counts *count.Set
	tally  *tallies

	engine   *engine.Engine
	mesh     *mesh.Mesh
	platform *object.Client
	objects  [objectKinds]held

	front, back, hand *net.UDPConn
	control, admin    net.Listener

	packets  *ring.Ring[model.Packet]
	answers  *ring.Ring[model.Answer]
	commands *ring.Ring[command]
	out      *ring.Ring[datagram]

	// services maps each service address to its kind, for the readers.
	services atomic.Pointer[map[netip.AddrPort]model.Kind]
	// listed tells which domains the platform's list shows alive, and whether it was read at all.
	listed atomic.Pointer[listing]
	// keyEpoch is that of the document in force; zero for none.
	keyEpoch atomic.Uint32
	// loads is how busy this instance last was.
	loads atomic.Pointer[[]engine.Load]
	// hands maps peers to the addresses for packets; only the decide duty uses it.
	hands map[model.InstanceID]netip.AddrPort

	stopOnce sync.Once
	// over is set when the decide duty may have ended.
	over atomic.Bool
}

// command is one change for the decide duty.
type command func(now model.Instant)

// New opens the sockets of an instance; Run closes them.
func New(cfg setup.Config, log *logrus.Logger) (e *Entry, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "start instance %s", cfg.Instance)
		}
	}()
	e = &Entry{
		cfg:      cfg,
		log:      log,
		start:    time.Now(),
		counts:   count.New(),
		platform: object.NewClient(cfg.Platform, cfg.Control.Addr()),
		packets:  ring.New[model.Packet](cfg.RingSize),
		answers:  ring.New[model.Answer](cfg.RingSize),
		commands: ring.New[command](cfg.RingSize),
		out:      ring.New[datagram](cfg.RingSize),
		hands:    map[model.InstanceID]netip.AddrPort{},
	}
	e.tally = newTallies(e.counts)
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
		Member:   member.Config{Self: e.self, Detection: startTiming, Seed: seed},
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
	if e.hand, err = listenUDP(e.cfg.HandOff); err != nil {
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
	for _, conn := range []*net.UDPConn{e.front, e.back, e.hand} {
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

// Run serves until the planned stop that begins when ctx ends is over, or until a duty fails.
func (e *Entry) Run(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "run instance %s", e.cfg.Instance)
		}
	}()
	e.part("entry").With("instance", e.cfg.Instance).With("domain", e.cfg.Domain).Info("Instance starts.")
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, work := errgroup.WithContext(work)
	duties := []func(context.Context) error{
		e.mesh.Run,
		e.decide,
		e.send,
		e.readFront,
		e.readBack,
		e.readHand,
		e.watchDocument,
		e.watchKeys,
		e.backstop,
		e.seed,
		e.pollHealth,
		e.share,
		e.serveAdmin,
	}
	for _, duty := range duties {
		g.Go(func() error { return duty(work) })
	}
	g.Go(func() error {
		defer cancel()
		return e.awaitStop(ctx, work)
	})
	stop := context.AfterFunc(work, func() {
		e.over.Store(true)
		e.closeSockets()
	})
	defer stop()
	err = g.Wait()
	e.closeSockets()
	e.part("entry").Info("Instance ends.")
	return err
}

// awaitStop begins the planned stop when ctx ends and returns when nothing is bound here any more.
func (e *Entry) awaitStop(ctx, work context.Context) error {
	select {
	case <-ctx.Done():
	case <-work.Done():
		return nil
	}
	e.part("entry").Info("Planned stop begins.")
	e.mesh.Leave()
	stopped := make(chan struct{})
	e.do(func(now model.Instant) { e.engine.Stop(now) })
	for {
		e.do(func(now model.Instant) {
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

// do gives the decide duty a change; a full ring is waited for, which holds back only the asking duty.
func (e *Entry) do(c command) {
	for !e.commands.Offer(c) && !e.over.Load() {
		e.counts.Counter("entry.command_ring_full").Inc(1)
		time.Sleep(ringPause)
	}
}

func (e *Entry) part(name string) logs.Logger {
	return logs.Named(e.log, name)
}

func (e *Entry) now() model.Instant {
	return model.Instant(time.Since(e.start))
}
