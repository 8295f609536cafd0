package inbound_test

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/inbound"
)

// sendUnread sends on a connection until the peer takes no more, and returns the number of bytes.
func sendUnread(t *testing.T, conn net.Conn) (sent int) {
	t.Helper()
	// The pieces and the send buffer are small, so that the count is nearly what lies at the receiver.
	if err := conn.(*net.TCPConn).SetWriteBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	piece := make([]byte, 1<<10)
	for {
		_ = conn.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
		count, err := conn.Write(piece)
		sent += count
		if err != nil {
			return sent
		}
	}
}

// What clients send before it is read is bounded by the router, also on connections that it has not accepted.
func TestUnreadBytesAreBounded(t *testing.T) {
	is := is.New(t)
	const bound, slack = 16 << 10, 64 << 10
	clients := inbound.New(inbound.Config{ReceiveBytes: bound})
	listener, err := clients.Listen("127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	conn := dial(t, netip.MustParseAddrPort(listener.Addr().String()), "")
	is.True(sendUnread(t, conn) < bound+slack)
	accepted, err := listener.Accept()
	is.NoErr(err)
	defer func() { _ = accepted.Close() }()
	is.True(sendUnread(t, conn) < bound+slack)
}

// A long body must get a larger window while it arrives: with the small one it comes slowly from far away.
func TestLongBodyGetsAWiderWindow(t *testing.T) {
	is := is.New(t)
	const bound, wide = 16 << 10, 128 << 10
	clients := inbound.New(inbound.Config{ReceiveBytes: bound})
	listener, err := clients.Listen("127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	conn := dial(t, netip.MustParseAddrPort(listener.Addr().String()), "")
	accepted, err := listener.Accept()
	is.NoErr(err)
	defer func() { _ = accepted.Close() }()
	served := accepted.(*inbound.Conn)
	var body inbound.Body
	body.Begin(clients, served, &interruptedReader{})
	body.Widen()

	// The window grows as bytes are read.
	go func() { _, _ = conn.Write(make([]byte, 2<<20)) }()
	_, err = io.CopyN(io.Discard, served.TCPConn, 2<<20)
	is.NoErr(err)
	is.True(sendUnread(t, conn) > wide)
	body.Release()
}
