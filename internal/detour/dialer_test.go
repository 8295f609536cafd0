package detour

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	if os.Getenv(relayVariable) != "" {
		runRelay()
		return
	}
	goleak.VerifyTestMain(m)
}

// testWait bounds what happens at once unless it fails.
const testWait = 10 * time.Second

var errCut = errors.New("the link is cut")

// cutDial stands for a router that reaches no back end.
func cutDial(context.Context, string) (net.Conn, error) { return nil, errCut }

func directDial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp4", address)
}

// helper is a router that may help.
type helper struct {
	config ServerConfig
	server *Server
	peer   Peer
}

// startHelper starts a router that helps with connections to all addresses, unless changes say
// otherwise.
func startHelper(t testing.TB, changes ...func(*ServerConfig)) *helper {
	t.Helper()
	h := &helper{config: ServerConfig{
		Dial: directDial, Available: func() bool { return true },
		Credible: func(string) bool { return true },
		IsRouter: func(netip.Addr) bool { return true }, IsBackend: func(string) bool { return true },
	}}
	for _, change := range changes {
		change(&h.config)
	}
	h.server = NewServer(h.config)
	// Routers of older builds answer 400.
	front := httptest.NewServer(h.server.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusBadRequest)
	})))
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testWait)
		defer cancel()
		h.server.Shutdown(ctx)
		front.Close()
	})
	h.peer = Peer{Addr: netip.MustParseAddrPort(strings.TrimPrefix(front.URL, "http://")), Near: true}
	return h
}

// startOldRouter starts a router that knows no detours.
func startOldRouter(t *testing.T) Peer {
	t.Helper()
	return startServer(t, http.StatusBadRequest)
}

// startServer starts a server that answers everything with a status.
func startServer(t *testing.T, status int) Peer {
	t.Helper()
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
	t.Cleanup(front.Close)
	return Peer{Addr: netip.MustParseAddrPort(strings.TrimPrefix(front.URL, "http://")), Near: true}
}

// startBackend starts a listener that serves each connection by a function.
func startBackend(t testing.TB, serve func(*net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

func dialerOf(peers ...Peer) *Dialer {
	dialer := NewDialer(netip.Addr{}, 0)
	dialer.SetRouters(&Routers{Peers: func() []Peer { return peers }, OnFailed: func(bool) {}, OnAllLost: func() {}})
	return dialer
}

// What a back end sends must arrive whole, and its end as what it was: a reset answer is not
// complete.
func TestRelayedAnswersArriveAsTheyWereSent(t *testing.T) {
	answer := strings.Repeat("0123456789", 100_000)
	tests := []struct {
		name  string
		end   func(*net.TCPConn)
		whole bool
	}{
		{"closed", func(conn *net.TCPConn) { _ = conn.Close() }, true},
		{"reset", func(conn *net.TCPConn) {
			_ = conn.SetLinger(0)
			_ = conn.Close()
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			address := startBackend(t, func(conn *net.TCPConn) {
				request := make([]byte, 4)
				_, _ = io.ReadFull(conn, request)
				_, _ = io.WriteString(conn, string(request)+answer)
				tt.end(conn)
			})
			opened, err := dialerOf(startHelper(t).peer).Dial(t.Context(), address, cutDial)
			is.NoErr(err)
			defer func() { _ = opened.Conn.Close() }()
			is.True(opened.Through.IsValid())
			_, err = io.WriteString(opened.Conn, "ask:")
			is.NoErr(err)
			received, err := io.ReadAll(opened.Reader)
			is.Equal(err == nil, tt.whole)
			if tt.whole {
				is.Equal(string(received), "ask:"+answer)
			}
		})
	}
}

// A back end must notice at once that the router that asked has given up.
func TestBackendNoticesThatTheCallerIsGone(t *testing.T) {
	is := is.New(t)
	gone := make(chan struct{})
	address := startBackend(t, func(conn *net.TCPConn) {
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
		close(gone)
	})
	h := startHelper(t)
	opened, err := dialerOf(h.peer).Dial(t.Context(), address, cutDial)
	is.NoErr(err)
	is.NoErr(opened.Conn.Close())
	select {
	case <-gone:
	case <-time.After(testWait):
		t.Fatal("the back end's connection is still open")
	}
	for deadline := time.Now().Add(testWait); h.server.Count() > 0; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(deadline))
	}
}

