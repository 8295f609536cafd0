// Package exchange sends HTTP/1.1 requests over pooled connections. It sends
// each request at most once, knows when it fails whether any byte left this
// process, tells answers in excess from the one that is due, and never reuses
// a connection that carries bytes which belong to no request.
//
// net/http's Transport reads answers in the background and repeats some
// requests by itself; both lose what this package has to know. Requests and
// answers are still written and parsed by net/http.
package exchange

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux.
const tcpUserTimeout = 0x12

// connection is one TCP connection to a back end; one exchange uses it at a
// time.
type connection struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// idleSince and idleUntil bound the rest between two exchanges; told says
	// that the peer named the time.
	idleSince, idleUntil time.Time
	told                 bool
	// opening is how long it took to open, until the first exchange has told it.
	opening time.Duration
}

// setUserTimeout makes the kernel give up a connection whose peer does not
// acknowledge what was sent for so long.
func setUserTimeout(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(descriptor uintptr) {
			failed = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}
}

// quiet reports whether a resting connection is open and has nothing to read.
// Anything to read on it is either its end or bytes that no request asked for.
func (c *connection) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var peeked [1]byte
	err = raw.Read(func(descriptor uintptr) bool {
		_, _, err := syscall.Recvfrom(int(descriptor), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
