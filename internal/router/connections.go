package router

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// idleBeforeClose is how long a connection is idle before a leaving router
	// closes it. A caller that has not used it for so long is hardly about to.
	idleBeforeClose = 2 * time.Second
	// drainCheckInterval is the time between two looks at the open connections.
	drainCheckInterval = 50 * time.Millisecond
)

// connections follows the caller connections of an HTTP server, so that a
// planned stop cuts none. The answer to a request that came before the stop
// has told its caller that the connection stays open; closing it right after
// the answer would meet the caller's next request. Such a connection is closed
// by the answer to its next request, which says so, or when it has been idle
// for a while.
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
// ends. The server must tell callers to close with every answer it begins.
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

// closeIdle closes those connections that have been idle for long enough, and
// returns how many are left.
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
		// Closing makes the server report the connection as closed; an error
		// says that it is closed already.
		_ = conn.Close()
	}
	return left
}
