package main

import (
	"net"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

// silence occupies the address of an upstream without power: datagrams are not read, and connections to it time out, because the queue of its
// listener is full.
type silence struct {
	packets  *net.UDPConn
	listener int
	// queued fill the listener's queue.
	queued []net.Conn
}

// fillTimeout is how long a connection that does not fit into the queue may wait.
const fillTimeout = 20 * time.Millisecond

func newSilence(addr netip.AddrPort) (s *silence, err error) {
	s = &silence{listener: -1}
	defer func() {
		if err != nil {
			s.Close()
		}
	}()
	if s.packets, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr)); err != nil {
		return s, err
	}
	if s.listener, err = unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0); err != nil {
		return s, err
	}
	if err = unix.SetsockoptInt(s.listener, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return s, err
	}
	if err = unix.Bind(s.listener, &unix.SockaddrInet4{Port: int(addr.Port()), Addr: addr.Addr().As4()}); err != nil {
		return s, err
	}
	if err = unix.Listen(s.listener, 0); err != nil {
		return s, err
	}
	for {
		conn, err := net.DialTimeout("tcp", addr.String(), fillTimeout)
		if err != nil {
			return s, nil
		}
		s.queued = append(s.queued, conn)
	}
}

// Close frees the address.
func (s *silence) Close() {
	if s.packets != nil {
		_ = s.packets.Close()
	}
	if s.listener >= 0 {
		_ = unix.Close(s.listener)
	}
	for _, conn := range s.queued {
		_ = conn.Close()
	}
}
