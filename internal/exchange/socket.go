package exchange

import (
	"net"
	"syscall"
	"time"
	"unsafe"

	"github.com/pkg/errors"
)

// Socket options of Linux that package syscall does not name.
const (
	// tcpUserTimeout is TCP_USER_TIMEOUT.
	tcpUserTimeout = 0x12
	// siocOutQueue is SIOCOUTQ: the bytes sent and not yet acknowledged.
	siocOutQueue = 0x5411
)

const (
	// probeInterval is the time between two keep-alive probes of a connection on
	// which nothing moves, and before the first one: the least the kernel knows. A
	// connection that fell silent ends two of them later (2.05 s on Linux 6.18).
	probeInterval = time.Second
	// probeCount is the number of probes without an answer that end a connection
	// without a user timeout; with one, the timeout counts.
	probeCount = 2
)

// proofOfLife lets the kernel ask peers of resting connections whether they are
// still there. Probes carry no request and cost a peer no work.
var proofOfLife = net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount}

// setUserTimeout makes the kernel give up a connection whose peer does not
// acknowledge what was sent for so long. The first retransmission, 200 ms after
// the sending at least, always gets its chance.
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

// rest is what became of a resting connection.
type rest uint8

const (
	// restOpen is a connection on which nothing came.
	restOpen rest = iota
	// restEnded is one that its peer ended, or that carries bytes which no request
	// asked for.
	restEnded
	// restSilent is one whose peer did not answer probes.
	restSilent
)

// look tells what became of a resting connection.
func (c *connection) look() rest {
	if c.reader.Buffered() > 0 {
		return restEnded
	}
	raw := c.raw()
	if raw == nil {
		return restEnded
	}
	var found error
	var peeked [1]byte
	err := raw.Control(func(descriptor uintptr) {
		_, _, found = syscall.Recvfrom(int(descriptor), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err == nil && found == syscall.EAGAIN:
		return restOpen
	case silent(found):
		return restSilent
	default:
		return restEnded
	}
}

// unacknowledged reports whether bytes sent are still on their way.
func (c *connection) unacknowledged() bool {
	raw := c.raw()
	if raw == nil {
		return false
	}
	var count int32
	var errno syscall.Errno
	err := raw.Control(func(descriptor uintptr) {
		_, _, errno = syscall.Syscall(syscall.SYS_IOCTL, descriptor, siocOutQueue, uintptr(unsafe.Pointer(&count)))
	})
	return err == nil && errno == 0 && count > 0
}

// expectAcks bounds how long sent bytes may stay unacknowledged.
func (c *connection) expectAcks(within time.Duration) {
	if within == c.ackWithin {
		return
	}
	raw := c.raw()
	if raw == nil {
		return
	}
	// A connection that refuses keeps its former bound; it fails by itself if it
	// is closed.
	if setUserTimeout(raw, within) == nil {
		c.ackWithin = within
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

// silent reports whether an error says that the peer acknowledged neither bytes nor
// probes in time.
func silent(err error) bool { return errors.Is(err, syscall.ETIMEDOUT) }
