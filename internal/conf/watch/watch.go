// Package watch notices that a file has changed, with a signal or without.
package watch

import (
	"bytes"
	"context"
	"os"
	"time"
)

// Config is what a watch is built from.
type Config struct {
	// Path names the file.
	Path string
	// Interval is how often the file is read without a signal; each read costs as much as one log line.
	Interval time.Duration
	// Signals lets the file be read at once; it may be nil.
	Signals <-chan os.Signal
	// OnChange takes the content each time that it differs from what it was.
	OnChange func(text []byte)
	// OnError takes why the file could not be read; what it was last stays in force.
	OnError func(err error)
}

// Run watches until ctx ends; known is the content that is in force.
func Run(ctx context.Context, cfg Config, known []byte) {
	tick := time.NewTicker(cfg.Interval)
	defer tick.Stop()
	failed := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-cfg.Signals:
		}
		text, err := os.ReadFile(cfg.Path)
		switch {
		case err != nil && !failed:
			cfg.OnError(err)
		case err == nil && !bytes.Equal(text, known):
			known = text
			cfg.OnChange(text)
		}
		failed = err != nil
	}
}
