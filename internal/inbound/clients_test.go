package inbound_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/inbound"
	"github.com/fieldpond/fieldpond/internal/relaytest"
)

// within bounds waits whose end is certain; it is far above what any takes.
const within = 30 * time.Second

// front is a server of clients whose requests to /hold wait.
type front struct {
	clients *inbound.Clients
	addr    netip.AddrPort
	// holding counts the requests that wait, left those whose client left.
	holding, left atomic.Int64
	// rested counts how often a connection began to rest after an answer.
	rested  atomic.Int64
	release chan struct{}
}

func newFront(t *testing.T, cfg inbound.Config) *front {
	t.Helper()
	f := &front{clients: inbound.New(cfg), release: make(chan struct{})}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.addr = netip.MustParseAddrPort(listener.Addr().String())
	server := &http.Server{
		Handler: f.clients.Handler(http.HandlerFunc(f.serve)), ReadHeaderTimeout: time.Minute,
		ConnContext: f.clients.ConnContext, ConnState: f.changed,
	}
	go func() { _ = server.Serve(f.clients.Listener(listener)) }()
	t.Cleanup(func() {
		close(f.release)
		_ = server.Close()
	})
	return f
}

func (f *front) changed(conn net.Conn, state http.ConnState) {
	f.clients.ConnState(conn, state)
	if state == http.StateIdle {
		f.rested.Add(1)
	}
}

func (f *front) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/hold" {
		_, _ = io.WriteString(w, "ok")
		return
	}
	f.holding.Add(1)
	select {
	case <-r.Context().Done():
		f.left.Add(1)
	case <-f.release:
	}
}

// dial opens a connection and writes a text on it.
func dial(t *testing.T, addr netip.AddrPort, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

func asking(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// answer reads one answer.
func answer(t *testing.T, conn net.Conn) *http.Response {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(within)); err != nil {
		t.Fatal(err)
	}
	rsp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, rsp.Body)
	return rsp
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for begun := time.Now(); !holds(); time.Sleep(time.Millisecond) {
		if time.Since(begun) > within {
			t.Fatal("not within the time: " + what)
		}
	}
}

func (f *front) open() int {
	open, _ := f.clients.Counts()
	return open
}

func TestANewClientTakesThePlaceOfTheLongestRest(t *testing.T) {
	is := is.New(t)
	f := newFront(t, inbound.Config{MaxConnections: 3})
	var conns []net.Conn
	for asked := range int64(4) {
		conn := dial(t, f.addr, asking("/"))
		is.Equal(answer(t, conn).StatusCode, http.StatusOK)
		// The answer is out before the server takes the connection to rest.
		eventually(t, "it rests", func() bool { return f.rested.Load() == asked+1 })
		conns = append(conns, conn)
	}
	eventually(t, "the first one is closed", func() bool { return f.open() == 3 })
	is.NoErr(conns[0].SetReadDeadline(time.Now().Add(within)))
	_, err := conns[0].Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	_, err = io.WriteString(conns[1], asking("/"))
	is.NoErr(err)
	is.Equal(answer(t, conns[1]).StatusCode, http.StatusOK)
}

