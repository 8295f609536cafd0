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

// waitTimeout limits waits; it is far above what any of them takes.
const waitTimeout = 30 * time.Second

// testServer serves clients; requests to /hold wait, and the bodies of those to /body are read.
type testServer struct {
	clients *inbound.Clients
	addr    netip.AddrPort
	// holding counts the waiting requests, left those whose client disconnected.
	holding, left atomic.Int64
	// idled counts how often a connection became idle after an answer.
	idled   atomic.Int64
	release chan struct{}
}

func newTestServer(t *testing.T, cfg inbound.Config) *testServer {
	t.Helper()
	s := &testServer{clients: inbound.New(cfg), release: make(chan struct{})}
	listener, err := s.clients.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.addr = netip.MustParseAddrPort(listener.Addr().String())
	server := &http.Server{
		Handler: s.clients.Handler(http.HandlerFunc(s.serve)), ReadHeaderTimeout: time.Minute,
		ConnContext: s.clients.ConnContext, ConnState: s.connState,
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		close(s.release)
		_ = server.Close()
	})
	return s
}

func (s *testServer) connState(conn net.Conn, state http.ConnState) {
	s.clients.ConnState(conn, state)
	if state == http.StateIdle {
		s.idled.Add(1)
	}
}

func (s *testServer) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/body" {
		var body inbound.Body
		body.Begin(s.clients, inbound.ConnFromContext(r.Context()), &interruptedReader{})
		defer body.Release()
		_, _ = io.Copy(io.Discard, r.Body)
		return
	}
	if r.URL.Path != "/hold" {
		_, _ = io.WriteString(w, "ok")
		return
	}
	s.holding.Add(1)
	select {
	case <-r.Context().Done():
		s.left.Add(1)
	case <-s.release:
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

func getRequest(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// answer reads one answer.
func answer(t *testing.T, conn net.Conn) *http.Response {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(waitTimeout)); err != nil {
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
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for start := time.Now(); !condition(); time.Sleep(time.Millisecond) {
		if time.Since(start) > waitTimeout {
			t.Fatal("timeout waiting until " + what)
		}
	}
}

func (s *testServer) open() int {
	return s.clients.Counts().Open
}

func TestNewClientReplacesLongestIdle(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, inbound.Config{MaxConnections: 3})
	var conns []net.Conn
	for index := range int64(4) {
		conn := dial(t, s.addr, getRequest("/"))
		is.Equal(answer(t, conn).StatusCode, http.StatusOK)
		// The server sends the answer before it marks the connection as idle.
		eventually(t, "the connection is idle", func() bool { return s.idled.Load() == index+1 })
		conns = append(conns, conn)
	}
	eventually(t, "the first connection is closed", func() bool { return s.open() == 3 })
	is.NoErr(conns[0].SetReadDeadline(time.Now().Add(waitTimeout)))
	_, err := conns[0].Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	_, err = io.WriteString(conns[1], getRequest("/"))
	is.NoErr(err)
	is.Equal(answer(t, conns[1]).StatusCode, http.StatusOK)
}

func TestClientsAboveLimitGetRetryAfter(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, inbound.Config{MaxConnections: 3})
	for range 3 {
		dial(t, s.addr, getRequest("/hold"))
	}
	eventually(t, "all requests wait", func() bool { return s.holding.Load() == 3 })
	is.True(s.clients.Full())
	rsp := answer(t, dial(t, s.addr, getRequest("/")))
	is.Equal(rsp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(rsp.Header.Get("Retry-After"), "0.3")
	is.True(rsp.Close)
	refused := s.clients.Counts().Refused
	is.Equal(refused, uint64(1))
}

// Guards against refusing new clients while hundreds send incomplete headers, wait
// for an answer or disconnect, and against missing a disconnect.
func TestNewClientsAreServedBesideHangingOnes(t *testing.T) {
	is := is.New(t)
	const each = 120
	s := newTestServer(t, inbound.Config{MaxConnections: 4 * each})
	for pair := range int64(each) {
		dial(t, s.addr, "GET / HTTP/1.1\r\nHost: ")
		dial(t, s.addr, getRequest("/hold"))
		leaver := dial(t, s.addr, getRequest("/hold"))
		eventually(t, "the request is read", func() bool { return s.holding.Load() == 2*pair+2 })
		_ = leaver.Close()
	}
	for range 20 {
		is.Equal(answer(t, dial(t, s.addr, getRequest("/"))).StatusCode, http.StatusOK)
	}
	eventually(t, "all disconnects are detected", func() bool { return s.left.Load() == each })
	eventually(t, "their connections are removed", func() bool { return s.open() <= 2*each+20 })
	is.True(!s.clients.Full())
}

func TestIdleAndHeaderTimeLimits(t *testing.T) {
	var idle atomic.Int64
	idle.Store(int64(10 * time.Second))
	limits := func() inbound.Limits {
		return inbound.Limits{Header: 3 * time.Second, Idle: time.Duration(idle.Load())}
	}
	tests := []struct {
		name string
		text string
		// idleNow is the idle limit at the sweep, which runs after that time.
		idleNow, after time.Duration
		want           int
	}{
		{"idle for a short time", getRequest("/"), 10 * time.Second, 9 * time.Second, 1},
		{"idle for too long", getRequest("/"), 10 * time.Second, 11 * time.Second, 0},
		{"idle since before the limit was reduced", getRequest("/"), 2 * time.Second, 9 * time.Second, 1},
		{"idle while the limit was raised", getRequest("/"), 20 * time.Second, 11 * time.Second, 1},
		{"nothing sent", "", 10 * time.Second, 11 * time.Second, 0},
		{"a header within its limit", "GET / HTTP/1.1\r\n", 10 * time.Second, 2 * time.Second, 1},
		{"a header that takes too long", "GET / HTTP/1.1\r\n", 10 * time.Second, 4 * time.Second, 0},
		{"a request being served", getRequest("/hold"), 10 * time.Second, time.Hour, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			idle.Store(int64(10 * time.Second))
			s := newTestServer(t, inbound.Config{Limits: limits, MaxConnections: 1}) // full while one is in use
			conn := dial(t, s.addr, tt.text)
			switch tt.text {
			case getRequest("/"):
				is.Equal(answer(t, conn).StatusCode, http.StatusOK)
				eventually(t, "the connection is idle", func() bool { return !s.clients.Full() })
			case "":
				eventually(t, "the connection is accepted", func() bool { return s.open() == 1 })
			default:
				eventually(t, "its bytes are read", s.clients.Full)
			}
			if tt.text == getRequest("/hold") {
				eventually(t, "the request waits", func() bool { return s.holding.Load() == 1 })
			}
			idle.Store(int64(tt.idleNow))
			s.clients.Sweep(time.Now().Add(tt.after))
			is.Equal(s.open(), tt.want)
		})
	}
}

