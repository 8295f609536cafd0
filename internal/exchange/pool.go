package exchange

import (
	"bufio"
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Options configures a Pool. Zero values take the defaults.
type Options struct {
	// ConnectTimeout limits opening a connection. Default: 300ms.
	ConnectTimeout time.Duration
	// UserTimeout is how long sent bytes may stay unacknowledged, and likewise
	// keep-alive probes, in addition to the probe interval. Default: 1s.
	UserTimeout time.Duration
	// IdleTimeout limits the idle time of connections whose peer advertises no
	// timeout; the limit shrinks when peers close idle connections earlier.
	// Default: 15s.
	IdleTimeout time.Duration
	// MaxHeaderBytes limits the first line and the header of an answer. Default: 64 KiB.
	MaxHeaderBytes int
	// MaxIdlePerAddress limits idle connections to one address. Default: 64.
	MaxIdlePerAddress int
	// ReceiveBytes bounds the bytes that lie unread in the kernel for each direct connection. Default: 256 KiB.
	ReceiveBytes int
	// Control is called with each new socket before it connects, as that of net.Dialer. Default: none.
	Control func(network, address string, socket syscall.RawConn) error
	// Detour opens the connections. Default: all are direct.
	Detour Detour
}

const (
	defaultConnectTimeout = 300 * time.Millisecond
	defaultUserTimeout    = time.Second
	defaultIdleTimeout    = 15 * time.Second
	defaultMaxHeaderBytes = 64 << 10
	defaultMaxIdle        = 64
	defaultReceiveBytes   = 256 << 10
	// readerBytes is the size of a connection's read buffer.
	readerBytes = 2 << 10
	// idleMargin is how long before the peer's idle timeout a connection is no
	// longer used, so that no request races with the close.
	idleMargin = 200 * time.Millisecond
)

// ErrConnectionLimit is the cause if all connections allowed to an address are in use.
var ErrConnectionLimit = errors.New("all connections allowed to the back end are in use")

// Pool keeps connections to back ends. It is safe for concurrent use.
type Pool struct {
	options Options
	dialer  net.Dialer

	mutex   sync.Mutex
	targets map[string]*target
	opened  uint64
	// created counts all connections of the pool, the relayed ones included.
	created atomic.Uint64
	// headBytes counts the bytes of the heads that are read now.
	headBytes atomic.Int64
	bad       badAnswers
	// silent counts the connections detected as silent.
	silent   uint64
	silences silenceDetector
	// idle limits idle times for which the peer advertises no timeout.
	idle   idleLimit
	checks idleChecks
}

// target is the state of the connections to one address.
type target struct {
	idle []*connection
	open int
}

// NewPool returns an empty pool.
func NewPool(options Options) *Pool {
	options.ConnectTimeout = cmp.Or(options.ConnectTimeout, defaultConnectTimeout)
	options.UserTimeout = cmp.Or(options.UserTimeout, defaultUserTimeout)
	options.IdleTimeout = cmp.Or(options.IdleTimeout, defaultIdleTimeout)
	options.MaxHeaderBytes = cmp.Or(options.MaxHeaderBytes, defaultMaxHeaderBytes)
	options.MaxIdlePerAddress = cmp.Or(options.MaxIdlePerAddress, defaultMaxIdle)
	options.ReceiveBytes = cmp.Or(options.ReceiveBytes, defaultReceiveBytes)
	return &Pool{
		options: options,
		dialer: NewDialer(DialerConfig{
			ConnectTimeout: options.ConnectTimeout, AckTimeout: options.UserTimeout, ReceiveBytes: options.ReceiveBytes, Control: options.Control,
		}),
		targets: make(map[string]*target),
		idle:    newIdleLimit(options.IdleTimeout),
	}
}

// Opened returns how many connections were opened so far.
func (p *Pool) Opened() uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.opened
}

// get returns a connection for a request: of those that it may use the one idle for the shortest time, or
// a new one.
func (p *Pool) get(ctx context.Context, address string, request *Request) (*connection, error) {
	for {
		conn, full := p.acquire(address, request)
		if full {
			return p.borrow(ctx, address, request.DirectOnly)
		}
		if conn == nil {
			return p.dial(ctx, address, request.DirectOnly)
		}
		if p.outdated(conn, request.DirectOnly) {
			p.drop(conn)
			continue
		}
		state := conn.checkIdle()
		p.observeIdle(conn, state)
		switch state {
		case idleOpen:
			return conn, nil
		case idleSilent:
			p.drop(conn)
			p.recordSilent(conn, time.Now().Add(-probeInterval))
		default:
			p.drop(conn)
		}
	}
}

// observeIdle adapts the idle limit to the state of a connection after its idle time.
func (p *Pool) observeIdle(used *connection, state idleState) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.observeIdleLocked(used, state)
}

// observeIdleLocked is observeIdle for a caller that holds the mutex.
func (p *Pool) observeIdleLocked(used *connection, state idleState) {
	if used.timeoutAdvertised || state == idleSilent {
		return
	}
	duration := time.Since(used.idleSince)
	if state == idleOpen {
		p.idle.extend(duration)
	} else {
		p.idle.shorten(duration)
	}
}

