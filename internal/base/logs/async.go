package logs

import (
	"context"
	"io"
	"sync/atomic"

	"hawthorncourse/internal/base/ring"
)

// asyncBufferLines is the capacity of the buffer; it holds two seconds of output at the maximum rate that the limiters permit.
const asyncBufferLines = 1024

// Async is a buffered writer whose Write never blocks: Run writes the lines in another goroutine. It drops and counts lines that arrive while
// the buffer is full.
type Async struct {
	w       io.Writer
	lines   *ring.Ring[[]byte]
	dropped atomic.Int64
}

// NewAsync returns a writer to w, which writes nothing until Run is called.
func NewAsync(w io.Writer) *Async {
	return &Async{w: w, lines: ring.New[[]byte](asyncBufferLines)}
}

// Write implements io.Writer. It queues a copy of one line, or drops the line if the buffer is full, and never returns an error.
func (a *Async) Write(line []byte) (int, error) {
	if !a.lines.Offer(append([]byte(nil), line...)) {
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped or could not be written since the last call.
func (a *Async) Dropped() int64 {
	return a.dropped.Swap(0)
}

// Run writes queued lines until ctx ends; it then returns nil without writing the remaining ones.
func (a *Async) Run(ctx context.Context) error {
	for {
		line, ok := a.lines.Take(ctx)
		if !ok {
			return nil
		}
		a.write(line)
	}
}

// Flush writes the remaining lines; it must not run at the same time as Run.
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
