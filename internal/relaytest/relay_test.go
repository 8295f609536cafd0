package relaytest

// A test of routers hung for nine minutes. The dump of its goroutines: a stand-in of the store was
// writing an answer of 6 MB, of which a router takes 4 MB at most, into a connection of the relay;
// all others waited for the lock that the writer held. A relay whose reader was gone took no more of
// the answer, and did not end the connection that it came from.

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// answerBytes is more than all buffers between two ends take in.
const answerBytes = 64 << 20

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
	is.NoErr(reader.Close()) // with bytes unread: a reset, where only the answer is still passed on
	select {
	case err := <-ended:
		is.True(err != nil)
	case <-time.After(10 * time.Second):
		t.Error("the writer waits for a reader that is gone")
	}
}