// acquire returns an idle connection, or nil after counting a new one as open.
func (p *Pool) acquire(address string, request *Request) (conn *connection, full bool) {
	now := time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known := p.targets[address]
	if known == nil {
		known = &target{}
		p.targets[address] = known
	}
	if conn := known.takeIdle(request); conn != nil {
		if now.Before(conn.idleUntil) {
			return conn, false
		}
		_ = conn.Close()
		known.open--
		p.closeIdle(known)
	}
	if limit := request.MaxConnections; limit > 0 && known.open >= limit {
		if len(known.idle) == 0 {
			return nil, true
		}
		// Those left may not carry the request.
		known.closeOldest()
	}
	known.open++
	return nil, false
}

// takeIdle removes the connection that was idle for the shortest time among those that may carry a request,
// and returns it, or nil if there is none.
func (t *target) takeIdle(request *Request) *connection {
	if request.Unshared {
		return nil
	}
	for index := len(t.idle) - 1; index >= 0; index-- {
		if conn := t.idle[index]; !slices.Contains(request.Avoid, conn.number) {
			t.idle = slices.Delete(t.idle, index, index+1)
			return conn
		}
	}
	return nil
}

// closeOldest closes the connection that has been idle for the longest time.
func (t *target) closeOldest() {
	_ = t.idle[0].Close()
	t.idle = slices.Delete(t.idle, 0, 1)
	t.open--
}

// closeIdle closes all idle connections of a target; the caller holds the mutex.
func (p *Pool) closeIdle(known *target) {
	for _, conn := range known.idle {
		_ = conn.Close()
		known.open--
	}
	known.idle = known.idle[:0]
}

func (p *Pool) dial(ctx context.Context, address string, directOnly bool) (*connection, error) {
	start := time.Now()
	opened, err := p.open(ctx, address, directOnly)
	if err != nil {
		p.release(address)
		return nil, errors.Wrap(err, "open a connection")
	}
	conn := p.newConnection(&opened, address, start, false)
	if conn.through.IsValid() {
		p.countOpened()
		return conn, nil
	}
	p.recordConnected(address)
	conn.connectTime = time.Since(start)
	return conn, nil
}

// newConnection returns the connection that was opened to an address at a time.
func (p *Pool) newConnection(opened *Opened, address string, at time.Time, borrowed bool) *connection {
	conn := &connection{
		Conn: opened.Conn, address: address, number: p.created.Add(1), received: opened.Received, framed: opened.Framed, receipt: opened.Receipt, through: opened.Through, openedAt: at, borrowed: borrowed,
		ackTimeout: p.options.UserTimeout,
	}
	conn.head = headReader{from: conn.Conn, conn: conn.Conn, total: &p.headBytes}
	if opened.Reader != nil {
		conn.head.from = opened.Reader
	}
	conn.reader = bufio.NewReaderSize(&conn.head, readerBytes)
	return conn
}

func (p *Pool) countOpened() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.opened++
}

// put returns a connection to the pool after a complete exchange. idleTimeout is
// the one that the peer advertised, 0 if none.
func (p *Pool) put(used *connection, idleTimeout time.Duration) {
	if used.borrowed {
		p.drop(used)
		return
	}
	used.timeoutAdvertised = idleTimeout > 0
	if used.timeoutAdvertised && idleTimeout <= idleMargin {
		p.drop(used)
		return
	}
	used.idleSince = time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !used.timeoutAdvertised {
		idleTimeout = p.idle.current
	}
	used.idleUntil = used.idleSince.Add(idleTimeout - idleMargin)
	known := p.targets[used.address]
	if known == nil || len(known.idle) >= p.options.MaxIdlePerAddress {
		_ = used.Close()
		p.releaseLocked(used.address)
		return
	}
	known.idle = append(known.idle, used)
	p.scheduleIdleCheck(used)
}

// drop closes a connection instead of reusing it.
func (p *Pool) drop(used *connection) {
	_ = used.Close()
	if !used.borrowed {
		p.release(used.address)
	}
}

func (p *Pool) release(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.releaseLocked(address)
}

// releaseLocked counts a connection as closed; the caller holds the mutex.
func (p *Pool) releaseLocked(address string) {
	known := p.targets[address]
	if known == nil {
		return
	}
	known.open--
	p.forgetUnused(address)
}

// forgetUnused drops the state of an address without connections; the caller holds the mutex.
func (p *Pool) forgetUnused(address string) {
	if known := p.targets[address]; known.open <= 0 && len(known.idle) == 0 {
		delete(p.targets, address)
	}
}

// CloseIdle closes the idle connections that have expired, or all of them.
func (p *Pool) CloseIdle(all bool) {
	now := time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.silences.prune(now)
	for address, known := range p.targets {
		kept := known.idle[:0]
		for _, conn := range known.idle {
			if !all && now.Before(conn.idleUntil) {
				kept = append(kept, conn)
				continue
			}
			_ = conn.Close()
			known.open--
		}
		known.idle = kept
		if known.open <= 0 && len(kept) == 0 {
			delete(p.targets, address)
		}
	}
}
