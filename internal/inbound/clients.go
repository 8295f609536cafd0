// Package inbound keeps the connections of clients within bounds, so that a router
// takes new ones whatever its load: their number, how long they rest or send a
// header, and the memory of the bodies that are held. It finds connections whose
// client has left or fell silent.
package inbound

import (
	"cmp"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Limits are the bounds that the configuration in force sets on clients; zero
// fields take the defaults.
type Limits struct {
	// Header is how long the header of a request may take. Default: 30s.
	Header time.Duration
	// Idle is how long a connection may rest. Default: 2m.
	Idle time.Duration
}

// Config bounds the connections of clients. Zero fields take the defaults.
type Config struct {
	// MaxConnections bounds the open connections. Default: 2000.
	MaxConnections int
	// MaxBodyBytes bounds the bodies that are held at one time. Default: 64 MiB.
	MaxBodyBytes int64
	// RetryAfter is told to clients above the bound. Default: 300ms.
	RetryAfter time.Duration
	// Limits returns the limits in force; nil means the defaults.
	Limits func() Limits
}

const (
	defaultConnections = 2000
	defaultBodyBytes   = 64 << 20
	defaultRetryAfter  = 300 * time.Millisecond
	defaultHeader      = 30 * time.Second
	defaultIdle        = 2 * time.Minute
	// extraConnections above the bound are open at most, to be told so.
	extraConnections = 64
	// extraHeader is how long such a connection may take to send its header.
	extraHeader = time.Second
	// SweepInterval is the time between two looks at how long connections rest.
	SweepInterval = 500 * time.Millisecond
)

// Clients are the open connections of clients. It is safe for concurrent use.
type Clients struct {
	cfg Config

	mu   sync.Mutex
	open map[*Conn]struct{}
	busy int
	held int64
	// refused counts what was turned away because of a bound.
	refused uint64
}

// New returns Clients without connections.
func New(cfg Config) *Clients {
	cfg.MaxConnections = cmp.Or(cfg.MaxConnections, defaultConnections)
	cfg.MaxBodyBytes = cmp.Or(cfg.MaxBodyBytes, defaultBodyBytes)
	cfg.RetryAfter = cmp.Or(cfg.RetryAfter, defaultRetryAfter)
	if cfg.Limits == nil {
		cfg.Limits = func() Limits { return Limits{} }
	}
	return &Clients{cfg: cfg, open: make(map[*Conn]struct{})}
}

// Listener wraps a TCP listener. Its Accept waits for nothing but a connection: one
// above the bound takes the place of the one that rests longest, or is told to come
// back, or is closed.
func (c *Clients) Listener(listener net.Listener) net.Listener {
	return &boundedListener{Listener: listener, clients: c}
}

type boundedListener struct {
	net.Listener
	clients *Clients
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := l.clients.take(accepted); conn != nil {
			return conn, nil
		}
	}
}

// take takes in a new connection, or returns nil after closing it.
func (c *Clients) take(accepted net.Conn) *Conn {
	conn := &Conn{clients: c, since: time.Now(), rests: c.limits().Idle}
	if err := conn.prepare(accepted); err != nil {
		_ = accepted.Close()
		return nil
	}
	c.mu.Lock()
	var longest *Conn
	over := len(c.open) - c.cfg.MaxConnections
	if over >= 0 {
		longest = c.restingLongest()
	}
	conn.extra = over >= 0 && longest == nil
	admitted := longest != nil || over < extraConnections
	if admitted {
		c.open[conn] = struct{}{}
	}
	if !admitted || conn.extra {
		c.refused++
	}
	c.mu.Unlock()
	if longest != nil {
		_ = longest.Close()
	}
	if !admitted {
		_ = accepted.Close()
		return nil
	}
	return conn
}

// prepare sets the proofs of life of a connection that was accepted.
func (c *Conn) prepare(accepted net.Conn) error {
	tcp, ok := accepted.(*net.TCPConn)
	if !ok {
		return errors.Errorf("a connection of type %T", accepted)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	c.TCPConn, c.raw = tcp, raw
	return proveLife(tcp, raw)
}

// restingLongest returns the connection that rests longest, or nil; the caller
// holds the mutex.
func (c *Clients) restingLongest() (longest *Conn) {
	for conn := range c.open {
		if conn.phase == resting && (longest == nil || conn.since.Before(longest.since)) {
			longest = conn
		}
	}
	return longest
}

// began takes in that bytes came on a connection.
func (c *Clients) began(conn *Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn.phase != resting || conn.closed {
		return
	}
	c.count(conn, reading)
	conn.since = time.Now()
}

// turn takes in what a connection is used for from now on.
func (c *Clients) turn(conn *Conn, next phase) {
	rests := time.Duration(0)
	if next == resting {
		rests = c.limits().Idle
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn.closed {
		return
	}
	c.count(conn, next)
	conn.since, conn.rests = now, rests
}

// count keeps the number of connections in use; the caller holds the mutex.
func (c *Clients) count(conn *Conn, next phase) {
	if conn.phase == resting && next != resting {
		c.busy++
	}
	if conn.phase != resting && next == resting {
		c.busy--
	}
	conn.phase = next
}

func (c *Clients) forget(conn *Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn.closed {
		return
	}
	c.count(conn, resting)
	conn.closed = true
	delete(c.open, conn)
}

// limits returns the limits in force, with defaults.
func (c *Clients) limits() Limits {
	limits := c.cfg.Limits()
	limits.Header = cmp.Or(limits.Header, defaultHeader)
	limits.Idle = cmp.Or(limits.Idle, defaultIdle)
	return limits
}

// Sweep closes connections that rest, or send a header, for longer than the limits
// allow. A rest is bounded by the longer of the limits at its begin and now, since
// its client may not know the newer one.
func (c *Clients) Sweep(now time.Time) {
	limits := c.limits()
	var over []*Conn
	c.mu.Lock()
	for conn := range c.open {
		if now.Sub(conn.since) > conn.bound(limits) {
			over = append(over, conn)
		}
	}
	c.mu.Unlock()
	for _, conn := range over {
		_ = conn.Close()
	}
}

// forever bounds what the request itself bounds.
const forever = time.Duration(1<<63 - 1)

// bound returns how long the connection may stay as it is; the caller holds the
// mutex.
func (c *Conn) bound(limits Limits) time.Duration {
	switch {
	case c.phase == serving:
		return forever
	case c.extra:
		return extraHeader
	case c.phase == reading:
		return limits.Header
	default:
		return max(c.rests, limits.Idle)
	}
}

// Full reports whether as many connections are in use as may be open.
func (c *Clients) Full() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.busy >= c.cfg.MaxConnections
}

// Counts returns how many connections are open, and how many connections and bodies
// were turned away so far because of a bound.
func (c *Clients) Counts() (open int, refused uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open), c.refused
}

// Handler passes on the requests of connections within the bound, and tells the
// others to come back.
func (c *Clients) Handler(next http.Handler) http.Handler {
	retryAfter := strconv.FormatFloat(c.cfg.RetryAfter.Seconds(), 'f', -1, 64)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := ConnFromContext(r.Context())
		if conn == nil {
			next.ServeHTTP(w, r)
			return
		}
		if !conn.extra {
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Connection", "close")
		w.Header().Set("Retry-After", retryAfter)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
}

// Reserve sets memory for a body aside, and reports whether it may be taken.
func (c *Clients) Reserve(bytes int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held+bytes > c.cfg.MaxBodyBytes {
		c.refused++
		return false
	}
	c.held += bytes
	return true
}

// Release gives memory back that Reserve set aside.
func (c *Clients) Release(bytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held -= bytes
}
