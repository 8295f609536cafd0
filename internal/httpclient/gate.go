package httpclient

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/pkg/errors"
)

// errSealed is returned for a write after the exchange was given up.
var errSealed = errors.New("exchange was given up before it was sent")

// gatedConnection counts the writes begun on a connection and can be sealed
// against further ones. Without the seal, a request given up by its context
// could still be written by the transport's own goroutine after it was judged
// unsent.
type gatedConnection struct {
	net.Conn
	mutex  sync.Mutex
	writes uint64
	sealed bool
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
	return g.Conn.Write(data)
}

func (g *gatedConnection) begun() uint64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.writes
}

// seal forbids further writes and returns the number begun.
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

// sentTracker follows one exchange over the connections it was given. The
// transport calls it from the goroutine of RoundTrip.
type sentTracker struct {
	given []givenConnection
	// opaque is set when a connection is not a gated one; nothing can be
	// promised about it then.
	opaque bool
}

type givenConnection struct {
	gate   *gatedConnection
	before uint64
}

func (t *sentTracker) gotConnection(info httptrace.GotConnInfo) {
	gate, known := info.Conn.(*gatedConnection)
	if !known {
		t.opaque = true
		return
	}
	t.given = append(t.given, givenConnection{gate: gate, before: gate.begun()})
}

// sealAll seals the connections of a failed exchange and reports whether a
// byte of it can have been written. The transport does not reuse a connection
// whose exchange failed; if it did, the next exchange would fail as unsent.
func (t *sentTracker) sealAll() bool {
	sent := t.opaque
	for _, given := range t.given {
		if given.gate.seal() != given.before {
			sent = true
		}
	}
	return sent
}
