package exchange_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/exchange"
)

// A head of which a byte arrives now and then must not occupy its connection for as long as the request may
// take, nor an answer to another request.
func TestSlowHeadsAreGivenUp(t *testing.T) {
	const other = "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 1000\r\n\r\n"
	tests := []struct {
		name, begin string
		want        error
	}{
		{"first line", "HTTP/1.1 200 ", exchange.ErrHeadTooSlow},
		{"field", "HTTP/1.1 200 OK\r\nName: ", exchange.ErrHeadTooSlow},
		{"answer to another request", other, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			closed := make(chan struct{})
			server := listen(t, func(connection net.Conn, reader *bufio.Reader) {
				defer close(closed)
				_, _, err := readRequest(reader)
				for piece := tt.begin; err == nil; piece = "x" {
					_, err = io.WriteString(connection, piece)
					time.Sleep(50 * time.Millisecond)
				}
			})
			pool := exchange.NewPool(exchange.Options{})
			defer pool.CloseIdle(true)
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			_, err := pool.Do(ctx, server.address(), requestWithID("1"))
			is.True(err != nil && ctx.Err() == nil)
			is.True(tt.want == nil || errors.Is(err, tt.want))
			<-closed
		})
	}
}

// The time for a head must end with it: an answer may begin late, and its body may take long.
func TestAnswersTakeLongerThanHeads(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const pause = 2300 * time.Millisecond
	pieces := []string{"HTTP/1.1 103 Early\r\n\r\n", "HTTP/1.1 200 OK\r\n", "Id: 1\r\nContent-Length: 2\r\n\r\no", "k"}
	server := listen(t, func(connection net.Conn, reader *bufio.Reader) {
		if _, _, err := readRequest(reader); err != nil {
			return
		}
		for index, piece := range pieces {
			if index != 2 { // within the head
				time.Sleep(pause)
			} else {
				time.Sleep(100 * time.Millisecond)
			}
			_, _ = io.WriteString(connection, piece)
		}
	})
	pool := exchange.NewPool(exchange.Options{})
	defer pool.CloseIdle(true)
	response, err := pool.Do(t.Context(), server.address(), requestWithID("1"))
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(body), "ok")
	is.NoErr(response.Body.Close())
}
