package watch_test

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/conf/watch"
)

// TestRun checks that a changed file is reported after a signal and by polling, that a deleted file is reported once as an error, and that
// an unchanged file is not reported.
func TestRun(t *testing.T) {
	const timeout = 5 * time.Second
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings")
	write := func(text string) { is.NoErr(os.WriteFile(path, []byte(text), 0o600)) }
	next := func(c <-chan string) string {
		select {
		case text := <-c:
			return text
		case <-time.After(timeout):
			return "nothing"
		}
	}
	write("a")
	signals, changed, failed := make(chan os.Signal), make(chan string, 8), make(chan string, 8)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	cfg := watch.Config{
		Path: path, Interval: time.Hour, Signals: signals,
		OnChange: func(text []byte) { changed <- string(text) }, OnError: func(error) { failed <- "failed" },
	}
	go watch.Run(ctx, cfg, []byte("a"))
	signals <- syscall.SIGHUP
	write("b")
	signals <- syscall.SIGHUP
	is.Equal(next(changed), "b")
	is.NoErr(os.Remove(path))
	signals <- syscall.SIGHUP
	signals <- syscall.SIGHUP
	is.Equal(next(failed), "failed")
	write("b")
	signals <- syscall.SIGHUP
	signals <- syscall.SIGHUP
	is.Equal(len(failed), 0)
	is.Equal(len(changed), 0)

	cfg.Interval, cfg.Signals = 10*time.Millisecond, nil
	go watch.Run(ctx, cfg, []byte("b"))
	write("c")
	is.Equal(next(changed), "c")
}
