package shell

import (
	"context"
	"flag"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"hawthorncourse/internal/base/logs"
	"hawthorncourse/internal/conf/watch"
	"hawthorncourse/internal/run/relay"
	"hawthorncourse/platform"
)

// settingsPollInterval is how often the settings file is read without SIGHUP. It is well below the time after which an operator checks
// whether an edit took effect.
const settingsPollInterval = 2 * time.Second

// relayCommand runs one relay instance, which forwards callers' packets to upstreams by routing tag; the upstreams answer callers directly.
type relayCommand struct {
	metricsPort uint
}

func (*relayCommand) Name() string     { return "relay" }
func (*relayCommand) Synopsis() string { return "run one relay instance" }
func (*relayCommand) Usage() string {
	return "relay [-metrics PORT]\n  Run one relay instance, which forwards flows by routing tag; " + platform.SettingsVariable +
		" names its settings file.\n  SIGTERM starts a graceful shutdown; changed settings take effect on SIGHUP, or within seconds without it.\n"
}

func (c *relayCommand) SetFlags(f *flag.FlagSet) {
	f.UintVar(&c.metricsPort, "metrics", 0, "port that serves metrics and status; 0 for none")
}

func (c *relayCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	// Handlers are registered first: until then each of these signals terminates the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	path := os.Getenv(platform.SettingsVariable)
	text, settings, err := platform.LoadSettings(path)
	if err != nil {
		exitWithError(err)
		return exitUsage
	}
	out := logs.NewAsync(os.Stdout)
	inst := &relayInstance{settings: settings, client: platform.NewClient(settings.Store, settings.Packets.Addr()), log: logs.NewJSON(out, logrus.InfoLevel)}
	cfg := c.config(inst)
	cfg.LogsDropped = out.Dropped
	if inst.relay, err = relay.New(cfg, inst.log); err != nil {
		return exitWithError(err)
	}
	logCtx, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	var g errgroup.Group
	g.Go(func() error { return out.Run(logCtx) })
	go watch.Run(logCtx, watch.Config{Path: path, Interval: settingsPollInterval, Signals: reload, OnChange: inst.reload, OnError: inst.logRejected}, text)
	err = inst.relay.Run(ctx)
	stopLog()
	_ = g.Wait()
	out.Flush()
	if err != nil {
		return exitWithError(err)
	}
	return exitSuccess
}

func (c *relayCommand) config(inst *relayInstance) relay.Config {
	s, routes := &inst.settings, platform.Routes(inst.client)
	cfg := relay.Config{
		Limits:             relayLimits(s),
		Instance:           s.Instance,
		Domain:             s.Domain,
		Packets:            s.Packets,
		Ready:              s.Ready,
		ReadyPath:          platform.ReadyPath,
		Control:            s.Control,
		ReaderRecords:      platform.NewReaderRecords(inst.client),
		Codec:              platform.Codec{},
		Upstreams:          platform.Upstreams(inst.client),
		Routes:             routes,
		DomainsOut:         platform.DomainsOut(inst.client),
		ParseHealth:        platform.ParseHealth,
		SinceStoreResponse: inst.client.SinceLastResponse,
	}
	routes.OnUnreadable(inst.logInvalidRoutes)
	if c.metricsPort != 0 {
		cfg.Metrics = netip.AddrPortFrom(s.Packets.Addr(), uint16(c.metricsPort))
	}
	return cfg
}

func relayLimits(s *platform.Settings) relay.Limits {
	return relay.Limits{
		Domains:      len(s.Domains),
		Seeds:        s.Seeds,
		MaxStaleness: min(s.Bounds.Drain, s.Bounds.Apply, s.Bounds.Evacuate),
		StopWithin:   s.Bounds.Stop,
		LinkMbps:     s.LinkMbps,
		FlowLife:     s.Bounds.FlowLife,
		AddressReuse: s.Bounds.AddressReuse,
		ColdFactor:   s.Bounds.ColdFactor,
		ColdSlack:    s.Bounds.ColdSlack,
	}
}

// relayInstance is the running instance together with its settings.
type relayInstance struct {
	relay  *relay.Relay
	client *platform.Client
	log    *logrus.Logger
	// settings holds the active settings; after the start only the goroutine that watches the file uses them.
	settings platform.Settings
}

// logInvalidRoutes logs why a route configuration is invalid; it names the route.
func (inst *relayInstance) logInvalidRoutes(err error) {
	logs.Named(inst.log, "platform").With("instance", inst.settings.Instance).With("error", err).Error("A route configuration is invalid.")
}

// reload applies changed settings, except those that sockets and names depend on, which need a restart.
func (inst *relayInstance) reload(text []byte) {
	next, err := platform.ParseSettings(text)
	if err != nil {
		inst.logRejected(err)
		return
	}
	if fields := next.KeepImmutable(&inst.settings); len(fields) > 0 {
		logs.Named(inst.log, "relay").With("instance", inst.settings.Instance).With("fields", fields).
			Warn("Some changed settings need a restart; their old values stay in force.")
	}
	inst.settings = next
	inst.client.SetStore(next.Store)
	inst.relay.SetLimits(context.Background(), relayLimits(&next))
}

// logRejected logs that the settings file cannot be read or is invalid.
func (inst *relayInstance) logRejected(err error) {
	logs.Named(inst.log, "relay").With("instance", inst.settings.Instance).With("error", err).
		Error("Changed settings cannot be used; the previous settings stay in force.")
}
