package exchange_test

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/exchange"
)

// closedAfter sends an answer, and after a pause a text in excess again and again; it sends how long the caller
// took to close the connection.
func closedAfter(pause time.Duration, excess string, closed chan<- time.Duration) func(net.Conn, *bufio.Reader) {
	return func(connection net.Conn, reader *bufio.Reader) {
		if _, _, err := readRequest(reader); err != nil {
			return
		}
		_, err := io.WriteString(connection, completeAnswer)
		time.Sleep(pause)
		begun := time.Now()
		for err == nil {
			_, err = io.WriteString(connection, excess)
			time.Sleep(time.Millisecond)
		}
		closed <- time.Since(begun)
	}
}

// What a back end sends after a whole answer must not lie in the kernel until the connection is used again or
// expires.
func TestConnectionWithExcessBytesIsClosedWhileIdle(t *testing.T) {
	tests := []struct {
		name   string
		pause  time.Duration
		excess string
	}{
		{"bytes at once", 0, strings.Repeat("x", 64<<10)},
		{"bytes later", 300 * time.Millisecond, strings.Repeat("x", 64<<10)},
		{"bytes much later", 2 * time.Second, strings.Repeat("x", 64<<10)},
		{"answers", 20 * time.Millisecond, strings.Repeat(completeAnswer, 1000)},
		{"a few bytes, slowly", 20 * time.Millisecond, "x"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			closed := make(chan time.Duration, 1)
			server := listen(t, closedAfter(tt.pause, tt.excess, closed))
			pool := exchange.NewPool(exchange.Options{IdleTimeout: time.Hour})
			defer pool.CloseIdle(true)
			response, err := pool.Do(t.Context(), server.address(), requestWithID("1"))
			is.NoErr(err)
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(string(body), "ok")
			is.NoErr(response.Body.Close())
			select {
			case <-closed:
			case <-time.After(20 * time.Second):
				t.Error("the connection is still open")
			}
		})
	}
}

// A connection that has been idle for long must not delay the check of one that was used just now.
func TestChecksOfOthersDelayNoCheck(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	pool := exchange.NewPool(exchange.Options{IdleTimeout: time.Hour})
	defer pool.CloseIdle(true)
	relay := behindRelay(t, respondWith(completeAnswer))
	is.NoErr(doExchange(t, pool, relay))
	time.Sleep(700 * time.Millisecond) // its next check is the last one, seconds later
	closed := make(chan time.Duration, 1)
	server := listen(t, closedAfter(20*time.Millisecond, strings.Repeat("x", 64<<10), closed))
	response, err := pool.Do(t.Context(), server.address(), requestWithID("1"))
	is.NoErr(err)
	_, err = io.ReadAll(response.Body)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	select {
	case <-closed:
	case <-time.After(1500 * time.Millisecond):
		t.Error("the connection is still open")
	}
}

// Sound connections must stay in the pool, however long they are idle, and those in use must not be checked.
func TestChecksKeepSoundConnections(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	relay := behindRelay(t, respondWith(completeAnswer))
	pool := exchange.NewPool(exchange.Options{})
	defer pool.CloseIdle(true)
	for _, pause := range []time.Duration{0, time.Millisecond, 60 * time.Millisecond, 700 * time.Millisecond, 4 * time.Second, 0} {
		is.NoErr(doExchange(t, pool, relay))
		time.Sleep(pause)
	}
	is.Equal(pool.Opened(), uint64(1))
}
