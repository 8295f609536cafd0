// Package inbound limits the connections of clients, so that a router accepts new
// ones at any load: their number, their idle and header time, and the memory of
// request bodies. It detects connections whose client closed them or is silent.
package inbound

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Limits are the limits of the current configuration. Zero fields take the
// defaults.
type Limits struct {
	// Header is how long the header of a request may take. Default: 30s.
	Header time.Duration
	// Idle is how long a connection may be idle. Default: 2m.
	Idle time.Duration
	// HeaderBytes is the size of the header of a request; the first line may have as many bytes beside.
	// Default: 32 KiB.
	HeaderBytes int
}

// Config limits the connections of clients. Zero fields take the defaults.
type Config struct {
	// MaxConnections limits the open connections. Default: 2000.
	MaxConnections int
	// MaxBodyBytes limits the memory of request bodies. Default: 64 MiB.
	MaxBodyBytes int64
	// MaxHeadMemory limits the memory of all first lines and headers of requests that are read or served, beside
	// what ordinary ones take. Default: 8 MiB.
	MaxHeadMemory int64
	// ReceiveBytes limits the bytes that lie unread in the kernel for each connection, those that are not accepted
	// yet included. Default: 64 KiB.
	ReceiveBytes int
	// RetryAfter is sent to clients above MaxConnections or MaxHeadMemory. Default: 300ms.
	RetryAfter time.Duration
	// Limits returns the current limits; nil means the defaults.
	Limits func() Limits
}

const (
	defaultConnections = 2000
	defaultBodyBytes   = 64 << 20
	defaultHeadMemory  = 8 << 20
	defaultReceive     = 64 << 10
	defaultRetryAfter  = 300 * time.Millisecond
	defaultHeader      = 30 * time.Second
	defaultIdle        = 2 * time.Minute
	// maxOverLimit limits the connections above MaxConnections, which only get a 503.
	maxOverLimit = 64
	// overLimitHeader is how long such a connection may take to send its header, and then its body.
	overLimitHeader = time.Second
	// SweepInterval is the time between two calls of Clients.Sweep.
	SweepInterval = 500 * time.Millisecond
)

// Clients are the open connections of clients. It is safe for concurrent use.
type Clients struct {
	cfg Config

	mu   sync.Mutex
	open map[*Conn]struct{}
	// noneReplaceableAt is when no connection was found that a new one may replace.
	noneReplaceableAt time.Time
	busy              int
	bodyBytes         int64
	// bodies are the bodies for which memory is reserved.
	bodies map[*Body]struct{}
	// headMemory is the memory reserved for heads, in bytes.
	headMemory int64
	// refused counts the connections and bodies refused because of a limit, headsRefused the heads.
	refused, headsRefused uint64
	headLoggedAt          time.Time
}

// New returns Clients without connections.
func New(cfg Config) *Clients {
	cfg.MaxConnections = cmp.Or(cfg.MaxConnections, defaultConnections)
	cfg.MaxBodyBytes = cmp.Or(cfg.MaxBodyBytes, defaultBodyBytes)
	cfg.ReceiveBytes = cmp.Or(cfg.ReceiveBytes, defaultReceive)
	cfg.MaxHeadMemory = cmp.Or(cfg.MaxHeadMemory, defaultHeadMemory)
	cfg.RetryAfter = cmp.Or(cfg.RetryAfter, defaultRetryAfter)
	if cfg.Limits == nil {
		cfg.Limits = func() Limits { return Limits{} }
	}
	return &Clients{cfg: cfg, open: make(map[*Conn]struct{}), bodies: make(map[*Body]struct{})}
}

// Listen listens on an IPv4 address for connections of clients. Accept waits only for connections: one above
// MaxConnections replaces one that is idle or on which a request arrives slowly, or gets a 503, or is closed.
func (c *Clients) Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: c.boundUnread}
	listener, err := config.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, err
	}
	if err := c.boundPending(listener); err != nil {
		_ = listener.Close()
		return nil, errors.Wrap(err, "limit the connections that are not accepted yet")
	}
	return &boundedListener{Listener: listener, clients: c}, nil
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
		if conn := l.clients.admit(accepted); conn != nil {
			return conn, nil
		}
	}
}