func TestClientCloseIsDetectedBeforeRead(t *testing.T) {
	is := is.New(t)
	clients := inbound.New(inbound.Config{})
	listener, err := clients.Listen("127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	sent := dial(t, netip.MustParseAddrPort(listener.Addr().String()), "")
	accepted, err := listener.Accept()
	is.NoErr(err)
	conn := accepted.(*inbound.Conn)
	defer func() { _ = conn.Close() }()
	is.True(!conn.ClientClosed())
	is.NoErr(sent.Close())
	eventually(t, "the close arrives", conn.ClientClosed)
	open := clients.Counts().Open
	is.Equal(open, 1)
}

func TestSilentClientEndsRequest(t *testing.T) {
	s := newTestServer(t, inbound.Config{})
	relay := relaytest.New(t, s.addr)
	dial(t, relay.Addr(), getRequest("/hold"))
	eventually(t, "the request is read", func() bool { return s.holding.Load() == 1 })
	if err := relay.Silence(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the request ends", func() bool { return s.left.Load() == 1 })
}

func TestBodyMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	clients := inbound.New(inbound.Config{MaxBodyBytes: 100})
	is.True(clients.Reserve(60))
	is.True(!clients.Reserve(41))
	is.True(clients.Reserve(40))
	clients.Release(60)
	is.True(clients.Reserve(60))
}
