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

// TestBudget checks that a flood of one kind leaves the others alone and is summed up.
func TestBudget(t *testing.T) {
	is := is.New(t)
	b := logs.Limiter{Limit: 3}
	written := 0
	for range 10_000 {
		if b.Allow(0, "reset") {
			written++
		}
	}
	is.Equal(written, 3)
	is.True(b.Allow(0, "place"))
	is.Equal(len(b.NextWindow(time.Second/2)), 0)
	is.Equal(b.NextWindow(time.Second), []logs.Suppressed{{Kind: "reset", Lines: 9997}})
	is.True(b.Allow(time.Second, "reset"))
	is.Equal(len(b.NextWindow(2*time.Second)), 0)
}

// stuck is a reader of output that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(b)
}

// TestAsync checks that a blocked reader of the output stops nobody, and that what it cost is known.
func TestAsync(t *testing.T) {
	is := is.New(t)
	out := &stuck{release: make(chan struct{})}
	a := logs.NewAsync(out)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		_ = a.Run(ctx)
		close(ended)
	}()
	log := logs.NewJSON(a, logrus.InfoLevel)
	began := time.Now()
	const lines = 20_000
	for n := range lines {
		logs.Named(log, "flow").With("n", n).Info("A line.")
	}
	is.True(time.Since(began) < 5*time.Second)
	lost := a.Dropped()
	is.True(lost > 0)
	close(out.release)
	cancel()
	<-ended
	a.Flush()
	is.Equal(int(lost)+bytes.Count(out.Bytes(), []byte("\n")), lines)
}

// TestJSON checks the shape of a line, on which the reader of logs depends.
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
