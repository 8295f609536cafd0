package exchange

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/connend"
)

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not define.
const tcpUserTimeout = 0x12

const (
	// probeInterval is the time between two keep-alive probes of an idle connection
	// and before the first one, the least the kernel allows. A silent connection
	// ends after two intervals.
	probeInterval = time.Second
	// probeCount is the number of unanswered probes that end a connection; it has
	// no effect with a user timeout.
	probeCount = 2
)

// keepAliveProbes makes the kernel probe the peers of idle connections. Probes
// carry no data and cost the back end no work.
var keepAliveProbes = net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount}

// setUserTimeout makes the kernel end a connection whose peer does not acknowledge
// sent bytes for so long. The first retransmission, 200 ms after the sending at the
// earliest, always takes place.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// setReceiveBuffer bounds the bytes that lie unread in the kernel. The window that a peer may fill is about as
// large, so it must be called before the connection is opened.
func setReceiveBuffer(raw syscall.RawConn, bytes int) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
	})
	if err != nil {
		return err
	}
	return failed
}

// idleState is the state of a connection after its idle time.
type idleState uint8

const (
	// idleOpen means that nothing was received.
	idleOpen idleState = iota
	// idleClosed means that the peer closed the connection or sent bytes that belong
	// to no request.
	idleClosed
	// idleSilent means that the peer did not answer probes.
	idleSilent
)

// checkIdle returns the state of an idle connection without reading from it.
func (c *connection) checkIdle() idleState {
	if c.foundSilent {
		return idleSilent
	}
	if c.buffered() > 0 {
		return idleClosed
	}
	raw := c.raw()
	if raw == nil {
		return idleClosed
	}
	var found error
	var peeked [1]byte
	err := raw.Control(func(descriptor uintptr) {
		_, _, found = syscall.Recvfrom(int(descriptor), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err == nil && found == syscall.EAGAIN:
		return idleOpen
	case isSilent(found):
		return idleSilent
	default:
		return idleClosed
	}
}

// unacknowledged reports whether sent bytes are not acknowledged yet.
func (c *connection) unacknowledged() bool {
	count, err := connend.Unacknowledged(c.Conn)
	return err == nil && count > 0
}

// setAckTimeout limits how long sent bytes may stay unacknowledged.
func (c *connection) setAckTimeout(within time.Duration) {
	if within == c.ackTimeout {
		return
	}
	raw := c.raw()
	if raw == nil {
		return
	}
	// On an error the previous timeout stays; a closed connection fails on its next
	// use.
	if setUserTimeout(raw, within) == nil {
		c.ackTimeout = within
	}
}

func (c *connection) raw() syscall.RawConn {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// isSilent reports whether an error means that the peer acknowledged neither bytes
// nor probes in time.
func isSilent(err error) bool { return errors.Is(err, syscall.ETIMEDOUT) }
