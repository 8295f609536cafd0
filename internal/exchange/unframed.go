package exchange

import (
	"io"
	"time"

	"github.com/fieldpond/fieldpond/internal/connend"
)

// proveEnd returns nil if the end of the connection is the end of the answer: the back end has received the
// whole request and then ended its side.
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
	return connend.AwaitReceived(c.connection.Conn)
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
		return connend.ErrNotReceived
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
	timeout := time.NewTimer(connend.ReceiptTimeout)
	defer timeout.Stop()
	select {
	case <-c.writeEnded:
	case <-timeout.C:
	}
	if !c.written.Load() {
		return connend.ErrNotReceived
	}
	return nil
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
