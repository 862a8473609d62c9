package logs

import (
	"context"
	"io"
	"sync/atomic"

	"hawthorncourse/internal/base/ring"
)

// asyncLines is how many lines wait for a slow reader: two seconds of the most that budgets let through.
const asyncLines = 1024

// Async is a writer that never waits: a duty of its own writes, and lines that find its ring full are counted.
type Async struct {
	w       io.Writer
	lines   *ring.Ring[[]byte]
	dropped atomic.Int64
}

// NewAsync returns a writer to w; Run must be running for anything to be written.
func NewAsync(w io.Writer) *Async {
	return &Async{w: w, lines: ring.New[[]byte](asyncLines)}
}

// Write implements io.Writer; it takes one line and never fails.
func (a *Async) Write(line []byte) (int, error) {
	if !a.lines.Offer(append([]byte(nil), line...)) {
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were lost since the last call.
func (a *Async) Dropped() int64 {
	return a.dropped.Swap(0)
}

// Run writes until ctx ends.
func (a *Async) Run(ctx context.Context) error {
	for {
		line, ok := a.lines.Take(ctx)
		if !ok {
			return nil
		}
		a.write(line)
	}
}

// Flush writes what waits; Run must have ended.
func (a *Async) Flush() {
	for a.lines.Len() > 0 {
		a.write(<-a.lines.Items())
	}
}

func (a *Async) write(line []byte) {
	if _, err := a.w.Write(line); err != nil {
		a.dropped.Add(1)
	}
}
