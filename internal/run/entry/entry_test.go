package entry

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"hawthorncourse/internal/base/count"
	"hawthorncourse/internal/base/ring"
	"hawthorncourse/internal/conf/keys"
	"hawthorncourse/internal/core/bind"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/peer/mesh"
	"hawthorncourse/internal/wire/frame"
)

// newIdleEntry returns an instance without sockets whose decision loop does not run.
func newIdleEntry() *Entry {
	return &Entry{log: logrus.New(), counts: count.New(), commands: ring.New[command](1)}
}

// TestStatusWithoutDecisions checks that a status request ends with an error if the decision loop has stopped or is stalled.
func TestStatusWithoutDecisions(t *testing.T) {
	cases := map[string]func(*Entry){
		"queue of commands is empty": func(*Entry) {},
		"queue of commands is full":  func(e *Entry) { e.commands.Offer(nil) },
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newIdleEntry()
			prepare(e)
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			w := httptest.NewRecorder()
			done := make(chan struct{})
			go func() {
				e.getStatus(w, httptest.NewRequestWithContext(ctx, http.MethodGet, "/status", nil))
				close(done)
			}()
			select {
			case <-done:
				is.Equal(w.Code, http.StatusServiceUnavailable)
			case <-time.After(3 * time.Second):
				t.Fatal("status request does not end")
			}
		})
	}
}

// TestObjectDuringInstallation checks that the active object can be read while the installation of a newer one waits for the decision loop:
// answers to peers need it.
func TestObjectDuringInstallation(t *testing.T) {
	is := is.New(t)
	e := newIdleEntry()
	e.commands.Offer(nil)
	body, err := keys.Rotate(bind.Keys{}, 1)
	is.NoErr(err)
	go e.Offer(mesh.KindKeys, model.Position{Revision: 3}, body)
	time.Sleep(50 * time.Millisecond)
	read := make(chan struct{})
	go func() {
		e.Object(mesh.KindKeys)
		close(read)
	}()
	select {
	case <-read:
	case <-time.After(3 * time.Second):
		t.Fatal("the active object cannot be read")
	}
}

// TestReadErrors checks that a socket on which every read fails does not keep the processor busy.
func TestReadErrors(t *testing.T) {
	is := is.New(t)
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(conn.SetReadDeadline(time.Unix(1, 0)))
	e := newIdleEntry()
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	is.NoErr(e.read(ctx, conn, func(frame.Frame, netip.AddrPort) {}))
	is.NoErr(e.counts.Close())
	for _, total := range e.counts.Totals() {
		is.True(total.Value <= 100)
	}
}
