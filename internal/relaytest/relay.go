// Package relaytest has a loopback relay for tests whose open connections can
// be made silent: nothing that either side sends is acknowledged any more and no
// reset follows, while new connections work.
package relaytest

import (
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"unsafe"

	"github.com/pkg/errors"
)

// soAttachFilter is the socket option SO_ATTACH_FILTER of Linux.
const soAttachFilter = 26

// Relay passes connections on to one address.
type Relay struct {
	listener net.Listener
	target   netip.AddrPort
	pipes    sync.WaitGroup

	mu       sync.Mutex
	conns    []*net.TCPConn
	accepted int
	closed   bool
}

// New starts a relay to target that ends with the test.
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

// Addr returns where the relay listens.
func (r *Relay) Addr() netip.AddrPort { return netip.MustParseAddrPort(r.listener.Addr().String()) }

// Accepted returns how many connections the relay has taken.
func (r *Relay) Accepted() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}

// Silence makes all open connections silent; those that just ended stay ended.
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

// connect passes bytes on in both directions.
func (r *Relay) connect(client, server *net.TCPConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.accepted++
	r.conns = append(r.conns, client, server)
	r.pipes.Go(func() { pipe(client, server) })
	r.pipes.Go(func() { pipe(server, client) })
	if r.closed {
		_ = client.Close()
		_ = server.Close()
	}
}

// pipe passes the bytes of one direction on, and its end.
func pipe(from, to *net.TCPConn) {
	if _, err := io.Copy(to, from); err != nil {
		// Both sides see the end as a reset: one that writes would wait for ever for a reader
		// that is gone.
		for _, conn := range []*net.TCPConn{to, from} {
			_ = conn.SetLinger(0)
			_ = conn.Close()
		}
		return
	}
	_ = to.CloseWrite()
}

// Close resets all connections and takes no new ones.
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

// packetFilter is a classic packet filter as the kernel reads it; an instruction is its
// code, in two bytes, two jumps and an operand.
type packetFilter struct {
	length uint16
	first  *[8]byte
}

// returnConstant is the code that ends a packet filter; its operand is the number of
// bytes kept of the packet.
const returnConstant = 0x06

// dropIncoming lets the kernel drop every packet that arrives for a connection.
func dropIncoming(conn *net.TCPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var keepNothing [8]byte
	binary.NativeEndian.PutUint16(keepNothing[:], returnConstant)
	filter := packetFilter{length: 1, first: &keepNothing}
	var errno syscall.Errno
	err = raw.Control(func(descriptor uintptr) {
		_, _, errno = syscall.Syscall6(
			syscall.SYS_SETSOCKOPT, descriptor, syscall.SOL_SOCKET, soAttachFilter,
			uintptr(unsafe.Pointer(&filter)), unsafe.Sizeof(filter), 0,
		)
	})
	if err != nil {
		return err
	}
	if errno != 0 {
		return errno
	}
	return nil
}
