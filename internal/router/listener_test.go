package router

import (
	"errors"
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
)

// Connections waiting in the kernel at the close must be accepted and answered, not
// reset.
func TestClosingListenerAcceptsPendingConnections(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	listener := &drainingListener{TCPListener: inner.(*net.TCPListener)}
	var callers []net.Conn
	for range 3 {
		caller, err := net.Dial("tcp", inner.Addr().String())
		is.NoErr(err)
		callers = append(callers, caller)
	}
	listener.closeWithoutLoss()
	for _, caller := range callers {
		accepted, err := listener.Accept()
		is.NoErr(err)
		_, err = accepted.Write([]byte("served"))
		is.NoErr(err)
		is.NoErr(accepted.Close())
		answer, err := io.ReadAll(caller)
		is.NoErr(err)
		is.Equal(string(answer), "served")
		is.NoErr(caller.Close())
	}
	_, err = listener.Accept()
	is.True(errors.Is(err, net.ErrClosed))
	_, err = net.Dial("tcp", inner.Addr().String())
	is.True(err != nil)
}