// Helpers must not open connections for strangers, to strangers, or while they cannot help.
func TestOnlyRoutersAreConnectedToBackends(t *testing.T) {
	var accepted atomic.Int32
	address := startBackend(t, func(conn *net.TCPConn) {
		accepted.Add(1)
		_ = conn.Close()
	})
	tests := []struct {
		name   string
		change func(*ServerConfig)
	}{
		{"a stranger asks", func(cfg *ServerConfig) { cfg.IsRouter = func(netip.Addr) bool { return false } }},
		{"no back end", func(cfg *ServerConfig) { cfg.IsBackend = func(string) bool { return false } }},
		{"stopping or cut off as well", func(cfg *ServerConfig) { cfg.Available = func() bool { return false } }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := dialerOf(startHelper(t, tt.change).peer).Dial(t.Context(), address, cutDial)
			is.True(err != nil)
			is.Equal(accepted.Load(), int32(0))
		})
	}
}

// A router that does not help must not cost the request: another one is asked.
func TestAnotherRouterIsAsked(t *testing.T) {
	silent, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	tests := []struct {
		name string
		peer func(t *testing.T) Peer
	}{
		{"of an older build", startOldRouter},
		{"another server at its address", func(t *testing.T) Peer { return startServer(t, http.StatusOK) }},
		{"not credible", func(t *testing.T) Peer {
			return startHelper(t, func(cfg *ServerConfig) {
				cfg.Dial, cfg.Credible = cutDial, func(string) bool { return false }
			}).peer
		}},
		{"cut off, which it knows", func(t *testing.T) Peer {
			return startHelper(t, func(cfg *ServerConfig) { cfg.Available = func() bool { return false } }).peer
		}},
		{"cut off, which it does not know", func(t *testing.T) Peer {
			return startHelper(t, func(cfg *ServerConfig) {
				cfg.Dial = func(ctx context.Context, _ string) (net.Conn, error) {
					<-ctx.Done()
					return nil, ctx.Err()
				}
			}).peer
		}},
		{"gone", func(*testing.T) Peer { return Peer{Addr: netip.MustParseAddrPort("127.0.0.1:1"), Near: true} }},
		{"silent", func(*testing.T) Peer {
			return Peer{Addr: netip.MustParseAddrPort(silent.Addr().String()), Near: true}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			address := startBackend(t, func(conn *net.TCPConn) {
				_, _ = io.WriteString(conn, "hello")
				_ = conn.Close()
			})
			dialer := dialerOf(tt.peer(t), startHelper(t).peer)
			for range 4 {
				opened, err := dialer.Dial(t.Context(), address, cutDial)
				is.NoErr(err)
				received, err := io.ReadAll(opened.Reader)
				is.NoErr(err)
				is.Equal(string(received), "hello")
				_ = opened.Conn.Close()
			}
		})
	}
}

// A refused connection proves a crash only if it is not this router's own link that refuses.
func TestRefusalCountsOnlyIfAnotherRouterConfirmsIt(t *testing.T) {
	refusing := func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	const unused = "127.0.0.1:1"
	tests := []struct {
		name    string
		peers   func(t *testing.T) []Peer
		refused bool
	}{
		{"no other router", func(*testing.T) []Peer { return nil }, true},
		{"another router is refused as well", func(t *testing.T) []Peer { return []Peer{startHelper(t).peer} }, true},
		{"no other router helps", func(t *testing.T) []Peer { return []Peer{startOldRouter(t)} }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			dialer := dialerOf(tt.peers(t)...)
			_, err := dialer.Dial(t.Context(), unused, refusing)
			is.Equal(errors.Is(err, syscall.ECONNREFUSED), tt.refused)
			is.True(!dialer.Lost(unused))
		})
	}
}

// A link that works again must be used again.
func TestDirectConnectionsAreUsedAgain(t *testing.T) {
	is := is.New(t)
	serve := func(conn *net.TCPConn) {
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	}
	addresses := []string{startBackend(t, serve), startBackend(t, serve), startBackend(t, serve)}
	dialer := dialerOf(startHelper(t).peer)
	for _, address := range addresses {
		opened, err := dialer.Dial(t.Context(), address, cutDial)
		is.NoErr(err)
		is.NoErr(opened.Conn.Close())
	}
	for deadline := time.Now().Add(testWait); !dialer.AllLost(); time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(deadline))
	}
	for deadline := time.Now().Add(testWait); ; time.Sleep(10 * time.Millisecond) {
		opened, err := dialer.Dial(t.Context(), addresses[0], directDial)
		is.NoErr(err)
		is.NoErr(opened.Conn.Close())
		if !opened.Through.IsValid() {
			break
		}
		is.True(time.Now().Before(deadline))
	}
	is.True(!dialer.AllLost())
}
