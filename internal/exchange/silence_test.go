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

// ackBound is the shortest bound that the tests use; foundWithin is far above what
// the kernel takes to find a silent connection with it (0.7 s under way, 2.1 s at rest).
const (
	ackBound    = 250 * time.Millisecond
	foundWithin = 15 * time.Second
)

// behindRelay starts a back end whose connections can be made silent.
func behindRelay(t *testing.T, serve func(net.Conn, *bufio.Reader)) *relaytest.Relay {
	t.Helper()
	return relaytest.New(t, netip.MustParseAddrPort(listen(t, serve).address()))
}

// exchangeWhole makes one whole exchange.
func exchangeWhole(t *testing.T, pool *exchange.Pool, relay *relaytest.Relay) error {
	t.Helper()
	response, err := pool.Do(t.Context(), relay.Addr().String(), ask("1"))
	if err != nil {
		return err
	}
	if _, err := io.ReadAll(response.Body); err != nil {
		return err
	}
	return response.Body.Close()
}

// restingPair leaves two resting connections to the relay.
func restingPair(t *testing.T, pool *exchange.Pool, relay *relaytest.Relay) {
	t.Helper()
	is := is.New(t)
	var open []*exchange.Response
	for range 2 {
		response, err := pool.Do(t.Context(), relay.Addr().String(), ask("1"))
		is.NoErr(err)
		_, err = io.ReadAll(response.Body)
		is.NoErr(err)
		open = append(open, response)
	}
	for _, response := range open {
		is.NoErr(response.Body.Close())
	}
	is.Equal(relay.Taken(), 2)
}

// silentWithin checks that an error tells of a silent connection, in time.
func silentWithin(t *testing.T, begun time.Time, err error) {
	t.Helper()
	is := is.New(t)
	var failed *exchange.Error
	is.True(errors.As(err, &failed))
	is.True(failed.Sent)
	is.True(failed.Silent)
	is.True(time.Since(begun) < foundWithin)
}

func TestARequestOnASilentConnectionFailsInTime(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	relay := behindRelay(t, answering(whole))
	pool := exchange.NewPool(exchange.Options{UserTimeout: ackBound})
	defer pool.CloseIdle(true)
	restingPair(t, pool, relay)
	is.NoErr(relay.Silence())
	begun := time.Now()
	silentWithin(t, begun, exchangeWhole(t, pool, relay))
	is.NoErr(exchangeWhole(t, pool, relay)) // the other resting one is not tried
	is.Equal(relay.Taken(), 3)
	is.Equal(pool.Silent(), uint64(1))
}

func TestTheBoundOfARequestCounts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	relay := behindRelay(t, answering(whole))
	pool := exchange.NewPool(exchange.Options{UserTimeout: time.Hour})
	defer pool.CloseIdle(true)
	is.NoErr(exchangeWhole(t, pool, relay))
	is.NoErr(relay.Silence())
	request := ask("1")
	request.AckTimeout = ackBound
	begun := time.Now()
	_, err := pool.Do(t.Context(), relay.Addr().String(), request)
	silentWithin(t, begun, err)
}

func TestAnAnswerUnderWayThatFallsSilentFailsInTime(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	relay := behindRelay(t, func(connection net.Conn, reader *bufio.Reader) {
		_, _, _ = readRequest(reader)
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nok")
		_, _ = reader.ReadByte()
	})
	pool := exchange.NewPool(exchange.Options{UserTimeout: ackBound})
	response, err := pool.Do(t.Context(), relay.Addr().String(), ask("1"))
	is.NoErr(err)
	begun := make([]byte, 2)
	_, err = io.ReadFull(response.Body, begun)
	is.NoErr(err)
	is.NoErr(relay.Silence())
	at := time.Now()
	_, err = io.ReadAll(response.Body)
	is.True(err != nil)
	is.True(time.Since(at) < foundWithin)
	is.NoErr(response.Body.Close())
	is.Equal(pool.Silent(), uint64(1))
}

func TestASlowAnswerIsNotTakenForSilence(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	relay := behindRelay(t, func(connection net.Conn, reader *bufio.Reader) {
		_, _, _ = readRequest(reader)
		time.Sleep(3 * time.Second) // longer than the kernel takes to find a silent peer
		_, _ = io.WriteString(connection, whole)
	})
	pool := exchange.NewPool(exchange.Options{UserTimeout: ackBound})
	defer pool.CloseIdle(true)
	is.NoErr(exchangeWhole(t, pool, relay))
}

// The window of a back end that reads a long body late is closed for a time; its machine
// answers all the while, so that the request must not fail.
func TestABackEndThatReadsALongBodyLateIsNotSilent(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		bytes int
	}{
		{"a body that the window takes", 32 << 10},
		{"one that it does not", 16 << 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			answer := answering("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n")
			late := listen(t, func(connection net.Conn, reader *bufio.Reader) {
				time.Sleep(8 * ackBound)
				answer(connection, reader)
			})
			pool := exchange.NewPool(exchange.Options{})
			t.Cleanup(func() { pool.CloseIdle(true) })
			request := ask("1")
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

func TestARestingConnectionThatFellSilentIsNotUsed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	relay := behindRelay(t, answering(whole))
	pool := exchange.NewPool(exchange.Options{UserTimeout: ackBound})
	defer pool.CloseIdle(true)
	restingPair(t, pool, relay)
	is.NoErr(relay.Silence())
	time.Sleep(4 * time.Second) // twice what the kernel takes
	is.NoErr(exchangeWhole(t, pool, relay))
	is.Equal(relay.Taken(), 3)
	is.Equal(pool.Silent(), uint64(1))
}

func TestSilenceAtAnAddressThatLivesIsTakenForThatOfAll(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	pool := exchange.NewPool(exchange.Options{UserTimeout: ackBound})
	defer pool.CloseIdle(true)
	var relays []*relaytest.Relay
	for range 3 {
		relay := behindRelay(t, answering(whole))
		is.NoErr(exchangeWhole(t, pool, relay))
		relays = append(relays, relay)
	}
	for _, relay := range relays {
		is.NoErr(relay.Silence())
	}
	silentWithin(t, time.Now(), exchangeWhole(t, pool, relays[0]))
	for _, relay := range relays {
		is.NoErr(exchangeWhole(t, pool, relay)) // the others without a failure before
		is.Equal(relay.Taken(), 2)
	}
}
