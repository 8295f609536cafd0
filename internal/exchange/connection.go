// Package exchange sends HTTP/1.1 requests over pooled connections. It sends
// each request at most once, knows when it fails whether any byte left this
// process, tells answers in excess from the one that is due, and never reuses
// a connection that carries bytes which belong to no request.
//
// Connections may fall silent without a reset. The kernel finds that out by
// bytes and probes that nobody acknowledges; connections that were open at the
// time of one found silent are not used again.
//
// net/http's Transport reads answers in the background and repeats some
// requests by itself; both lose what this package has to know. Requests and
// answers are still written and parsed by net/http.
package exchange

import (
	"bufio"
	"net"
	"time"
)

// connection is one TCP connection to a back end; one exchange uses it at a
// time.
type connection struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// idleSince and idleUntil bound the rest between two exchanges; told says
	// that the peer named the time. The peer was last heard at idleSince.
	idleSince, idleUntil time.Time
	told                 bool
	// ackWithin is how long sent bytes may stay unacknowledged.
	ackWithin time.Duration
	// opening is how long it took to open, until the first exchange has told it.
	opening time.Duration
}
