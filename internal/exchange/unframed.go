package exchange

import (
	"io"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// errRequestNotReceived means that a connection ended before the back end had received the whole request, so
// that the end of its answer proves nothing.
var errRequestNotReceived = errors.New("the connection ended before the back end had received the whole request")

const (
	// receiptTimeout bounds the wait, after the end of an unframed answer, until the back end has received the
	// rest of the request: it may answer early, end its side, and read on.
	receiptTimeout = 500 * time.Millisecond
	// receiptPoll is the time between two checks whether it has.
	receiptPoll = 2 * time.Millisecond
)

// tcpCloseWait is the state TCP_CLOSE_WAIT of the kernel: the peer has ended its side in order.
const tcpCloseWait = 8

// proveEnd returns nil if the end of the connection is the end of the answer: the back end has received the
// whole request and then ended its side. The kernel reports a reset only once, maybe to the write of the
// request; reads then return io.EOF.
func (c *call) proveEnd() error {
	if !c.connection.tellsEnd() {
		return c.connection.endNotTold()
	}
	if err := c.awaitWritten(); err != nil {
		return err
	}
	if c.connection.through.IsValid() {
		return c.proveRelayedEnd()
	}
	return c.connection.awaitReceived(receiptTimeout)
}

// proveRelayedEnd is proveEnd for a connection that a router relays, once the request was written.
func (c *call) proveRelayedEnd() error {
	var received int64
	known := false
	if c.connection.receipt != nil {
		received, known = c.connection.receipt.Received()
	}
	switch {
	case known && received == c.connection.written.Load():
		return nil
	case known:
		return errRequestNotReceived
	case c.writeEnded != nil:
		// A router of an older build may have met a reset in its writes of a long request.
		return c.connection.endNotTold()
	}
	return nil
}

// endNotTold returns the error of a router that did not tell how the back end ended its side.
func (c *connection) endNotTold() error {
	return &RelayError{Through: c.through, Cause: errEndNotTold}
}

// awaitWritten waits until the whole request was passed to the kernel.
func (c *call) awaitWritten() error {
	if c.writeEnded == nil {
		return nil
	}
	timeout := time.NewTimer(receiptTimeout)
	defer timeout.Stop()
	select {
	case <-c.writeEnded:
	case <-timeout.C:
	}
	if !c.written.Load() {
		return errRequestNotReceived
	}
	return nil
}

// awaitReceived waits until the peer has acknowledged all that was written. It returns an error after a timeout,
// or if the connection is reset.
func (c *connection) awaitReceived(timeout time.Duration) error {
	for until := time.Now().Add(timeout); ; time.Sleep(receiptPoll) {
		count, err := Unacknowledged(c.Conn)
		if err != nil {
			return errors.Wrap(err, "find out what the back end has received")
		}
		if count == 0 {
			return nil
		}
		if !c.endedByPeer() || time.Now().After(until) {
			return errRequestNotReceived
		}
	}
}

// endedByPeer reports whether the peer has ended its side and neither side has reset the connection.
func (c *connection) endedByPeer() bool {
	raw := c.raw()
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

// readUnframed turns the end of a connection into the error of an answer that it does not prove whole.
func (b *answerBody) readUnframed(err error) error {
	if err != io.EOF || b.complete {
		return err
	}
	if failed := b.call.proveEnd(); failed != nil {
		return failed
	}
	return io.EOF
}
