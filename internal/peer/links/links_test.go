package links_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"net/rpc"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/base/count"
	"hawthorncourse/internal/peer/links"
)

// Slow is an RPC service whose only method does not reply before its connection is closed.
type Slow struct {
	release chan struct{}
}

// Wait blocks until the test ends.
func (s *Slow) Wait(_ int, _ *int) error {
	<-s.release
	return nil
}

// TestCallError checks that a caller whose context is cancelled can tell this from a peer that does not reply in time.
func TestCallError(t *testing.T) {
	cases := map[string]struct {
		cancelAfter, timeout time.Duration
		want                 error
	}{
		"peer does not reply": {cancelAfter: 10 * time.Second, timeout: 50 * time.Millisecond, want: links.ErrTimeout},
		"caller is cancelled": {cancelAfter: 50 * time.Millisecond, timeout: 10 * time.Second, want: context.Canceled},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			service := &Slow{release: make(chan struct{})}
			srv := rpc.NewServer()
			is.NoErr(srv.Register(service))
			p := links.New(links.Config{Name: "test", Local: l.Addr(), Counts: count.New()})
			serving, stop := context.WithCancel(context.Background())
			t.Cleanup(func() {
				close(service.release)
				stop()
			})
			go func() { _ = p.Serve(serving, l, srv) }()
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(tc.cancelAfter, cancel)
			var reply int
			err = p.Call(ctx, netip.MustParseAddrPort(l.Addr().String()), "Slow.Wait", 0, &reply, tc.timeout)
			is.True(errors.Is(err, tc.want))
		})
	}
}
