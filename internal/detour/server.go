package detour

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/exchange"
	"github.com/fieldpond/fieldpond/internal/wait"
)

// The statuses of a router that was asked for a connection, besides 200. Any other one means that
// it does not help; routers of older builds answer 400.
const (
	// statusRefused means that the back end refused the connection, statusNoAnswer that it did
	// not answer.
	statusRefused  = http.StatusBadGateway
	statusNoAnswer = http.StatusGatewayTimeout
)

// headerRelayedTo names the back end in the answer to a router that is connected to it.
const headerRelayedTo = "Relayed-To"

const (
	// backendTimeout bounds opening a connection for another router, which by then asks a third.
	backendTimeout = 200 * time.Millisecond
	// maxRelayed bounds the connections relayed at a time, each of which holds two copyBytes.
	maxRelayed = 512
	copyBytes  = 4 << 10
	// backendAckTimeout is how long bytes may stay unacknowledged by a back end: it may read a
	// long body slowly. callerAckTimeout is that of the router that asked, whose client may.
	backendAckTimeout = 3 * time.Second
	callerAckTimeout  = 10 * time.Second
)

// ServerConfig configures a Server; all fields are required.
type ServerConfig struct {
	// Dial opens a direct connection to a back end.
	Dial exchange.DialFunc
	// Credible reports whether a failed connection says anything about the back end. It is called
	// after each.
	Credible func(address string) bool
	// Available reports whether this router may help: it reaches back ends itself, and is not
	// stopping.
	Available func() bool
	// IsRouter reports whether an address is that of a router, IsBackend whether it is that of a
	// back end.
	IsRouter  func(netip.Addr) bool
	IsBackend func(address string) bool
	// Lend reserves one of this router's connections to a back end for another router, until done is
	// called. It is false if this router may need all.
	Lend func(address string) (done func(), lent bool)
}

// Server opens connections to back ends for other routers and copies their bytes. It never asks
// another router itself.
type Server struct {
	config ServerConfig

	mu      sync.Mutex
	relayed map[net.Conn]struct{}
	count   int
}

// NewServer returns a server without connections.
func NewServer(config ServerConfig) *Server {
	return &Server{config: config, relayed: make(map[net.Conn]struct{})}
}

// Count returns the number of connections relayed now.
func (s *Server) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count
}

// methodLend asks for one of the connections that the router asked may open itself. A router that knows
// no such method refuses it, while it would not count a connection that was asked for by CONNECT.
const methodLend = "LEND"

// Handler returns a handler of CONNECT and methodLend requests that passes all others to next.
func (s *Server) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.Method {
		case http.MethodConnect, methodLend:
			s.connect(w, r)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// connect opens a connection to the back end that a request names, and relays it.
func (s *Server) connect(w http.ResponseWriter, r *http.Request) {
	from, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil || !s.config.IsRouter(from.Addr()) || !s.config.IsBackend(r.Host) {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	if !s.config.Available() || !s.reserve() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.release()
	if r.Method == methodLend {
		done, lent := s.config.Lend(r.Host)
		if !lent {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer done()
	}
	ctx, cancel := context.WithTimeout(r.Context(), backendTimeout)
	defer cancel()
	backend, err := s.config.Dial(ctx, r.Host)
	if err != nil {
		w.WriteHeader(s.failureStatus(r.Host, err))
		return
	}
	caller, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		_ = backend.Close()
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	framed := r.Header.Get(headerFraming) == framingChunked
	counted := framed && r.Header.Get(headerReceipt) == receiptBytes
	s.relay(&tunnel{address: r.Host, caller: caller, backend: &backendConn{Conn: backend, counted: counted}, framed: framed})
}

// failureStatus returns the status for a connection that failed.
func (s *Server) failureStatus(address string, err error) int {
	switch {
	case !s.config.Credible(address):
		return http.StatusServiceUnavailable
	case errors.Is(err, syscall.ECONNREFUSED):
		return statusRefused
	default:
		return statusNoAnswer
	}
}

func (s *Server) reserve() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.count >= maxRelayed {
		return false
	}
	s.count++
	return true
}

func (s *Server) release() {
	s.mu.Lock()
	s.count--
	s.mu.Unlock()
}

// tunnel joins the connection of a router that asked to the one opened for it.
type tunnel struct {
	// address is that of the back end.
	address string
	caller  net.Conn
	backend *backendConn
	// framed is whether the caller takes the back end's bytes in the framing framingChunked.
	framed bool
}

// relay copies bytes between both sides of a tunnel until either ends.
func (s *Server) relay(t *tunnel) {
	s.track(t.caller, t.backend.Conn)
	defer s.untrack(t.caller, t.backend.Conn)
	// On an error the kernel's defaults stay, which detect a silent peer later.
	_ = exchange.SetTimeouts(t.backend.Conn, backendAckTimeout)
	_ = exchange.SetTimeouts(t.caller, callerAckTimeout)
	if err := t.confirm(); err != nil {
		reset(t.caller, t.backend.Conn)
		return
	}
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		t.copyAnswers()
	}()
	// A caller that closes its side has given up: the back end must notice at once.
	_ = copyBytesTo(t.backend, t.caller)
	reset(t.caller, t.backend.Conn)
	<-answered
}

// confirm tells the caller that it is connected to the back end.
func (t *tunnel) confirm() error {
	head := "HTTP/1.1 200 OK" + lineEnd + headerRelayedTo + ": " + t.address + lineEnd
	if t.framed {
		head += headerFraming + ": " + framingChunked + lineEnd
	} else {
		resetAtExit(t.caller)
	}
	_, err := io.WriteString(t.caller, head+lineEnd)
	return err
}

// copyAnswers copies what the back end sends, and passes on how it ends: an answer may end with its
// connection, unless that is reset.
func (t *tunnel) copyAnswers() {
	copyAll := copyBytesTo
	if t.framed {
		copyAll = relayFramed
	}
	if err := copyAll(t.caller, t.backend); err != nil {
		reset(t.caller, t.backend.Conn)
		return
	}
	if closer, ok := t.caller.(interface{ CloseWrite() error }); ok {
		_ = closer.CloseWrite()
	}
}

// resetAtExit makes the kernel reset a connection that is open when the process dies, in place of ending
// it in order.
func resetAtExit(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// On an error the end of this process may pass for that of the back end.
		_ = tcp.SetLinger(0)
	}
}

// copyBytesTo copies until the end of from. Hiding the types keeps io from using splice, which
// needs a pipe for each connection.
func copyBytesTo(to io.Writer, from io.Reader) error {
	_, err := io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, make([]byte, copyBytes))
	return err
}

// reset closes connections so that their peers get a reset.
func reset(conns ...net.Conn) {
	for _, conn := range conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (s *Server) track(conns ...net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range conns {
		s.relayed[conn] = struct{}{}
	}
}

func (s *Server) untrack(conns ...net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range conns {
		delete(s.relayed, conn)
	}
}

// shutdownPoll is the time between two checks whether all relayed connections have ended.
const shutdownPoll = 20 * time.Millisecond

// Shutdown waits until all relayed connections have ended, and resets the rest when ctx ends. The
// server must not be available any more.
func (s *Server) Shutdown(ctx context.Context) {
	for s.Count() > 0 {
		if !wait.For(ctx, shutdownPoll) {
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.relayed) > 0 {
		log.WithFields(log.Fields{"relayed": s.count}).Warn("stop_cut_relayed")
	}
	for conn := range s.relayed {
		reset(conn)
	}
}
