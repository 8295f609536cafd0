// Package connend tells whether the end of a TCP connection may end an answer that has neither a length nor chunks.
//
// The kernel reports a reset only once, to whichever call on the connection comes next. Where that is a write of the
// request, reads find an end that looks orderly. An end counts only once the peer has acknowledged the whole
// request: then no write can have met a reset.
package connend

import (
	"net"
	"syscall"
	"time"
	"unsafe"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// ErrNotReceived means that a connection ended before the peer had received all that was written, so that its end
// proves nothing.
var ErrNotReceived = errors.New("the connection ended before the peer had received the whole request")

const (
	// ReceiptTimeout bounds the wait, after the peer has ended its side, until it has received the rest of the request:
	// it may answer early and read on.
	ReceiptTimeout = 500 * time.Millisecond
	// receiptPoll is the time between two checks whether it has.
	receiptPoll = 2 * time.Millisecond
)

const (
	// siocOutQueue is SIOCOUTQ, the number of unacknowledged bytes, which package syscall does not define.
	siocOutQueue = 0x5411
	// tcpCloseWait is the state TCP_CLOSE_WAIT: the peer has ended its side in order.
	tcpCloseWait = 8
)

// Unacknowledged returns the number of bytes written to a TCP connection that its peer has not acknowledged,
// also after a reset. It returns 0 for other connections, and an error for a closed one.
func Unacknowledged(conn net.Conn) (int, error) {
	raw := socket(conn)
	if raw == nil {
		return 0, nil
	}
	var count int32
	var errno syscall.Errno
	err := raw.Control(func(descriptor uintptr) {
		_, _, errno = syscall.Syscall(syscall.SYS_IOCTL, descriptor, siocOutQueue, uintptr(unsafe.Pointer(&count)))
	})
	if err == nil && errno != 0 {
		err = errno
	}
	return int(count), err
}

// AwaitReceived waits until the peer, which has ended its side, has acknowledged all that was written. It returns
// ErrNotReceived after ReceiptTimeout, or at once if the connection is reset.
func AwaitReceived(conn net.Conn) error {
	for until := time.Now().Add(ReceiptTimeout); ; time.Sleep(receiptPoll) {
		count, err := Unacknowledged(conn)
		if err != nil {
			return errors.Wrap(err, "find out what the peer has received")
		}
		if count == 0 {
			return nil
		}
		if !endedInOrder(conn) || time.Now().After(until) {
			return ErrNotReceived
		}
	}
}

// endedInOrder reports whether the peer has ended its side and neither side has reset the connection.
func endedInOrder(conn net.Conn) bool {
	raw := socket(conn)
	if raw == nil {
		return false
	}
	ended := false
	err := raw.Control(func(descriptor uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		ended = err == nil && info.State == tcpCloseWait
	})
	return err == nil && ended
}

// socket returns the socket of a connection, nil if it has none.
func socket(conn net.Conn) syscall.RawConn {
	owner, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := owner.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}
