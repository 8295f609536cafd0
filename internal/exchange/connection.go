// Package exchange sends HTTP/1.1 requests over pooled connections. It sends
// each request at most once, reports on a failure whether any byte left this
// process, matches answers to their requests, and never reuses a connection
// with bytes that belong to no request.
//
// A connection is silent if its peer stops acknowledging without a reset. The
// kernel detects that by unacknowledged bytes and probes; idle connections that
// received nothing since are then closed.
//
// net/http's Transport reads answers in the background and retries some requests
// by itself, which hides what was sent. This package uses net/http only to parse
// answers.
package exchange

import (
	"bufio"
	"net"
	"net/netip"
	"sync/atomic"
	"time"
)

// connection is one TCP connection to a back end, used by one exchange at a time.
type connection struct {
	net.Conn
	address string
	// number identifies the connection in its pool; exchanges counts those begun on it.
	number    uint64
	exchanges int
	reader    *bufio.Reader
	// head is what reader reads from; received is the buffer beneath it, nil for none.
	head     headReader
	received *bufio.Reader
	// framed is whether the end of the back end's side is told, see Opened.
	framed bool
	// receipt is that of Opened, written the number of bytes written so far.
	receipt Receipt
	written atomic.Int64
	// idleSince and idleUntil bound the idle time between two exchanges;
	// timeoutAdvertised is true if the peer advertised it. The last byte was
	// received at idleSince.
	idleSince, idleUntil time.Time
	timeoutAdvertised    bool
	// idleCount is how often the connection became idle, checkPending whether it will be checked while it is
	// idle. The mutex of the pool guards both.
	idleCount    int
	checkPending bool
	// foundSilent is whether a check found the connection silent: the kernel tells that once.
	foundSilent bool
	// ackTimeout is how long sent bytes may stay unacknowledged.
	ackTimeout time.Duration
	// connectTime is how long opening took; 0 once the first exchange reported it.
	connectTime time.Duration
	// through is the router that relays the connection, the zero value for a direct one.
	through  netip.AddrPort
	openedAt time.Time
	// borrowed is whether the connection is one of those that another router may open.
	borrowed bool
}

// tellsEnd reports whether the end of what reader returns is the end of what the back end sent. The end of
// a connection to a router that relays it may be that of the router.
func (c *connection) tellsEnd() bool { return !c.through.IsValid() || c.framed }

// Write implements io.Writer.
func (c *connection) Write(data []byte) (int, error) {
	count, err := c.Conn.Write(data)
	c.written.Add(int64(count))
	return count, err
}

// buffered returns the number of bytes that were received and not read yet.
func (c *connection) buffered() int {
	count := c.reader.Buffered()
	if c.received != nil {
		count += c.received.Buffered()
	}
	return count
}
