package router

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestDrainWaitsForOpenConnections(t *testing.T) {
	cases := []struct {
		name string
		// live runs from the start of the drain and changes the connection's state.
		live func(callers *connections, conn net.Conn)
		// closedAfter is the time until the drain may end.
		closedAfter time.Duration
	}{
		{"idle all the time", func(*connections, net.Conn) {}, idleBeforeClose},
		{"used once more, and closed by its answer", func(callers *connections, conn net.Conn) {
			time.Sleep(time.Second)
			callers.trackState(conn, http.StateActive)
			time.Sleep(3 * time.Second)
			callers.trackState(conn, http.StateClosed)
		}, 4 * time.Second},
		{"a stream that began before, then idle", func(callers *connections, conn net.Conn) {
			callers.trackState(conn, http.StateActive)
			time.Sleep(time.Minute)
			callers.trackState(conn, http.StateIdle)
		}, time.Minute + idleBeforeClose},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				callers := newConnections()
				conn, peer := net.Pipe()
				defer func() { _ = peer.Close() }()
				callers.trackState(conn, http.StateNew)
				callers.trackState(conn, http.StateIdle)
				begun := time.Now()
				go test.live(callers, conn)
				callers.drain(t.Context())
				is.True(time.Since(begun) >= test.closedAfter)
				is.True(time.Since(begun) <= test.closedAfter+2*drainCheckInterval)
			})
		})
	}
}

func TestDrainIgnoresLaterConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		callers := newConnections()
		begun := time.Now()
		callers.drain(t.Context())
		is.Equal(time.Since(begun), time.Duration(0))
	})
}
