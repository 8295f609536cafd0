package router

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// idleBeforeClose is the idle time after which a stopping router closes a
	// connection; a shorter one risks meeting the caller's next request.
	idleBeforeClose = 2 * time.Second
	// drainCheckInterval is the time between checks of the open connections.
	drainCheckInterval = 50 * time.Millisecond
)

// connections tracks the caller connections of an HTTP server, so that a planned
// stop interrupts no request. Closing a keep-alive connection right after an
// answer could race with the caller's next request; instead it closes with the
// answer to that request ("Connection: close"), or after idleBeforeClose.
type connections struct {
	mutex sync.Mutex
	open  map[net.Conn]connection
}

// connection is the state of one open connection.
type connection struct {
	idle bool
	// since is when the connection became idle.
	since time.Time
}

func newConnections() *connections { return &connections{open: make(map[net.Conn]connection)} }

// trackState is the ConnState hook of the HTTP server.
func (c *connections) trackState(conn net.Conn, state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
	case http.StateIdle:
		c.open[conn] = connection{idle: true, since: time.Now()}
	case http.StateNew, http.StateActive:
		c.open[conn] = connection{}
	}
}

// drain returns when every connection that is open now has been closed, or ctx
// ends. The server must send "Connection: close" with every answer.
func (c *connections) drain(ctx context.Context) {
	existing := c.snapshot()
	for ctx.Err() == nil && c.closeIdle(existing, time.Now()) > 0 {
		sleep(ctx, drainCheckInterval)
	}
}

func (c *connections) snapshot() []net.Conn {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	open := make([]net.Conn, 0, len(c.open))
	for conn := range c.open {
		open = append(open, conn)
	}
	return open
}

// closeIdle closes the connections that have been idle for idleBeforeClose, and
// returns how many of the others are open.
func (c *connections) closeIdle(conns []net.Conn, now time.Time) (left int) {
	c.mutex.Lock()
	var idle []net.Conn
	for _, conn := range conns {
		tracked, open := c.open[conn]
		switch {
		case !open:
		case tracked.idle && now.Sub(tracked.since) >= idleBeforeClose:
			idle = append(idle, conn)
		default:
			left++
		}
	}
	c.mutex.Unlock()
	for _, conn := range idle {
		// The server then reports StateClosed. An error means that the
		// connection is closed already.
		_ = conn.Close()
	}
	return left
}
