// Package watch detects changes of a file, by polling and on signals.
package watch

import (
	"bytes"
	"context"
	"os"
	"time"
)

// Config is the configuration of a watch.
type Config struct {
	// Path is the path of the file.
	Path string
	// Interval is the polling interval; one read costs about as much as writing a log line.
	Interval time.Duration
	// Signals triggers an immediate read; it may be nil.
	Signals <-chan os.Signal
	// OnChange is called with the new content each time that it differs from the previous content.
	OnChange func(text []byte)
	// OnError is called when the file becomes unreadable, once until a read succeeds again. The previous content stays the current one.
	OnError func(err error)
}

// Run watches the file until ctx ends. The initial value of current is the content that the process already uses.
func Run(ctx context.Context, cfg Config, current []byte) {
	tick := time.NewTicker(cfg.Interval)
	defer tick.Stop()
	unreadable := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-cfg.Signals:
		}
		text, err := os.ReadFile(cfg.Path)
		switch {
		case err != nil && !unreadable:
			cfg.OnError(err)
		case err == nil && !bytes.Equal(text, current):
			current = text
			cfg.OnChange(text)
		}
		unreadable = err != nil
	}
}
