package detour

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A router that lends counts the connection until it ends; one that has none to spare is passed over.
func TestConnectionIsBorrowedFromRouterThatHasOne(t *testing.T) {
	is := is.New(t)
	lent := make(chan string, 1)
	done := make(chan struct{})
	poor := startHelper(t, func(config *ServerConfig) {
		config.Lend = func(string) (func(), bool) { return nil, false }
	})
	rich := startHelper(t, func(config *ServerConfig) {
		config.Lend = func(address string) (func(), bool) {
			lent <- address
			return func() { close(done) }, true
		}
	})
	address := startBackend(t, func(conn *net.TCPConn) { _, _ = io.Copy(io.Discard, conn) })
	dialer := dialerOf(poor.peer, startOldRouter(t), rich.peer)
	opened, err := dialer.Borrow(t.Context(), address)
	is.NoErr(err)
	is.Equal(<-lent, address)
	is.Equal(opened.Through, rich.peer.Addr)
	is.NoErr(opened.Conn.Close())
	<-done
}

// Without a lender, others are asked again only after a pause, and no more often than maxRefusedLoans a
// second over all addresses.
func TestLendersAreAskedAgainAfterPause(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	known := lenders{until: map[string]time.Time{}}
	is.True(known.mayAsk(now, "a"))
	known.observeRefused(now, "a")
	is.True(!known.mayAsk(now.Add(noLenderPause-time.Millisecond), "a"))
	is.True(known.mayAsk(now.Add(noLenderPause), "a"))
	is.True(known.mayAsk(now, "b"))
	for range maxRefusedLoans {
		known.observeRefused(now, "c")
	}
	is.True(!known.mayAsk(now.Add(noLenderPause), "b"))
	is.True(known.mayAsk(now.Add(time.Second), "b"))
}

// A router that stops or knows no such method does not lend.
func TestOnlyAvailableRoutersLend(t *testing.T) {
	is := is.New(t)
	stopping := startHelper(t, func(config *ServerConfig) { config.Available = func() bool { return false } })
	dialer := dialerOf(stopping.peer, startOldRouter(t))
	_, err := dialer.Borrow(t.Context(), startBackend(t, func(conn *net.TCPConn) { _ = conn.Close() }))
	is.True(errors.Is(err, errNoLender))
}
