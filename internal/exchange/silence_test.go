package exchange_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/exchange"
	"github.com/fieldpond/fieldpond/internal/relaytest"
)

// ackBound is the shortest timeout that the tests use; detectTimeout is far above the
// time in which the kernel detects a silent connection with it.
const (
	ackBound      = 250 * time.Millisecond
	detectTimeout = 15 * time.Second
)

// behindRelay starts a back end behind a relay that can silence its connections.
func behindRelay(t *testing.T, serve func(net.Conn, *bufio.Reader)) *relaytest.Relay {
	t.Helper()
	return relaytest.New(t, netip.MustParseAddrPort(listen(t, serve).address()))
}

// doExchange makes one complete exchange.
func doExchange(t *testing.T, pool *exchange.Pool, relay *relaytest.Relay) error {
	t.Helper()
	response, err := pool.Do(t.Context(), relay.Addr().String(), requestWithID("1"))
	if err != nil {
		return err
	}
	if _, err := io.ReadAll(response.Body); err != nil {
		return err
	}
	return response.Body.Close()
}

// openIdlePair leaves two idle connections to the relay.
func openIdlePair(t *testing.T, pool *exchange.Pool, relay *relaytest.Relay) {
	t.Helper()
	is := is.New(t)
	var open []*exchange.Response
	for range 2 {
		response, err := pool.Do(t.Context(), relay.Addr().String(), requestWithID("1"))
		is.NoErr(err)
		_, err = io.ReadAll(response.Body)
		is.NoErr(err)
		open = append(open, response)
	}
	for _, response := range open {
		is.NoErr(response.Body.Close())
	}
	is.Equal(relay.Accepted(), 2)
}

// checkSilentError checks that an error reports a silent connection in time.
func checkSilentError(t *testing.T, start time.Time, err error) {
	t.Helper()
	is := is.New(t)
	var failed *exchange.Error
	is.True(errors.As(err, &failed))
	is.True(failed.Sent)
	is.True(failed.Silent)
	is.True(time.Since(start) < detectTimeout)
}

func TestRequestOnSilentConnectionFailsInTime(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	relay := behindRelay(t, respondWith(completeAnswer))
	pool := exchange.NewPool(exchange.Options{UserTimeout: ackBound})
	defer pool.CloseIdle(true)
	openIdlePair(t, pool, relay)
	is.NoErr(relay.Silence())
	begun := time.Now()
	checkSilentError(t, begun, doExchange(t, pool, relay))
	is.NoErr(doExchange(t, pool, relay)) // the other idle connection is not tried
	is.Equal(relay.Accepted(), 3)
	is.Equal(pool.Silent(), uint64(1))
}

func TestAckTimeoutOfRequestApplies(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	relay := behindRelay(t, respondWith(completeAnswer))
	pool := exchange.NewPool(exchange.Options{UserTimeout: time.Hour})
	defer pool.CloseIdle(true)
	is.NoErr(doExchange(t, pool, relay))
	is.NoErr(relay.Silence())
	request := requestWithID("1")
	request.AckTimeout = ackBound
	begun := time.Now()
	_, err := pool.Do(t.Context(), relay.Addr().String(), request)
	checkSilentError(t, begun, err)
}

func TestAnswerOnSilentConnectionFailsInTime(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	relay := behindRelay(t, func(connection net.Conn, reader *bufio.Reader) {
		_, _, _ = readRequest(reader)
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nok")
		_, _ = reader.ReadByte()
	})
	pool := exchange.NewPool(exchange.Options{UserTimeout: ackBound})
	response, err := pool.Do(t.Context(), relay.Addr().String(), requestWithID("1"))
	is.NoErr(err)
	begun := make([]byte, 2)
	_, err = io.ReadFull(response.Body, begun)
	is.NoErr(err)
	is.NoErr(relay.Silence())
	at := time.Now()
	_, err = io.ReadAll(response.Body)
	is.True(err != nil)
	is.True(time.Since(at) < detectTimeout)
	is.NoErr(response.Body.Close())
	is.Equal(pool.Silent(), uint64(1))
}

