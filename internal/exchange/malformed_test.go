package exchange_test

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/answer"
	"github.com/fieldpond/fieldpond/internal/exchange"
)

// inner reads as a whole answer to the request.
const inner = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\ninner"

// Bytes that are no answer must not be passed on as one, nor what follows them on the connection.
func TestMalformedAnswersAreErrors(t *testing.T) {
	tests := []struct {
		name, sent string
		cause      answer.Cause
	}{
		{"status 000", "HTTP/1.1 000 Broken\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody", answer.CauseStatus},
		{"status 000 with an answer in its body", "HTTP/1.1 000 Broken\r\nId: 1\r\n\r\n" + inner, answer.CauseStatus},
		{"status 101 with an answer behind it", "HTTP/1.1 101 Switching Protocols\r\nId: 1\r\n\r\n" + inner, answer.CauseStatus},
		{"status 600", "HTTP/1.1 600 Broken\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody", answer.CauseStatus},
		{"status 999", "HTTP/1.1 999 Broken\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody", answer.CauseStatus},
		{"two blanks before the status", "HTTP/1.1  200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody", answer.CauseStatus},
		{"HTTP/2.0", "HTTP/2.0 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody", answer.CauseVersion},
		{"HTTP/9.9", "HTTP/9.9 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody", answer.CauseVersion},
		{"blank in a name", "HTTP/1.1 200 OK\r\nId: 1\r\nNa me: x\r\nContent-Length: 4\r\n\r\nbody", answer.CauseName},
		{"blank at the end of a name", "HTTP/1.1 200 OK\r\nId: 1\r\nName : x\r\nContent-Length: 4\r\n\r\nbody", answer.CauseName},
		{"blank before a name", "HTTP/1.1 200 OK\r\nId: 1\r\n Name: x\r\nContent-Length: 4\r\n\r\nbody", answer.CauseName},
		{"blank at the end of the length's name", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length : 4\r\n\r\nbody", answer.CauseName},
		{"blank in the length's name", "HTTP/1.1 200 OK\r\nId: 1\r\nContent Length: 4\r\n\r\nbody", answer.CauseName},
		{"blank at the end of the coding's name", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", answer.CauseName},
		{"coding beside a length", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding : chunked\r\nContent-Length: 4\r\n\r\nbody", answer.CauseName},
		{"control character in a name", "HTTP/1.1 200 OK\r\nId: 1\r\nNa\x01me: x\r\nContent-Length: 4\r\n\r\nbody", answer.CauseName},
		{"blank in a name of an informational answer", "HTTP/1.1 103 Early\r\nNa me: x\r\n\r\n" + inner, answer.CauseName},
		{"blank in a name of an answer to another request", "HTTP/1.1 200 OK\r\nId: 7\r\nNa me: x\r\nContent-Length: 2\r\n\r\nno" + inner, answer.CauseName},
		{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", answer.CauseFraming},
		{"length and chunks", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", answer.CauseFraming},
		{"blank in the name of a trailer", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nNa me: x\r\n\r\n", answer.CauseTrailer},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			server := listen(t, func(connection net.Conn, reader *bufio.Reader) {
				if _, _, err := readRequest(reader); err == nil {
					_, _ = io.WriteString(connection, tt.sent)
				}
			})
			pool := exchange.NewPool(exchange.Options{})
			defer pool.CloseIdle(true)
			for range 2 {
				response, err := pool.Do(t.Context(), server.address(), requestWithID("1"))
				if err == nil {
					_, err = io.ReadAll(response.Body)
					_ = response.Body.Close()
				}
				var malformed *answer.MalformedError
				is.True(errors.As(err, &malformed))
				is.Equal(malformed.Cause, tt.cause)
			}
			is.Equal(pool.Malformed()[tt.cause], uint64(2))
			is.Equal(pool.Opened(), uint64(2)) // such a connection is not used again
		})
	}
}

// What stands in the body of a long answer to another request must not be read as the next head.
func TestBodyOfALongAnswerToAnotherRequestIsNoAnswer(t *testing.T) {
	const skippedBytes = 1 << 20
	for _, framing := range []string{"Content-Length: 2097152\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n200000\r\n"} {
		is := is.New(t)
		server := listen(t, func(connection net.Conn, reader *bufio.Reader) {
			if _, _, err := readRequest(reader); err == nil {
				_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nId: 7\r\n"+framing+strings.Repeat("x", skippedBytes)+inner)
			}
		})
		pool := exchange.NewPool(exchange.Options{})
		_, err := pool.Do(t.Context(), server.address(), requestWithID("1"))
		is.True(err != nil)
		pool.CloseIdle(true)
	}
}

// Sound answers that look unusual must arrive.
func TestUnusualAnswersArrive(t *testing.T) {
	tests := []struct{ name, sent string }{
		{"no reason", "HTTP/1.1 200\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody"},
		{"status 299", "HTTP/1.1 299 Other\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody"},
		{"informational answers", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody"},
		{"values", "HTTP/1.1 200 OK\r\nId: 1\r\nEmpty:\r\nUmlaut: \xe4\xf6\r\nContent-Length: 4\r\n\r\nbody"},
		{"trailer", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\nTrailer: Name\r\n\r\n4\r\nbody\r\n0\r\nName: x\r\n\r\n"},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\nId: 1\r\n\r\nbody"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			server := listen(t, func(connection net.Conn, reader *bufio.Reader) {
				if _, _, err := readRequest(reader); err == nil {
					_, _ = io.WriteString(connection, tt.sent)
				}
			})
			pool := exchange.NewPool(exchange.Options{})
			defer pool.CloseIdle(true)
			response, err := pool.Do(t.Context(), server.address(), requestWithID("1"))
			is.NoErr(err)
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(string(body), "body")
			is.NoErr(response.Body.Close())
		})
	}
}
