package inbound

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

// phase is the current use of a client's connection.
type phase uint8

const (
	// phaseIdle lasts until the first byte of a request.
	phaseIdle phase = iota
	// phaseHeader lasts while the header of a request is received.
	phaseHeader
	// phaseServing lasts while a request is served; its body may still arrive.
	phaseServing
)

// Conn is one connection of a client. The fields from phase on are guarded by the
// mutex of its Clients.
type Conn struct {
	*net.TCPConn
	clients *Clients
	raw     syscall.RawConn
	// overLimit is true for a connection above MaxConnections.
	overLimit bool
	// head is the head that is read now, or was read last; serving is whether its request is served, and bodyBytes
	// the length of its body, negative if that is not known. They are used by the goroutine that reads.
	head      head
	serving   bool
	bodyBytes int64

	phase      phase
	phaseSince time.Time
	// served is whether a whole head was received.
	served bool
	// idleLimit is the limit of the idle time as configured at its start.
	idleLimit time.Duration
	closed    bool
	// bodySince is when a body began to arrive that is not whole yet, else zero.
	bodySince time.Time
	// headMemory is the memory reserved for the head, in bytes; headRefused is whether that was too little for a
	// head that net/http had read.
	headMemory  int64
	headRefused bool
}

// Read implements net.Conn. The first bytes on an idle connection start a head; net/http reports them only once the
// head is complete. A head that is refused is answered here and ends the connection.
func (c *Conn) Read(buffer []byte) (int, error) {
	count, err := c.TCPConn.Read(buffer)
	if count == 0 {
		return count, err
	}
	if c.serving {
		c.readServing(buffer[:count], len(buffer))
		return count, err
	}
	c.head.read(buffer[:count])
	if refusal := c.clients.recordHead(c); refusal != headAccepted {
		c.refuseHead(refusal)
		return 0, io.EOF
	}
	return count, err
}

// readServing counts what was read while a request is served; room is the size of the buffer. net/http reads single
// bytes to detect that the client leaves.
func (c *Conn) readServing(data []byte, room int) {
	if room == 1 {
		c.head.readSingle(data)
		return
	}
	c.head.readBehind(data)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.clients.remove(c)
	return c.TCPConn.Close()
}

// ClientClosed reports whether the client has closed its side, or the connection broke.
// Data sent before the close may still be unread.
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

// connKey is the context key of a request's connection.
type connKey struct{}

// ConnContext is for http.Server; it adds the connection to the context of requests.
func (c *Clients) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// ConnFromContext returns the connection of a request, or nil if the context has
// none.
func ConnFromContext(ctx context.Context) *Conn {
	conn, _ := ctx.Value(connKey{}).(*Conn)
	return conn
}

// ConnState is for http.Server; it tracks the phases of connections.
func (c *Clients) ConnState(conn net.Conn, state http.ConnState) {
	known, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		known.serving = true
		c.setPhase(known, phaseServing)
	case http.StateIdle:
		known.head, known.serving = known.head.next(known.bodyBytes), false
		c.setPhase(known, phaseIdle)
	case http.StateHijacked, http.StateClosed:
		c.remove(known)
	}
}