func TestSlowAnswerIsNotSilent(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	relay := behindRelay(t, func(connection net.Conn, reader *bufio.Reader) {
		_, _, _ = readRequest(reader)
		time.Sleep(3 * time.Second) // longer than the kernel needs to detect a silent peer
		_, _ = io.WriteString(connection, completeAnswer)
	})
	pool := exchange.NewPool(exchange.Options{UserTimeout: ackBound})
	defer pool.CloseIdle(true)
	is.NoErr(doExchange(t, pool, relay))
}

// Guards against treating a back end as silent that reads a long body late: its
// receive window is closed, but its kernel still acknowledges.
func TestLateReaderOfLongBodyIsNotSilent(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		bytes int
	}{
		{"a body that fits the window", 32 << 10},
		{"one that does not fit", 16 << 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			answer := respondWith("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n")
			late := listen(t, func(connection net.Conn, reader *bufio.Reader) {
				time.Sleep(8 * ackBound)
				answer(connection, reader)
			})
			pool := exchange.NewPool(exchange.Options{})
			t.Cleanup(func() { pool.CloseIdle(true) })
			request := requestWithID("1")
			request.Method, request.Body, request.AckTimeout = http.MethodPost, make([]byte, tt.bytes), ackBound
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			response, err := pool.Do(ctx, late.address(), request)
			is.NoErr(err)
			_, err = io.ReadAll(response.Body)
			is.NoErr(err)
			is.NoErr(response.Body.Close())
			is.Equal(pool.Silent(), uint64(0))
		})
	}
}

func TestSilentIdleConnectionIsNotUsed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	relay := behindRelay(t, respondWith(completeAnswer))
	pool := exchange.NewPool(exchange.Options{UserTimeout: ackBound})
	defer pool.CloseIdle(true)
	openIdlePair(t, pool, relay)
	is.NoErr(relay.Silence())
	time.Sleep(4 * time.Second) // twice what the kernel needs
	is.NoErr(doExchange(t, pool, relay))
	is.Equal(relay.Accepted(), 3)
	is.Equal(pool.Silent(), uint64(1))
}

func TestSilenceAtReachableAddressClosesAllIdle(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	pool := exchange.NewPool(exchange.Options{UserTimeout: ackBound})
	defer pool.CloseIdle(true)
	var relays []*relaytest.Relay
	for range 3 {
		relay := behindRelay(t, respondWith(completeAnswer))
		is.NoErr(doExchange(t, pool, relay))
		relays = append(relays, relay)
	}
	for _, relay := range relays {
		is.NoErr(relay.Silence())
	}
	checkSilentError(t, time.Now(), doExchange(t, pool, relays[0]))
	for _, relay := range relays {
		is.NoErr(doExchange(t, pool, relay)) // the other addresses without a failure first
		is.Equal(relay.Accepted(), 2)
	}
}

// A back end that is unreachable for a second must not lose the request that it works on.
func TestWaitOutlivesASecondOfSilence(t *testing.T) {
	const (
		work    = 3500 * time.Millisecond
		begin   = 700 * time.Millisecond
		silence = 1200 * time.Millisecond
	)
	for _, ackTimeout := range []time.Duration{ackBound, time.Second} {
		t.Run(ackTimeout.String(), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			relay := behindRelay(t, func(conn net.Conn, reader *bufio.Reader) {
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				time.Sleep(work)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok")
			})
			time.AfterFunc(begin, func() {
				if err := relay.Silence(); err != nil {
					t.Error(err)
				}
			})
			time.AfterFunc(begin+silence, func() {
				if err := relay.Resume(); err != nil {
					t.Error(err)
				}
			})
			request := requestWithID("1")
			request.AckTimeout = ackTimeout
			response, err := exchange.NewPool(exchange.Options{}).Do(t.Context(), relay.Addr().String(), request)
			is.NoErr(err)
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(string(body), "ok")
			is.NoErr(response.Body.Close())
		})
	}
}
