package inbound

import "time"

const (
	// UnreservedBodyBytes is the memory of a body that needs no reservation, so that short ones are read while
	// long ones use up the memory.
	UnreservedBodyBytes = 4 << 10
	// yieldAfter is how long a body may arrive before others may take its memory if there is no more.
	yieldAfter = time.Second
	// wideReceiveBytes bounds the unread bytes of a connection on which a long body arrives, so that it comes fast from
	// far away; the kernel doubles that.
	wideReceiveBytes  = 256 << 10
	wideReceiveMemory = 2 * wideReceiveBytes
)

// BodyReader reads the body of a request.
type BodyReader interface {
	// Interrupt makes the read fail, since others have taken the memory of the body. It must not block.
	Interrupt()
}

// Body is the memory of the body of a request. Its zero value has none.
type Body struct {
	clients *Clients
	// conn is the connection on which the body arrives, or nil.
	conn   *Conn
	reader BodyReader

	// The rest is guarded by the mutex of clients. begunAt is when the body began to arrive, arriving whether it
	// still does, interrupted whether others have taken its memory.
	reserved int64
	// wide is the memory that is reserved for more unread bytes, in bytes.
	wide                  int64
	begunAt               time.Time
	arriving, interrupted bool
}

// Begin begins the memory of a body that arrives on a connection, which may be nil. Release must be called.
func (b *Body) Begin(clients *Clients, conn *Conn, reader BodyReader) {
	*b = Body{clients: clients, conn: conn, reader: reader, begunAt: time.Now(), arriving: true}
	if conn != nil {
		clients.mu.Lock()
		defer clients.mu.Unlock()
		conn.bodySince = b.begunAt
	}
}

// Reserve reserves memory, and reports whether the limit allows it. If need be it takes that of bodies that have been
// arriving for long.
func (b *Body) Reserve(bytes int64) bool {
	c := b.clients
	c.mu.Lock()
	defer c.mu.Unlock()
	for !b.interrupted {
		if c.reserveLocked(bytes) {
			b.reserved += bytes
			c.bodies[b] = struct{}{}
			return true
		}
		slowest := c.slowestBody(time.Now().Add(-yieldAfter))
		if slowest == nil || slowest == b {
			break
		}
		slowest.interrupted = true
		slowest.releaseLocked()
		slowest.reader.Interrupt()
	}
	c.refused++
	return false
}

// slowestBody returns the body with memory that has been arriving for the longest time, if it began by a time; the
// caller holds the mutex.
func (c *Clients) slowestBody(by time.Time) (slowest *Body) {
	for body := range c.bodies {
		if body.arriving && !body.begunAt.After(by) && (slowest == nil || body.begunAt.Before(slowest.begunAt)) {
			slowest = body
		}
	}
	return slowest
}

// Widen lets more bytes of the body lie unread in the kernel until it is whole, if there is memory for them.
func (b *Body) Widen() {
	c := b.clients
	c.mu.Lock()
	defer c.mu.Unlock()
	if b.conn == nil || b.wide > 0 || !b.arriving || c.cfg.ReceiveBytes >= wideReceiveBytes || !c.reserveLocked(wideReceiveMemory) {
		return
	}
	b.wide = wideReceiveMemory
	// On an error the bound stays as it is, here and below.
	_ = b.conn.SetReadBuffer(wideReceiveBytes)
}

// Arrived records that the body is whole, so that it keeps its memory, and reports false if others have taken that.
func (b *Body) Arrived() bool {
	b.clients.mu.Lock()
	defer b.clients.mu.Unlock()
	b.endLocked()
	return !b.interrupted
}

// endLocked records that the body does not arrive any more; the caller holds the mutex.
func (b *Body) endLocked() {
	b.arriving = false
	if b.wide > 0 {
		b.clients.bodyBytes -= b.wide
		b.wide = 0
		_ = b.conn.SetReadBuffer(b.clients.cfg.ReceiveBytes)
	}
	if b.conn != nil {
		b.conn.bodySince = time.Time{}
	}
}

// Release returns all memory.
func (b *Body) Release() {
	if b.clients == nil {
		return
	}
	b.clients.mu.Lock()
	defer b.clients.mu.Unlock()
	b.endLocked()
	b.releaseLocked()
}

// releaseLocked returns all memory; the caller holds the mutex.
func (b *Body) releaseLocked() {
	b.clients.bodyBytes -= b.reserved
	b.reserved = 0
	delete(b.clients.bodies, b)
}
