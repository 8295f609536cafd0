package inbound_test

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/inbound"
)

// interruptedReader records whether it was interrupted.
type interruptedReader struct{ interrupted bool }

func (r *interruptedReader) Interrupt() { r.interrupted = true }

// Bodies that arrive slowly must not keep their memory from other requests for long.
func TestSlowBodiesYieldTheirMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clients := inbound.New(inbound.Config{MaxBodyBytes: 100})
		var readers [5]interruptedReader
		var bodies [5]inbound.Body
		begin := func(number int) *inbound.Body {
			bodies[number].Begin(clients, nil, &readers[number])
			return &bodies[number]
		}
		whole, slow, young := begin(0), begin(1), begin(2)
		is.True(whole.Reserve(40))
		is.True(whole.Arrived())
		is.True(slow.Reserve(60))
		is.True(!young.Reserve(60)) // all are young
		time.Sleep(time.Second)
		next := begin(3)
		is.True(next.Reserve(60))
		is.Equal(readers, [5]interruptedReader{1: {interrupted: true}})
		is.True(!slow.Arrived())
		is.True(!slow.Reserve(1))
		is.True(!next.Reserve(1)) // a body takes nothing from those that are whole
		for number := range bodies {
			bodies[number].Release()
		}
		is.True(begin(4).Reserve(100))
	})
}

// Connections on which nothing whole arrives must give way to new ones, and idle ones that were used stay as long as
// there are others.
func TestStalledConnectionsGiveWay(t *testing.T) {
	tests := []struct{ name, text string }{
		{"silent", ""},
		{"unfinished heads", "GET / HTTP/1.1\r\n"},
		{"bodies that do not come", "POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newTestServer(t, inbound.Config{MaxConnections: 4})
			used := dial(t, s.addr, getRequest("/"))
			is.Equal(answer(t, used).StatusCode, http.StatusOK)
			for range 3 {
				dial(t, s.addr, tt.text)
			}
			eventually(t, "all are open", func() bool { return s.open() == 4 })
			// Older than the time for which a connection may stall.
			time.Sleep(1200 * time.Millisecond)
			is.Equal(answer(t, dial(t, s.addr, getRequest("/"))).StatusCode, http.StatusOK)
			if tt.name == "bodies that do not come" {
				return // the idle connection gives way first
			}
			_, err := io.WriteString(used, getRequest("/"))
			is.NoErr(err)
			is.Equal(answer(t, used).StatusCode, http.StatusOK)
		})
	}
}

// A connection above the limit whose body does not come must end like the others.
func TestBodyAboveConnectionLimitEnds(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, inbound.Config{MaxConnections: 1})
	dial(t, s.addr, getRequest("/hold"))
	eventually(t, "the request waits", func() bool { return s.holding.Load() == 1 })
	conn := dial(t, s.addr, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n")
	is.Equal(answer(t, conn).StatusCode, http.StatusServiceUnavailable)
	eventually(t, "the connection is closed", func() bool { return s.open() == 1 })
}
