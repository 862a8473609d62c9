package relay

import (
	"context"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/base/ring"
	"hawthorncourse/internal/core/egress"
	"hawthorncourse/internal/core/health"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
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
		"a reset":                             {result: probeResult{err: failure(syscall.ECONNRESET)}, outcome: health.OutcomeFull, counter: "upstream.probe_full"},
		"a reset during a stall":              {result: probeResult{err: failure(syscall.ECONNRESET), stalled: true}, outcome: health.OutcomeFull, counter: "upstream.probe_full"},
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

// silentAddress returns the address of a socket whose queue of connections is full, so that it does not answer further ones.
func silentAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	is := is.New(t)
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	is.NoErr(err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	is.NoErr(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	is.NoErr(syscall.Listen(fd, 0))
	name, err := syscall.Getsockname(fd)
	is.NoErr(err)
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(name.(*syscall.SockaddrInet4).Port))
	conn, err := net.DialTimeout("tcp", address.String(), time.Second)
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	return address
}

// TestProbeEndsBeforeStallIsNoted checks that a probe that times out during a stall is inconclusive, although the decision loop handles its end before
// the overdue timer that tells of the stall.
func TestProbeEndsBeforeStallIsNoted(t *testing.T) {
	is := is.New(t)
	r := newTestRelay(t)
	r.segments, r.stall, r.egress = ring.New[model.Segment](8), newStallDetector(bootClock), egress.New[outgoing](0)
	r.counters, r.cfg.LogsDropped = newActionCounters(r.counts), func() int64 { return 0 }
	r.recorder, r.suspicions = recorder{log: r.logger("flow")}, ring.New[model.Suspicion](8)
	r.limits.Store(&Limits{})
	u := &roster.Upstream{Registration: model.Registration{ID: "a-1", Address: silentAddress(t)}}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- r.decide(ctx) }()
	r.submit(ctx, func(now model.Instant) {
		u.Health.RecordTimeout(now)
		u.Health.RecordTimeout(now)
		is.True(u.Health.StartProbe(now))
		r.probe(ctx, u, 50*time.Millisecond)
		// The decision loop is blocked until after the end of the probe, and its timer is overdue.
		sleep(ctx, tickInterval+3*stallThreshold)
	})
	for ended := make(chan bool); ; {
		r.submit(ctx, func(model.Instant) { ended <- u.Health.LastProbe() != 0 })
		if <-ended {
			break
		}
		sleep(ctx, 10*time.Millisecond)
	}
	cancel()
	is.NoErr(<-done)
	// The upstream did not answer the probe, which counts neither for it nor against it.
	is.Equal(u.Health.Timeouts(), 2)
	is.Equal(u.Health.FailedProbes(), 0)
}
