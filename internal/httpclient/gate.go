package httpclient

import (
	"context"
	"io"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/connend"
)

// errSealed is returned for a write after the exchange was abandoned.
var errSealed = errors.New("exchange was abandoned before it was sent")

// gatedConnection counts the writes started on a connection and can be sealed
// against further ones. Without the seal, the transport's goroutine could still
// write a cancelled request after it was reported as unsent.
type gatedConnection struct {
	net.Conn
	mutex  sync.Mutex
	writes uint64
	sealed bool
	// failed is whether a write failed.
	failed bool
}

// Write implements net.Conn.
func (g *gatedConnection) Write(data []byte) (int, error) {
	g.mutex.Lock()
	if g.sealed {
		g.mutex.Unlock()
		return 0, errSealed
	}
	g.writes++
	g.mutex.Unlock()
	count, err := g.Conn.Write(data)
	if err != nil {
		g.mutex.Lock()
		g.failed = true
		g.mutex.Unlock()
	}
	return count, err
}

// Read implements net.Conn. It returns io.EOF only if the peer has received all that was written.
func (g *gatedConnection) Read(buffer []byte) (int, error) {
	count, err := g.Conn.Read(buffer)
	if err != io.EOF {
		return count, err
	}
	if failed := connend.AwaitReceived(g.Conn); failed != nil {
		return count, failed
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.failed {
		return count, connend.ErrNotReceived
	}
	return count, io.EOF
}

func (g *gatedConnection) begun() uint64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.writes
}

// seal prevents further writes and returns the number started.
func (g *gatedConnection) seal() uint64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.sealed = true
	return g.writes
}

func dialGated(dialer *net.Dialer) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &gatedConnection{Conn: connection}, nil
	}
}

// sentTracker tracks the connections that one exchange used. The transport calls
// it from the goroutine of RoundTrip.
type sentTracker struct {
	used []usedConnection
	// untracked is set if a connection is not gated, so that it is unknown whether
	// bytes were sent.
	untracked bool
	write     requestWrite
}

type usedConnection struct {
	gate   *gatedConnection
	before uint64
}

func (t *sentTracker) gotConnection(info httptrace.GotConnInfo) {
	t.write.begin()
	gate, known := info.Conn.(*gatedConnection)
	if !known {
		t.untracked = true
		return
	}
	t.used = append(t.used, usedConnection{gate: gate, before: gate.begun()})
}

// sealAll seals the connections of a failed exchange and reports whether a byte
// of it may have been written. The transport does not reuse a connection after a
// failed exchange; if it did, the next exchange would fail as unsent.
func (t *sentTracker) sealAll() bool {
	sent := t.untracked
	for _, given := range t.used {
		if given.gate.seal() != given.before {
			sent = true
		}
	}
	return sent
}
