package inbound

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
)

const (
	// pendingShare is the share of MaxConnections that may wait until they are accepted, minPending how many may at
	// least. The kernel drops the opening packets of others, which are sent again.
	pendingShare = 4
	minPending   = 128
)

// boundUnread sets the receive buffer of a listening socket, which its connections inherit.
func (c *Clients) boundUnread(_, _ string, socket syscall.RawConn) error {
	return control(socket, func(descriptor int) error {
		return syscall.SetsockoptInt(descriptor, syscall.SOL_SOCKET, syscall.SO_RCVBUF, c.cfg.ReceiveBytes)
	})
}

// MaxPending returns how many connections may wait until they are accepted, of a number of connections that may be
// open.
func MaxPending(connections int) int { return max(connections/pendingShare, minPending) }

// boundPending limits the connections that wait until they are accepted.
func (c *Clients) boundPending(listener net.Listener) error {
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return errors.Errorf("listener of type %T is not a TCP listener", listener)
	}
	socket, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	return control(socket, func(descriptor int) error { return syscall.Listen(descriptor, MaxPending(c.cfg.MaxConnections)) })
}

// control calls a function with the descriptor of a socket.
func control(socket syscall.RawConn, call func(descriptor int) error) error {
	var failed error
	err := socket.Control(func(descriptor uintptr) { failed = call(int(descriptor)) })
	if err != nil {
		return err
	}
	return failed
}
