package detour

import (
	"io"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/fieldpond/fieldpond/internal/connend"
)

// endedError means that a back end ended its side in order.
type endedError struct {
	// received is the number of bytes that the back end had received by then.
	received int64
}

// Error implements error.
func (e *endedError) Error() string {
	return "the back end ended its side, having received " + strconv.FormatInt(e.received, 10) + " bytes"
}

// backendConn is a relayed connection to a back end that knows what the back end has received.
type backendConn struct {
	net.Conn
	// counted is whether reads end with an *endedError in place of io.EOF.
	counted bool
	// begun counts the bytes of all writes, written those that the kernel took.
	begun, written atomic.Int64
	failed         atomic.Bool
}

// Write implements io.Writer.
func (b *backendConn) Write(data []byte) (int, error) {
	b.begun.Add(int64(len(data)))
	count, err := b.Conn.Write(data)
	b.written.Add(int64(count))
	if err != nil {
		b.failed.Store(true)
	}
	return count, err
}

// Read implements io.Reader. It returns io.EOF only if the back end ended its side after it had received all
// bytes that were written.
func (b *backendConn) Read(buffer []byte) (int, error) {
	count, err := b.Conn.Read(buffer)
	if err == io.EOF {
		err = b.end()
	}
	return count, err
}

// end returns how the back end ended its side.
func (b *backendConn) end() error {
	b.awaitWrite()
	unacknowledged, err := connend.Unacknowledged(b.Conn)
	switch {
	case err != nil:
		return err
	case b.failed.Load():
		return connend.ErrNotReceived
	case b.counted:
		return &endedError{received: b.written.Load() - int64(unacknowledged)}
	case unacknowledged > 0 || b.begun.Load() != b.written.Load():
		return connend.ErrNotReceived
	}
	return io.EOF
}

const (
	// writeChecks and writeCheckInterval bound the wait for a write that the back end has answered already, but
	// that has not returned.
	writeChecks        = 20
	writeCheckInterval = time.Millisecond
)

// awaitWrite waits for a write in progress, unless the back end does not read.
func (b *backendConn) awaitWrite() {
	for check := 0; check < writeChecks && b.begun.Load() != b.written.Load() && !b.failed.Load(); check++ {
		time.Sleep(writeCheckInterval)
	}
}
