package logs_test

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"hawthorncourse/internal/base/logs"
)

// TestLimiter checks that many lines of one kind do not suppress those of other kinds, and that the suppressed lines are counted.
func TestLimiter(t *testing.T) {
	is := is.New(t)
	l := logs.Limiter{Limit: 3}
	written := 0
	for range 10_000 {
		if l.Allow(0, "reset") {
			written++
		}
	}
	is.Equal(written, 3)
	is.True(l.Allow(0, "place"))
	is.Equal(len(l.NextWindow(time.Second/2)), 0)
	is.Equal(l.NextWindow(time.Second), []logs.Suppressed{{Kind: "reset", Lines: 9997}})
	is.True(l.Allow(time.Second, "reset"))
	is.Equal(len(l.NextWindow(2*time.Second)), 0)
}

// blockedWriter is a writer that blocks until its channel is closed.
type blockedWriter struct {
	unblock chan struct{}
	bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.unblock
	return w.Buffer.Write(b)
}

// TestAsync checks that a blocked output does not block the logging goroutine, and that every line is either written or counted as dropped.
func TestAsync(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{unblock: make(chan struct{})}
	a := logs.NewAsync(out)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = a.Run(ctx)
		close(done)
	}()
	log := logs.NewJSON(a, logrus.InfoLevel)
	start := time.Now()
	const lines = 20_000
	for n := range lines {
		logs.Named(log, "flow").With("n", n).Info("A line.")
	}
	is.True(time.Since(start) < 5*time.Second)
	dropped := a.Dropped()
	is.True(dropped > 0)
	close(out.unblock)
	cancel()
	<-done
	a.Flush()
	is.Equal(int(dropped)+bytes.Count(out.Bytes(), []byte("\n")), lines)
}

// TestJSON checks the format of a line, which the command that searches logs parses.
func TestJSON(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	logs.Named(logs.NewJSON(&out, logrus.InfoLevel), "flow").With("upstream", "a").Info("A new flow is placed.")
	var line map[string]string
	is.NoErr(json.Unmarshal(out.Bytes(), &line))
	is.Equal(line["msg"], "flow: A new flow is placed.")
	is.Equal(line["level"], "info")
	is.Equal(line["upstream"], "a")
	_, err := time.Parse(time.RFC3339Nano, line["time"])
	is.NoErr(err)
}

// TestLimiterWithoutNextWindow checks that the limit also holds if NextWindow is called late, as by a stalled process, and that no suppressed line
// is left out of its count.
func TestLimiterWithoutNextWindow(t *testing.T) {
	is := is.New(t)
	l := logs.Limiter{Limit: 3}
	written := 0
	for ms := range 5000 {
		if l.Allow(time.Duration(ms)*time.Millisecond, "reset") {
			written++
		}
	}
	is.Equal(written, 15)
	is.Equal(l.NextWindow(5*time.Second), []logs.Suppressed{{Kind: "reset", Lines: 4985}})
}
