package relaytest

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// answerBytes is more than all buffers between both ends hold.
const answerBytes = 64 << 20

// Guards against a writer that blocks for ever because the relay keeps its connection open after
// the reader closed.
func TestWriterFailsWhenReaderIsGone(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	requestEnded, ended := make(chan struct{}), make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			ended <- err
			return
		}
		go func() {
			_, _ = io.Copy(io.Discard, conn)
			close(requestEnded)
		}()
		_, err = conn.Write(make([]byte, answerBytes))
		ended <- err
	}()
	relay := New(t, netip.MustParseAddrPort(listener.Addr().String()))
	reader, err := net.Dial("tcp4", relay.Addr().String())
	is.NoErr(err)
	_, err = reader.Read(make([]byte, 1))
	is.NoErr(err)
	is.NoErr(reader.(*net.TCPConn).CloseWrite())
	<-requestEnded
	is.NoErr(reader.Close()) // unread bytes cause a reset while only the answer is being forwarded
	select {
	case err := <-ended:
		is.True(err != nil)
	case <-time.After(10 * time.Second):
		t.Error("the writer still blocks after its reader closed")
	}
}
