package detour

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/exchange"
)

// startEndless starts a back end that sends a beginning and then a piece again and again, and tells when its
// connection was closed.
func startEndless(t *testing.T, begin, piece string) (address string, closed chan struct{}) {
	t.Helper()
	closed = make(chan struct{}, 8)
	address = startBackend(t, func(conn *net.TCPConn) {
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, err := io.WriteString(conn, begin)
		for err == nil {
			_, err = io.WriteString(conn, piece)
		}
		closed <- struct{}{}
	})
	return address, closed
}

// A back end that sends without an end through a router that relays must be closed as soon as the router that asked
// gives it up, whether that had to find it too large, has read enough, or holds the connection in its pool.
func TestEndlessAnswersThroughRelaysAreClosed(t *testing.T) {
	const success = "HTTP/1.1 200 OK\r\n"
	bytes := strings.Repeat("x", 64<<10)
	tests := []struct {
		name, begin, piece string
		// read is how much of the body is read before it is closed, -1 if there is no answer.
		read int64
	}{
		{"field", success + "Name: ", bytes, -1},
		{"fields", success, strings.Repeat("Name: x\r\n", 1024), -1},
		{"body with a length", success + "Content-Length: 1099511627776\r\n\r\n", bytes, 1 << 20},
		{"chunked body", success + "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + bytes + "\r\n", 1 << 20},
		{"unframed body", success + "\r\n", bytes, 1 << 20},
		{"bytes after an answer", success + "Content-Length: 2\r\n\r\nok", bytes, 2},
	}
	for _, tt := range tests {
		for _, way := range relayWays {
			t.Run(tt.name+", "+way.name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				address, closed := startEndless(t, tt.begin, tt.piece)
				router := startHelper(t, lendAll).peer
				pool := exchange.NewPool(exchange.Options{Detour: &onlyThrough{Dialer: dialerOf(router), borrow: way.borrow}})
				defer pool.CloseIdle(true)
				response, err := pool.Do(t.Context(), address, &exchange.Request{Method: http.MethodGet, Target: "/", Host: "backend.example"})
				is.Equal(err != nil, tt.read < 0)
				if err == nil {
					_, err := io.CopyN(io.Discard, response.Body, tt.read)
					is.NoErr(err)
					_, _ = response.Body.Read(make([]byte, 1))
					is.NoErr(response.Body.Close())
				}
				select {
				case <-closed:
				case <-time.After(10 * time.Second):
					t.Error("the back end's connection is still open")
				}
			})
		}
	}
}
