package relay

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/health"
)

// dialError returns the error of a dial to a local port that accepts no connection.
func dialError(ctx context.Context, t *testing.T) error {
	t.Helper()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", closed.Addr().String())
	if err == nil {
		_ = conn.Close()
		t.Fatal("the port accepts connections")
	}
	return err
}

// TestFailureOfOwnInstance checks that a probe that fails because of this instance does not count against the upstream.
func TestFailureOfOwnInstance(t *testing.T) {
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	failure := func(errno syscall.Errno) error {
		return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("socket", errno)}
	}
	timeout := &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	const local = "upstream.probe_local_error"
	cases := map[string]struct {
		result  probeResult
		outcome health.Outcome
		counter string
	}{
		"a connection":                        {outcome: health.OutcomeAnswered},
		"a connection during a stall":         {result: probeResult{stalled: true, saturated: true}, outcome: health.OutcomeAnswered},
		"a refusal":                           {result: probeResult{err: dialError(t.Context(), t)}, outcome: health.OutcomeFailed},
		"a refusal during a stall":            {result: probeResult{err: failure(syscall.ECONNREFUSED), stalled: true}, outcome: health.OutcomeFailed},
		"a reset":                             {result: probeResult{err: failure(syscall.ECONNRESET)}, outcome: health.OutcomeFailed},
		"no path":                             {result: probeResult{err: failure(syscall.EHOSTUNREACH)}, outcome: health.OutcomeFailed},
		"a timeout":                           {result: probeResult{err: timeout}, outcome: health.OutcomeFailed},
		"a timeout of the system":             {result: probeResult{err: failure(syscall.ETIMEDOUT)}, outcome: health.OutcomeFailed},
		"a timeout during a stall":            {result: probeResult{err: timeout, stalled: true}, outcome: health.OutcomeInconclusive},
		"a timeout while the link is full":    {result: probeResult{err: timeout, saturated: true}, outcome: health.OutcomeInconclusive, counter: "upstream.probe_saturated"},
		"no descriptor in the process":        {result: probeResult{err: failure(syscall.EMFILE)}, outcome: health.OutcomeInconclusive, counter: local},
		"no descriptor in the system":         {result: probeResult{err: failure(syscall.ENFILE)}, outcome: health.OutcomeInconclusive, counter: local},
		"no local port":                       {result: probeResult{err: failure(syscall.EADDRNOTAVAIL)}, outcome: health.OutcomeInconclusive, counter: local},
		"no buffer":                           {result: probeResult{err: failure(syscall.ENOBUFS)}, outcome: health.OutcomeInconclusive, counter: local},
		"no memory":                           {result: probeResult{err: failure(syscall.ENOMEM)}, outcome: health.OutcomeInconclusive, counter: local},
		"no memory while the process stalled": {result: probeResult{err: failure(syscall.ENOMEM), stalled: true}, outcome: health.OutcomeInconclusive, counter: local},
		"a cancelled context":                 {result: probeResult{err: dialError(cancelled, t)}, outcome: health.OutcomeInconclusive, counter: local},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			outcome, counter := tc.result.classify()
			is.Equal(outcome, tc.outcome)
			is.Equal(counter, tc.counter)
		})
	}
}
