package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/answer"
	"github.com/fieldpond/fieldpond/internal/exchange"
)

// endlessly sends a beginning and then a piece without end, and counts the bytes.
func endlessly(begin, piece string, sent *atomic.Int64) func(net.Conn, *bufio.Reader) {
	return func(connection net.Conn, reader *bufio.Reader) {
		if _, _, err := readRequest(reader); err != nil {
			return
		}
		_, err := io.WriteString(connection, begin)
		for err == nil {
			var count int
			count, err = io.WriteString(connection, piece)
			sent.Add(int64(count))
		}
	}
}

// An answer whose first line or header does not end must not fill the memory of the router.
func TestEndlessHeadsAreGivenUp(t *testing.T) {
	const limit = 16 << 10
	tests := []struct {
		name, begin, piece string
		// cause is what is wrong before the limit is reached.
		cause answer.Cause
	}{
		{"first line", "HTTP/1.1 200 ", strings.Repeat("x", 1<<10), ""},
		{"no answer at all", "", strings.Repeat("\x00", 1<<10), answer.CauseVersion},
		{"one field", "HTTP/1.1 200 OK\r\nName: ", strings.Repeat("x", 1<<10), ""},
		{"one field over many lines", "HTTP/1.1 200 OK\r\nName: x\r\n", " x\r\n", answer.CauseName},
		{"many fields", "HTTP/1.1 200 OK\r\n", "Name: x\r\n", ""},
		{"a header that is only informational", "HTTP/1.1 103 Early\r\n", "Name: x\r\n", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var sent atomic.Int64
			server := listen(t, endlessly(tt.begin, tt.piece, &sent))
			pool := exchange.NewPool(exchange.Options{MaxHeaderBytes: limit})
			defer pool.CloseIdle(true)
			_, err := pool.Do(t.Context(), server.address(), requestWithID("1"))
			var failed *exchange.Error
			is.True(errors.As(err, &failed) && failed.Sent)
			if tt.cause != "" {
				var malformed *answer.MalformedError
				is.True(errors.As(err, &malformed) && malformed.Cause == tt.cause)
				is.Equal(pool.Malformed()[tt.cause], uint64(1))
				return
			}
			is.True(errors.Is(err, exchange.ErrHeadTooLarge))
			is.Equal(pool.TooLarge(), uint64(1))
		})
	}
}

// Answers that are all below the limit of one must not fill the memory together.
func TestAllHeadsTogetherAreBounded(t *testing.T) {
	is := is.New(t)
	const size, count = 60 << 10, 100
	// All heads together exceed what a pool reads at a time, and none of them ends.
	server := listen(t, func(connection net.Conn, reader *bufio.Reader) {
		_, _, _ = readRequest(reader)
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nName: "+strings.Repeat("x", size))
		_, _ = io.Copy(io.Discard, connection)
	})
	pool := exchange.NewPool(exchange.Options{})
	defer pool.CloseIdle(true)
	ctx, cancel := context.WithCancel(t.Context())
	var calls sync.WaitGroup
	tooLarge := make(chan struct{}, count)
	for range count {
		calls.Go(func() {
			if _, err := pool.Do(ctx, server.address(), requestWithID("1")); errors.Is(err, exchange.ErrHeadTooLarge) {
				tooLarge <- struct{}{}
			}
		})
	}
	select {
	case <-tooLarge:
	case <-time.After(10 * time.Second):
		t.Error("no answer was given up")
	}
	// Ordinary answers arrive meanwhile.
	whole := listen(t, respondWith(completeAnswer))
	response, err := pool.Do(t.Context(), whole.address(), requestWithID("1"))
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	cancel()
	calls.Wait()
	is.True(pool.TooLarge() > 0)
}

// An answer with a long header, of many fields or in many pieces, must arrive as long as it is below the limit.
func TestLongHeadsArrive(t *testing.T) {
	tests := []struct {
		name   string
		header string
		body   int
	}{
		{"one long field", "Name: " + strings.Repeat("x", 15<<10) + "\r\n", 100},
		{"many fields", strings.Repeat("Name: x\r\n", 250), 100},
		{"a body above the limit of the header", "", 1 << 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			body := strings.Repeat("\n", tt.body)
			server := listen(t, respondWith(fmt.Sprintf("HTTP/1.1 200 OK\r\nId: 1\r\n%sContent-Length: %d\r\n\r\n%s", tt.header, len(body), body)))
			pool := exchange.NewPool(exchange.Options{MaxHeaderBytes: 16 << 10})
			defer pool.CloseIdle(true)
			for range 3 {
				response, err := pool.Do(t.Context(), server.address(), requestWithID("1"))
				is.NoErr(err)
				received, err := io.ReadAll(response.Body)
				is.NoErr(err)
				is.Equal(string(received), body)
				is.NoErr(response.Body.Close())
			}
			is.Equal(pool.Opened(), uint64(1))
		})
	}
}

// BenchmarkExchange measures one exchange on an open connection.
func BenchmarkExchange(b *testing.B) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		respondWith(completeAnswer)(connection, bufio.NewReader(connection))
	}()
	pool := exchange.NewPool(exchange.Options{})
	defer pool.CloseIdle(true)
	request := requestWithID("1")
	b.ReportAllocs()
	for b.Loop() {
		response, err := pool.Do(b.Context(), listener.Addr().String(), request)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}

// The size of a chunk, and the trailer behind the last one, must not fill the memory of the router either.
func TestEndlessChunkLinesAreGivenUp(t *testing.T) {
	const begin = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	tests := []struct{ name, begin, piece string }{
		{"chunk size", begin, strings.Repeat("0", 1<<10)},
		{"chunk extension", begin + "5;", strings.Repeat("x", 1<<10)},
		{"trailer", begin + "0\r\n", "Name: x\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var sent atomic.Int64
			server := listen(t, endlessly(tt.begin, tt.piece, &sent))
			pool := exchange.NewPool(exchange.Options{})
			defer pool.CloseIdle(true)
			response, err := pool.Do(t.Context(), server.address(), requestWithID("1"))
			is.NoErr(err)
			_, err = io.ReadAll(response.Body)
			is.True(err != nil)
			is.NoErr(response.Body.Close())
		})
	}
}
