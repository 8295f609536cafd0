package exchange

import (
	"bufio"
	"cmp"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Options bounds the connections of a Pool. Zero values take the defaults.
type Options struct {
	// ConnectTimeout bounds opening a connection. Default: 300ms.
	ConnectTimeout time.Duration
	// UserTimeout is how long sent bytes may stay unacknowledged, and how long
	// probes may where nothing is sent, besides the time between two of them. Default: 1s.
	UserTimeout time.Duration
	// IdleTimeout is how long a connection rests at most whose peer told no
	// time; it rests shorter once peers were seen to end such rests.
	// Default: 15s.
	IdleTimeout time.Duration
	// MaxHeaderBytes bounds the header of an answer. Default: 64 KiB.
	MaxHeaderBytes int
	// MaxIdlePerAddress bounds resting connections to one address. Default: 64.
	MaxIdlePerAddress int
}

const (
	defaultConnectTimeout = 300 * time.Millisecond
	defaultUserTimeout    = time.Second
	defaultIdleTimeout    = 15 * time.Second
	defaultMaxHeaderBytes = 64 << 10
	defaultMaxIdle        = 64
	// readerBytes is the size of a connection's read buffer.
	readerBytes = 2 << 10
	// idleMargin is how long before the peer's own time a resting connection
	// is no longer used, so that no request crosses its close.
	idleMargin = 200 * time.Millisecond
)

// ErrConnectionLimit says that all connections allowed to an address are in use.
var ErrConnectionLimit = errors.New("all connections allowed to the back end are in use")

// Pool keeps connections to back ends. It is safe for concurrent use.
type Pool struct {
	options Options
	dialer  net.Dialer

	mutex   sync.Mutex
	targets map[string]*target
	opened  uint64
	// silent counts the connections that were found silent.
	silent   uint64
	suspects suspicion
	// idle bounds rests that no peer bounds.
	idle idleLimit
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
	return &Pool{
		options: options,
		dialer: net.Dialer{
			Timeout:         options.ConnectTimeout,
			KeepAliveConfig: proofOfLife,
			Control: func(_, _ string, raw syscall.RawConn) error {
				return setUserTimeout(raw, options.UserTimeout)
			},
		},
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

// get returns a connection for one exchange: the one that rested the shortest
// time, or a new one. limit is the most connections to the address, 0 none.
func (p *Pool) get(ctx context.Context, address string, limit int) (*connection, error) {
	for {
		resting, full := p.take(address, limit)
		if full {
			return nil, ErrConnectionLimit
		}
		if resting == nil {
			return p.dial(ctx, address)
		}
		found := resting.look()
		p.rested(resting, found)
		switch found {
		case restOpen:
			return resting, nil
		case restSilent:
			p.drop(resting)
			p.foundSilent(address, time.Now().Add(-probeInterval))
		default:
			p.drop(resting)
		}
	}
}

// rested takes in what became of a connection during its rest.
func (p *Pool) rested(used *connection, found rest) {
	if used.told || found == restSilent {
		return
	}
	lasted := time.Since(used.idleSince)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if found == restOpen {
		p.idle.borne(lasted)
	} else {
		p.idle.ended(lasted)
	}
}

// take returns a resting connection, or nil after counting a new one.
func (p *Pool) take(address string, limit int) (resting *connection, full bool) {
	now := time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known := p.targets[address]
	if known == nil {
		known = &target{}
		p.targets[address] = known
	}
	if last := len(known.idle) - 1; last >= 0 {
		newest := known.idle[last]
		if now.Before(newest.idleUntil) {
			known.idle = known.idle[:last]
			return newest, false
		}
		p.closeIdle(known)
	}
	if limit > 0 && known.open >= limit {
		return nil, true
	}
	known.open++
	return nil, false
}

// closeIdle closes all resting connections of a target; the caller holds the mutex.
func (p *Pool) closeIdle(known *target) {
	for _, resting := range known.idle {
		_ = resting.Close()
		known.open--
	}
	known.idle = known.idle[:0]
}

func (p *Pool) dial(ctx context.Context, address string) (*connection, error) {
	begun := time.Now()
	opened, err := p.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		p.forget(address)
		return nil, errors.Wrap(err, "open a connection")
	}
	p.connected(address)
	return &connection{
		Conn: opened, address: address, reader: bufio.NewReaderSize(opened, readerBytes),
		ackWithin: p.options.UserTimeout, opening: time.Since(begun),
	}, nil
}

// put takes back a connection whose exchange is whole. keep is how long the
// peer keeps it open, 0 if it told nothing.
func (p *Pool) put(used *connection, keep time.Duration) {
	used.told = keep > 0
	if used.told && keep <= idleMargin {
		p.drop(used)
		return
	}
	used.idleSince = time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !used.told {
		keep = p.idle.current
	}
	used.idleUntil = used.idleSince.Add(keep - idleMargin)
	known := p.targets[used.address]
	if known == nil || len(known.idle) >= p.options.MaxIdlePerAddress {
		_ = used.Close()
		p.release(used.address)
		return
	}
	known.idle = append(known.idle, used)
}

// drop closes a connection that is not to be used again.
func (p *Pool) drop(used *connection) {
	_ = used.Close()
	p.forget(used.address)
}

func (p *Pool) forget(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.release(address)
}

// release counts a connection as closed; the caller holds the mutex.
func (p *Pool) release(address string) {
	known := p.targets[address]
	if known == nil {
		return
	}
	known.open--
	if known.open <= 0 && len(known.idle) == 0 {
		delete(p.targets, address)
	}
}

// CloseIdle closes every resting connection whose time is over, or all of them.
func (p *Pool) CloseIdle(all bool) {
	now := time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.suspects.prune(now)
	for address, known := range p.targets {
		kept := known.idle[:0]
		for _, resting := range known.idle {
			if !all && now.Before(resting.idleUntil) {
				kept = append(kept, resting)
				continue
			}
			_ = resting.Close()
			known.open--
		}
		known.idle = kept
		if known.open <= 0 && len(kept) == 0 {
			delete(p.targets, address)
		}
	}
}
