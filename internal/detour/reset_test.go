package detour

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/exchange"
)

const (
	// uploadBytes exceed what the kernel buffers of both connections through a relay.
	uploadBytes = 16 << 20
	// relayedBytes exceed what the kernel buffers for a back end that does not read, but not what it does for the
	// connections of a relay.
	relayedBytes = 1 << 20
)

// startResetting starts a back end that answers a request of which it has read only the beginning, and resets the
// connection.
func startResetting(t *testing.T) string {
	t.Helper()
	return startBackend(t, func(conn *net.TCPConn) {
		_, _ = conn.Read(make([]byte, 1))
		_, _ = io.WriteString(conn, unframedAnswer)
		// The answer must arrive first: a reset drops what is not sent yet.
		time.Sleep(time.Millisecond)
		_ = conn.SetLinger(0)
		_ = conn.Close()
	})
}

// upload sends a long request by way of a router, and returns what it receives of the body of the answer.
func upload(t *testing.T, router Peer, address string, bytes int) (string, error) {
	pool := exchange.NewPool(exchange.Options{Detour: &onlyThrough{Dialer: dialerOf(router)}})
	defer pool.CloseIdle(true)
	response, err := pool.Do(t.Context(), address, &exchange.Request{
		Method: http.MethodPost, Target: "/", Host: "backend.example", Body: make([]byte, bytes),
	})
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// The kernel reports a reset once. A router that relays must not tell that the back end ended its side in order if
// its write met the reset, to routers that ask for a receipt or do not.
func TestResetMetByAWriteIsToldAsAReset(t *testing.T) {
	for _, counted := range []bool{true, false} {
		is := is.New(t)
		conn, err := net.Dial("tcp4", startResetting(t))
		is.NoErr(err)
		backend := &backendConn{Conn: conn, counted: counted}
		for err == nil {
			_, err = backend.Write(make([]byte, copyBytes))
		}
		var told bytes.Buffer
		is.NoErr(relayFramed(&told, backend))
		is.True(strings.HasSuffix(told.String(), relayedBody+lineEnd+lastChunk+trailerReset+lineEnd+lineEnd))
		is.NoErr(conn.Close())
	}
}

// An answer that a reset cuts off during a long upload must not look whole behind a relay.
func TestResetDuringARelayedUploadIsNoEndOfAnAnswer(t *testing.T) {
	const tries = 50
	is := is.New(t)
	router := startHelper(t).peer
	address := startResetting(t)
	whole := 0
	for range tries {
		if body, err := upload(t, router, address, uploadBytes); err == nil && body == relayedBody {
			whole++
		}
	}
	is.Equal(whole, 0)
}

func startRelay(t *testing.T) Peer { return startHelper(t).peer }

// Where a back end ends its side early in order, only the number of bytes that it received proves its answer.
func TestReceiptProvesRelayedAnswers(t *testing.T) {
	tests := []struct {
		name   string
		router func(t *testing.T) Peer
		bytes  int
		// reads is whether the back end reads the whole request before it answers.
		reads, whole bool
	}{
		{"read whole", startRelay, uploadBytes, true, true},
		{"read in part", startRelay, uploadBytes, false, false},
		{"read in part, taken whole by the relay", startRelay, relayedBytes, false, false},
		{"read whole, by way of an older build", startWithoutReceipts, uploadBytes, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			received := make(chan struct{})
			address := startBackend(t, func(conn *net.TCPConn) {
				defer func() { _ = conn.Close() }()
				if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil && tt.reads {
					_, _ = io.Copy(io.Discard, request.Body)
				}
				_, _ = io.WriteString(conn, unframedAnswer)
				_ = conn.CloseWrite()
				<-received
			})
			body, err := upload(t, tt.router(t), address, tt.bytes)
			close(received)
			is.Equal(err == nil, tt.whole)
			is.Equal(body, relayedBody)
		})
	}
}
