package tunnel_test

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/stand/tunnel"
)

// blockedLinks blocks both directions of every link.
type blockedLinks struct{}

func (blockedLinks) Blocked(string, string) bool        { return true }
func (blockedLinks) Delay(string, string) time.Duration { return 0 }

// TestCloseDuringBlock checks that Close also ends a connection that waits for the end of a block.
func TestCloseDuringBlock(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	p := tunnel.New(tunnel.Config{
		Listener: l, Target: netip.MustParseAddrPort("127.0.0.1:1"), ServerName: "server", ClientName: func(netip.Addr) string { return "client" }, Links: blockedLinks{},
	})
	conn, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	time.Sleep(50 * time.Millisecond)
	p.Close()
	is.NoErr(conn.SetReadDeadline(time.Now().Add(5 * time.Second)))
	_, err = conn.Read(make([]byte, 1))
	is.True(err != nil && !errors.Is(err, os.ErrDeadlineExceeded))
}
