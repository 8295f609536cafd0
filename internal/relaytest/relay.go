// Package relaytest provides a loopback relay for tests that can silence its open
// connections: packets are dropped without acknowledgement or reset, while new
// connections work.
package relaytest

import (
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"testing"

	"github.com/pkg/errors"
)

// Relay forwards connections to one address.
type Relay struct {
	listener net.Listener
	target   netip.AddrPort
	pipes    sync.WaitGroup

	mu       sync.Mutex
	conns    []*net.TCPConn
	accepted int
	closed   bool
}

// New starts a relay to target and closes it at the end of the test.
func New(t *testing.T, target netip.AddrPort) *Relay {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	relay := &Relay{listener: listener, target: target}
	relay.pipes.Go(relay.accept)
	t.Cleanup(relay.Close)
	return relay
}

// Addr returns the listen address.
func (r *Relay) Addr() netip.AddrPort { return netip.MustParseAddrPort(r.listener.Addr().String()) }

// Accepted returns the number of connections forwarded so far.
func (r *Relay) Accepted() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}

// Silence drops all further packets of the open connections; closed ones are
// skipped.
func (r *Relay) Silence() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range r.conns {
		if err := dropIncoming(conn); err != nil && !errors.Is(err, net.ErrClosed) {
			return err
		}
	}
	return nil
}

// Resume ends the effect of Silence on the connections that are still open.
func (r *Relay) Resume() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range r.conns {
		raw, err := conn.SyscallConn()
		if err == nil {
			err = AcceptIncoming(raw)
		}
		if err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, syscall.ENOENT) {
			return err
		}
	}
	return nil
}

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp4", r.target.String())
		if err != nil {
			_ = client.Close()
			continue
		}
		r.connect(client.(*net.TCPConn), server.(*net.TCPConn))
	}
}

// connect forwards bytes in both directions.
func (r *Relay) connect(client, server *net.TCPConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.accepted++
	r.conns = append(r.conns, client, server)
	r.pipes.Go(func() { r.relay(client, server) })
	if r.closed {
		_ = client.Close()
		_ = server.Close()
	}
}

// relay forwards both directions, and closes the connections once both have ended.
func (r *Relay) relay(client, server *net.TCPConn) {
	var answers sync.WaitGroup
	answers.Go(func() { pipe(server, client) })
	pipe(client, server)
	answers.Wait()
	_ = client.Close()
	_ = server.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns = slices.DeleteFunc(r.conns, func(conn *net.TCPConn) bool { return conn == client || conn == server })
}

// pipe forwards the bytes and the end of one direction.
func pipe(from, to *net.TCPConn) {
	if _, err := io.Copy(to, from); err != nil {
		// Reset both sides, or a writer would block for ever after its reader closed.
		for _, conn := range []*net.TCPConn{to, from} {
			_ = conn.SetLinger(0)
			_ = conn.Close()
		}
		return
	}
	_ = to.CloseWrite()
}

// Close resets all connections and stops listening.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	r.closed = true
	for _, conn := range r.conns {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
	r.mu.Unlock()
	r.pipes.Wait()
}

// dropIncoming makes the kernel drop every packet received for a connection.
func dropIncoming(conn *net.TCPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	return DropIncoming(raw)
}
