package inbound

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"
)

// phase is what a client's connection is used for.
type phase uint8

const (
	// resting is a connection on which no byte of a request came yet.
	resting phase = iota
	// reading is one on which the header of a request comes.
	reading
	// serving is one whose request is run; its body may still come.
	serving
)

// Conn is one connection of a client. The fields from phase on are guarded by the
// mutex of its Clients.
type Conn struct {
	*net.TCPConn
	clients *Clients
	raw     syscall.RawConn
	// extra says that the connection is above the bound.
	extra bool

	phase phase
	since time.Time
	// rests is how long the connection may rest by the limits at the rest's begin.
	rests  time.Duration
	closed bool
}

// Read implements net.Conn. The first bytes after a rest begin a header; net/http
// tells of them only once the header is whole.
func (c *Conn) Read(buffer []byte) (int, error) {
	count, err := c.TCPConn.Read(buffer)
	if count > 0 {
		c.clients.began(c)
	}
	return count, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.clients.forget(c)
	return c.TCPConn.Close()
}

// ClientClosed reports whether the client has closed its side, or the connection broke.
// What it sent before its close may still be unread.
func (c *Conn) ClientClosed() bool {
	var count int
	var found error
	var peeked [1]byte
	err := c.raw.Control(func(descriptor uintptr) {
		count, _, found = syscall.Recvfrom(int(descriptor), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return true
	}
	switch found {
	case nil:
		return count == 0
	case syscall.EAGAIN, syscall.EINTR:
		return false
	default:
		return true
	}
}

// connKey is where the context of a request holds its connection.
type connKey struct{}

// ConnContext is for http.Server: requests find their connection in their context.
func (c *Clients) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// ConnFromContext returns the connection of a request, or nil if it came on no connection of a
// client.
func ConnFromContext(ctx context.Context) *Conn {
	conn, _ := ctx.Value(connKey{}).(*Conn)
	return conn
}

// ConnState is for http.Server: it follows what connections are used for.
func (c *Clients) ConnState(conn net.Conn, state http.ConnState) {
	known, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.turn(known, serving)
	case http.StateIdle:
		c.turn(known, resting)
	case http.StateHijacked, http.StateClosed:
		c.forget(known)
	}
}
