package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// DialFunc opens a direct connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Opened is a new connection.
type Opened struct {
	Conn net.Conn
	// Reader returns what the back end sends, if that is not what is read from Conn; else it is nil.
	Reader io.Reader
	// Received is the buffer between Conn and Reader; nil means that there is none.
	Received *bufio.Reader
	// Framed is whether Reader decodes frames, in which the router that relays the connection tells how the
	// back end ended its side.
	Framed bool
	// Receipt tells what the back end has received, nil if the router can't.
	Receipt Receipt
	// Through is the router that relays the connection, the zero value for a direct one.
	Through netip.AddrPort
}

// Receipt tells how many of the bytes that were written to a relayed connection the back end has received.
type Receipt interface {
	// Received returns that number once reads of the connection have ended; known is false if the router that
	// relays it did not tell.
	Received() (count int64, known bool)
}

// Detour opens connections directly or, where that fails, through another router. Its methods are
// safe for concurrent use.
type Detour interface {
	// Dial opens a connection to an address; direct opens a direct one.
	Dial(ctx context.Context, address string, direct DialFunc) (Opened, error)
	// Borrow opens a connection to an address through another router that has more connections to it
	// than it uses.
	Borrow(ctx context.Context, address string) (Opened, error)
	// Lost reports whether an address is not reached directly.
	Lost(address string) bool
	// ObserveAnswer records that an answer arrived on a direct connection.
	ObserveAnswer()
	// ObserveSilent records that a router that relays connections fell silent.
	ObserveSilent(through netip.AddrPort)
}

// RelayError means that the router that relays a connection did not tell how the back end ended it: that
// router died, was cut off, or is of a build that can't tell.
type RelayError struct {
	// Through is the router.
	Through netip.AddrPort
	Cause   error
}

// Error implements error.
func (e *RelayError) Error() string {
	return "the router at " + e.Through.String() + " that relays the connection broke off: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *RelayError) Unwrap() error { return e.Cause }

// errEndNotTold is the cause of a RelayError where nothing but the end of the connection ended an answer.
var errEndNotTold = errors.New("it does not tell whether the answer was whole")

// maxRelayedAge is how long a connection through another router is used for further requests: that
// router may shut down, and the direct way may be open again.
const maxRelayedAge = time.Second

// DialerConfig configures NewDialer.
type DialerConfig struct {
	// ConnectTimeout limits opening a connection.
	ConnectTimeout time.Duration
	// AckTimeout is how long sent bytes may stay unacknowledged.
	AckTimeout time.Duration
	// ReceiveBytes bounds the bytes that lie unread in the kernel. 0 means no bound.
	ReceiveBytes int
	// Control is that of net.Dialer; it may be nil.
	Control func(network, address string, socket syscall.RawConn) error
}

// NewDialer returns a dialer whose connections probe idle peers, and end when sent bytes stay
// unacknowledged.
func NewDialer(config DialerConfig) net.Dialer {
	return net.Dialer{
		Timeout:         config.ConnectTimeout,
		KeepAliveConfig: keepAliveProbes,
		Control: func(network, address string, socket syscall.RawConn) error {
			if err := setUserTimeout(socket, config.AckTimeout); err != nil {
				return err
			}
			if config.ReceiveBytes > 0 {
				// On an error the kernel's bound stays.
				_ = setReceiveBuffer(socket, config.ReceiveBytes)
			}
			if config.Control == nil {
				return nil
			}
			return config.Control(network, address, socket)
		},
	}
}

// SetTimeouts makes the kernel probe the peer of an idle connection, and end the connection when
// sent bytes stay unacknowledged for ackTimeout. Other connections than those of TCP stay as they
// are.
func SetTimeouts(conn net.Conn, ackTimeout time.Duration) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	if err := tcp.SetKeepAliveConfig(keepAliveProbes); err != nil {
		return err
	}
	socket, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	return setUserTimeout(socket, ackTimeout)
}

// DialDirect opens a direct connection that the pool does not manage.
func (p *Pool) DialDirect(ctx context.Context, address string) (net.Conn, error) {
	return p.dialer.DialContext(ctx, "tcp4", address)
}

// open opens a connection, through another router if that is allowed and needed.
func (p *Pool) open(ctx context.Context, address string, directOnly bool) (Opened, error) {
	if p.options.Detour == nil || directOnly {
		conn, err := p.DialDirect(ctx, address)
		return Opened{Conn: conn}, err
	}
	return p.options.Detour.Dial(ctx, address, p.DialDirect)
}

// borrow opens a connection through a router that does not use all that it may open. It serves one
// exchange.
func (p *Pool) borrow(ctx context.Context, address string, directOnly bool) (*connection, error) {
	if p.options.Detour == nil || directOnly {
		return nil, ErrConnectionLimit
	}
	start := time.Now()
	opened, err := p.options.Detour.Borrow(ctx, address)
	if err != nil {
		return nil, ErrConnectionLimit
	}
	p.countOpened()
	return p.newConnection(&opened, address, start, true), nil
}

// Lend reserves a connection to an address for another router, and reports whether it did. spare of the
// connections that this router may open are kept for itself. The caller calls Return once it is closed.
func (p *Pool) Lend(address string, limit, spare int) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known := p.targets[address]
	if known == nil {
		known = &target{}
		p.targets[address] = known
	}
	if known.open-len(known.idle) >= limit-spare {
		p.forgetUnused(address)
		return false
	}
	if known.open >= limit {
		known.closeOldest()
	}
	known.open++
	return true
}

// Return ends the reservation of a connection lent to another router.
func (p *Pool) Return(address string) { p.release(address) }

// outdated reports whether an idle connection may not be used any more: a relayed one that is old
// or whose back end is reached directly again, or one that this exchange may not use.
func (p *Pool) outdated(conn *connection, directOnly bool) bool {
	if !conn.through.IsValid() {
		return false
	}
	return directOnly || time.Since(conn.openedAt) > maxRelayedAge || !p.options.Detour.Lost(conn.address)
}

// CloseIdleDirect closes the idle direct connections, since back ends are not reached directly.
func (p *Pool) CloseIdleDirect() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, known := range p.targets {
		kept := known.idle[:0]
		for _, conn := range known.idle {
			if conn.through.IsValid() {
				kept = append(kept, conn)
				continue
			}
			_ = conn.Close()
			known.open--
		}
		known.idle = kept
	}
}
