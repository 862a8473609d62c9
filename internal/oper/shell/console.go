package shell

import (
	"context"
	"errors"
	"flag"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/sirupsen/logrus"

	"hawthorncourse/internal/base/logs"
	"hawthorncourse/internal/conf/setup"
	"hawthorncourse/internal/oper/forms"
	"hawthorncourse/internal/plat/object"
)

const (
	headerTimeout   = 5 * time.Second
	shutdownTimeout = 10 * time.Second
)

// consoleCommand serves the operators' web console.
type consoleCommand struct {
	settings string
}

func (*consoleCommand) Name() string     { return "console" }
func (*consoleCommand) Synopsis() string { return "serve the operators' web console" }
func (*consoleCommand) Usage() string {
	return "console -settings FILE\n  Serve web forms for editing the document.\n"
}

func (c *consoleCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "settings file of the console")
}

func (c *consoleCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settings == "" {
		printError("Specify the settings file with -settings FILE.")
		return exitUsage
	}
	cfg, err := setup.LoadConsole(c.settings)
	if err != nil {
		return exitWithError(err)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := serveConsole(ctx, cfg); err != nil {
		return exitWithError(err)
	}
	return exitSuccess
}

func serveConsole(ctx context.Context, cfg setup.Console) error {
	log := logs.Named(logs.New(os.Stderr, logrus.InfoLevel), "console")
	console := forms.New(forms.Config{
		Platform: object.NewClient(cfg.Platform, netip.Addr{}),
		Admin:    cfg.Admin,
		Token:    cfg.Token,
		Log:      log,
	})
	srv := &http.Server{Addr: cfg.Listen.String(), Handler: console.Handler(), ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		_ = srv.Shutdown(ctx)
	})
	defer stop()
	log.With("address", cfg.Listen).Info("Console is listening.")
	if err := srv.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