// admit registers a new connection, or returns nil after closing it.
func (c *Clients) admit(accepted net.Conn) *Conn {
	conn := &Conn{clients: c, phaseSince: time.Now(), idleLimit: c.limits().Idle}
	if err := conn.prepare(accepted); err != nil {
		_ = accepted.Close()
		return nil
	}
	c.mu.Lock()
	var longest *Conn
	over := len(c.open) - c.cfg.MaxConnections
	if over >= 0 {
		longest = c.replaceable(conn.phaseSince)
	}
	conn.overLimit = over >= 0 && longest == nil
	admitted := longest != nil || over < maxOverLimit
	if admitted {
		c.open[conn] = struct{}{}
	}
	if !admitted || conn.overLimit {
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

// prepare enables keep-alive on an accepted connection.
func (c *Conn) prepare(accepted net.Conn) error {
	tcp, ok := accepted.(*net.TCPConn)
	if !ok {
		return errors.Errorf("connection of type %T is not a TCP connection", accepted)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	c.TCPConn, c.raw = tcp, raw
	return enableKeepAlive(tcp, raw)
}

// setPhase sets the phase of a connection and its start.
func (c *Clients) setPhase(conn *Conn, next phase) {
	idleLimit := time.Duration(0)
	if next == phaseIdle {
		idleLimit = c.limits().Idle
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn.closed {
		return
	}
	c.setPhaseLocked(conn, next)
	conn.phaseSince, conn.idleLimit = now, idleLimit
	switch next {
	case phaseServing:
		conn.served = true
		conn.headRefused = !c.reserveHeadLocked(conn)
		if conn.headRefused {
			c.headsRefused++
		}
	case phaseIdle:
		c.releaseHeadLocked(conn)
	}
}

// setPhaseLocked updates the phase and the busy count; the caller holds the mutex.
func (c *Clients) setPhaseLocked(conn *Conn, next phase) {
	if conn.phase == phaseIdle && next != phaseIdle {
		c.busy++
	}
	if conn.phase != phaseIdle && next == phaseIdle {
		c.busy--
	}
	conn.phase = next
}

func (c *Clients) remove(conn *Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn.closed {
		return
	}
	c.setPhaseLocked(conn, phaseIdle)
	c.releaseHeadLocked(conn)
	conn.closed = true
	delete(c.open, conn)
}

// limits returns the current limits, with defaults.
func (c *Clients) limits() Limits {
	limits := c.cfg.Limits()
	limits.Header = cmp.Or(limits.Header, defaultHeader)
	limits.Idle = cmp.Or(limits.Idle, defaultIdle)
	limits.HeaderBytes = cmp.Or(limits.HeaderBytes, defaultHeadBytes)
	return limits
}

// Sweep closes connections that are idle, or send a header, for longer than the
// limits allow. For an idle one the longer of the limits at its start and now
// applies, since its client may not have received a reduced one.
func (c *Clients) Sweep(now time.Time) {
	limits := c.limits()
	var over []*Conn
	c.mu.Lock()
	for conn := range c.open {
		if now.Sub(conn.phaseSince) > conn.timeLimit(limits) {
			over = append(over, conn)
		}
	}
	c.mu.Unlock()
	for _, conn := range over {
		_ = conn.Close()
	}
}

// unbounded is the limit of requests being served, which have their own timeouts.
const unbounded = time.Duration(1<<63 - 1)

// timeLimit returns how long the connection may stay in its phase; the caller holds
// the mutex.
func (c *Conn) timeLimit(limits Limits) time.Duration {
	switch {
	case c.overLimit:
		return overLimitHeader
	case c.phase == phaseServing:
		return unbounded
	case c.phase == phaseHeader:
		return limits.Header
	default:
		return max(c.idleLimit, limits.Idle)
	}
}

// Full reports whether MaxConnections connections are in use.
func (c *Clients) Full() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.busy >= c.cfg.MaxConnections
}

// Counts are the connections of clients and what was refused.
type Counts struct {
	// Open is the number of open connections.
	Open int
	// Refused is the number of connections and bodies that were refused so far because of a limit, HeadsRefused
	// that of requests whose head was not read to its end or took too much memory.
	Refused, HeadsRefused uint64
}

// Counts returns the current counts.
func (c *Clients) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Counts{Open: len(c.open), Refused: c.refused, HeadsRefused: c.headsRefused}
}

// Handler forwards the requests of connections within MaxConnections whose heads are within MaxHeadMemory, and
// answers the others with 503 and Retry-After.
func (c *Clients) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := ConnFromContext(r.Context())
		if conn == nil {
			next.ServeHTTP(w, r)
			return
		}
		conn.bodyBytes = r.ContentLength
		if !conn.overLimit && !conn.headRefused {
			next.ServeHTTP(w, r)
			return
		}
		// Fails only for a connection that is closed already.
		_ = conn.SetDeadline(time.Now().Add(overLimitHeader))
		w.Header().Set("Connection", "close")
		w.Header().Set("Retry-After", c.retryAfter())
		w.WriteHeader(http.StatusServiceUnavailable)
	})
}

// Reserve reserves memory for a request beside its body, and reports whether the limit of bodies allows it.
func (c *Clients) Reserve(bytes int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reserveLocked(bytes) {
		c.refused++
		return false
	}
	return true
}

// reserveLocked reserves memory if the limit of bodies allows it; the caller holds the mutex.
func (c *Clients) reserveLocked(bytes int64) bool {
	if c.bodyBytes+bytes > c.cfg.MaxBodyBytes {
		return false
	}
	c.bodyBytes += bytes
	return true
}

// Release returns memory that Reserve reserved.
func (c *Clients) Release(bytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodyBytes -= bytes
}