func TestClientsAboveTheBoundAreToldToComeBack(t *testing.T) {
	is := is.New(t)
	f := newFront(t, inbound.Config{MaxConnections: 3})
	for range 3 {
		dial(t, f.addr, asking("/hold"))
	}
	eventually(t, "all are held", func() bool { return f.holding.Load() == 3 })
	is.True(f.clients.Full())
	rsp := answer(t, dial(t, f.addr, asking("/")))
	is.Equal(rsp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(rsp.Header.Get("Retry-After"), "0.3")
	is.True(rsp.Close)
	_, refused := f.clients.Counts()
	is.Equal(refused, uint64(1))
}

// Of some hundred clients a third sends no whole header, a third holds an answer up
// and a third leaves; new ones are served meanwhile, and those that left are noticed.
func TestNewClientsAreServedBesideHundredsThatHangOrLeave(t *testing.T) {
	is := is.New(t)
	const each = 120
	f := newFront(t, inbound.Config{MaxConnections: 4 * each})
	for pair := range int64(each) {
		dial(t, f.addr, "GET / HTTP/1.1\r\nHost: ")
		dial(t, f.addr, asking("/hold"))
		leaver := dial(t, f.addr, asking("/hold"))
		eventually(t, "the request is read", func() bool { return f.holding.Load() == 2*pair+2 })
		_ = leaver.Close()
	}
	for range 20 {
		is.Equal(answer(t, dial(t, f.addr, asking("/"))).StatusCode, http.StatusOK)
	}
	eventually(t, "all that left are noticed", func() bool { return f.left.Load() == each })
	eventually(t, "they are forgotten", func() bool { return f.open() <= 2*each+20 })
	is.True(!f.clients.Full())
}

func TestRestsAndHeadersAreBounded(t *testing.T) {
	var idle atomic.Int64
	idle.Store(int64(10 * time.Second))
	limits := func() inbound.Limits {
		return inbound.Limits{Header: 3 * time.Second, Idle: time.Duration(idle.Load())}
	}
	tests := []struct {
		name string
		text string
		// idleNow is the limit of rests at the sweep, which comes after.
		idleNow, after time.Duration
		want           int
	}{
		{"a short rest", asking("/"), 10 * time.Second, 9 * time.Second, 1},
		{"a long rest", asking("/"), 10 * time.Second, 11 * time.Second, 0},
		{"a rest begun under a longer limit", asking("/"), 2 * time.Second, 9 * time.Second, 1},
		{"a rest under a limit that grew", asking("/"), 20 * time.Second, 11 * time.Second, 1},
		{"nothing sent", "", 10 * time.Second, 11 * time.Second, 0},
		{"a header that may still come", "GET / HTTP/1.1\r\n", 10 * time.Second, 2 * time.Second, 1},
		{"a header that takes too long", "GET / HTTP/1.1\r\n", 10 * time.Second, 4 * time.Second, 0},
		{"a request under way", asking("/hold"), 10 * time.Second, time.Hour, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			idle.Store(int64(10 * time.Second))
			f := newFront(t, inbound.Config{Limits: limits, MaxConnections: 1}) // full while one is in use
			conn := dial(t, f.addr, tt.text)
			switch tt.text {
			case asking("/"):
				is.Equal(answer(t, conn).StatusCode, http.StatusOK)
				eventually(t, "it rests", func() bool { return !f.clients.Full() })
			case "":
				eventually(t, "it is taken", func() bool { return f.open() == 1 })
			default:
				eventually(t, "its bytes are read", f.clients.Full)
			}
			if tt.text == asking("/hold") {
				eventually(t, "it is held", func() bool { return f.holding.Load() == 1 })
			}
			idle.Store(int64(tt.idleNow))
			f.clients.Sweep(time.Now().Add(tt.after))
			is.Equal(f.open(), tt.want)
		})
	}
}

func TestAClientThatLeftIsKnownBeforeItsRequestIsRead(t *testing.T) {
	is := is.New(t)
	clients := inbound.New(inbound.Config{})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	bounded := clients.Listener(listener)
	defer func() { _ = bounded.Close() }()
	sent := dial(t, netip.MustParseAddrPort(listener.Addr().String()), "")
	accepted, err := bounded.Accept()
	is.NoErr(err)
	conn := accepted.(*inbound.Conn)
	defer func() { _ = conn.Close() }()
	is.True(!conn.ClientClosed())
	is.NoErr(sent.Close())
	eventually(t, "the close arrives", conn.ClientClosed)
	open, _ := clients.Counts()
	is.Equal(open, 1)
}

func TestAClientThatFellSilentEndsItsRequest(t *testing.T) {
	f := newFront(t, inbound.Config{})
	relay := relaytest.New(t, f.addr)
	dial(t, relay.Addr(), asking("/hold"))
	eventually(t, "the request is read", func() bool { return f.holding.Load() == 1 })
	if err := relay.Silence(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the request ends", func() bool { return f.left.Load() == 1 })
}

func TestTheMemoryOfBodiesIsBounded(t *testing.T) {
	is := is.New(t)
	clients := inbound.New(inbound.Config{MaxBodyBytes: 100})
	is.True(clients.Reserve(60))
	is.True(!clients.Reserve(41))
	is.True(clients.Reserve(40))
	clients.Release(60)
	is.True(clients.Reserve(60))
}
