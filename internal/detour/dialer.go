package detour

import (
	"bufio"
	"context"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/answer"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/exchange"
)

const (
	// maxHelpers is how many routers are asked for one connection.
	maxHelpers = 3
	// helperStagger is how long one router is awaited before another one is asked as well: longer
	// than a back end takes to accept, and so short that two have found out whether it does soon
	// after a direct attempt has failed.
	helperStagger = 80 * time.Millisecond
	// connectTimeout and ackTimeout bound the connection to a helper as those between routers.
	connectTimeout = 250 * time.Millisecond
	ackTimeout     = 500 * time.Millisecond
	// dialTimeout bounds all attempts for one connection.
	dialTimeout = 700 * time.Millisecond
	// headBytes is the size of the read buffer of a connection through a helper, maxAnswerBytes the limit of
	// a helper's answer.
	headBytes      = 2 << 10
	maxAnswerBytes = 8 << 10
)

// Routers are the other routers as a Dialer needs them; all fields are required.
type Routers struct {
	// Peers returns those that may help.
	Peers func() []Peer
	// OnFailed is called when a connection failed; proven is whether other routers found the back
	// end down.
	OnFailed func(proven bool)
	// OnAllLost is called when no back end is reached directly any more.
	OnAllLost func()
}

// Dialer opens connections to back ends, through another router if need be. It is safe for
// concurrent use.
type Dialer struct {
	dialer  net.Dialer
	routers atomic.Pointer[Routers]
	opened  atomic.Uint64

	mu      sync.Mutex
	paths   *Paths
	helpers *Helpers
	random  *rand.Rand
	// lenders remembers where no router had a connection to lend.
	lenders lenders
	// verifiedAt is when Verify last did something.
	verifiedAt time.Time
}

var _ exchange.Detour = (*Dialer)(nil)

// NewDialer returns a dialer that knows no other router. Others know this one by its address self,
// which may be invalid. receiveBytes bounds the bytes that lie unread in the kernel for each connection, 0
// means no bound.
func NewDialer(self netip.Addr, receiveBytes int) *Dialer {
	dialer := exchange.NewDialer(exchange.DialerConfig{ConnectTimeout: connectTimeout, AckTimeout: ackTimeout, ReceiveBytes: receiveBytes})
	if self.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(self, 0))
	}
	return &Dialer{
		dialer: dialer, paths: NewPaths(), helpers: NewHelpers(), lenders: lenders{until: make(map[string]time.Time)},
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// SetRouters sets the other routers; before, all connections are direct.
func (d *Dialer) SetRouters(routers *Routers) { d.routers.Store(routers) }

// Opened returns the number of connections opened through other routers.
func (d *Dialer) Opened() uint64 { return d.opened.Load() }

// AllLost reports whether no back end is reached directly, while other routers reach some.
func (d *Dialer) AllLost() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.paths.AllLost()
}

// AllLostFor returns for how long no back end has been reached directly, 0 if some are.
func (d *Dialer) AllLostFor() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.paths.AllLostFor(clock.Now())
}

// Lost implements exchange.Detour.
func (d *Dialer) Lost(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.paths.Lost(clock.Now(), address)
}

// ObserveAnswer implements exchange.Detour.
func (d *Dialer) ObserveAnswer() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.paths.ObserveAnswer()
}

// ObserveSilent implements exchange.Detour.
func (d *Dialer) ObserveSilent(helper netip.AddrPort) { d.avoid(helper) }

// Dial implements exchange.Detour.
func (d *Dialer) Dial(ctx context.Context, address string, direct exchange.DialFunc) (exchange.Opened, error) {
	routers := d.routers.Load()
	if routers == nil {
		conn, err := direct(ctx, address)
		return exchange.Opened{Conn: conn}, err
	}
	peers := routers.Peers()
	if len(peers) == 0 {
		conn, err := direct(ctx, address)
		if err != nil {
			routers.OnFailed(false)
		}
		return exchange.Opened{Conn: conn}, err
	}
	d.mu.Lock()
	plan := d.paths.Plan(clock.Now(), address)
	d.mu.Unlock()
	bounded, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	race := &race{dialer: d, address: address, direct: direct, peers: peers, results: make(chan result, maxHelpers+1)}
	opened, err := race.run(bounded, plan)
	if err != nil {
		routers.OnFailed(race.proofs > 0)
	}
	return opened, err
}

// verifyInterval is the least time between two calls of Verify that do something.
const verifyInterval = 100 * time.Millisecond

// Verify finds out in the background whether a back end that this router failed to reach for
// another one is down, or this router's link to it.
func (d *Dialer) Verify(address string, direct exchange.DialFunc) {
	now := clock.Now()
	d.mu.Lock()
	due := now.Sub(d.verifiedAt) >= verifyInterval
	if due {
		d.verifiedAt = now
	}
	d.mu.Unlock()
	if !due {
		return
	}
	go func() {
		opened, err := d.Dial(context.Background(), address, direct)
		if err == nil {
			_ = opened.Conn.Close()
		}
	}()
}

// order returns the routers to ask for one connection, in order.
func (d *Dialer) order(peers []Peer) []netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	ordered := d.helpers.Order(clock.Now(), d.random, peers)
	return ordered[:min(len(ordered), maxHelpers)]
}

func (d *Dialer) avoid(helper netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.helpers.Avoid(clock.Now(), helper)
}

// observeLost records that a helper reached an address that a direct attempt did not.
func (d *Dialer) observeLost(address string) {
	d.mu.Lock()
	allLost := d.paths.ObserveLost(clock.Now(), address)
	d.mu.Unlock()
	if !allLost {
		return
	}
	log.WithFields(log.Fields{"address": address}).Warn("backends_not_reached")
	d.routers.Load().OnAllLost()
}

// DialDirect opens a direct connection and remembers whether that worked.
func (d *Dialer) DialDirect(ctx context.Context, address string, direct exchange.DialFunc) (net.Conn, error) {
	conn, err := direct(ctx, address)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.paths.ObserveFailed(address)
		return nil, err
	}
	if d.paths.ObserveDirect(clock.Now(), address) {
		log.WithFields(log.Fields{"address": address}).Info("backends_reached")
	}
	return conn, nil
}

// Credible reports whether a failed direct attempt of this router says anything about the back end.
func (d *Dialer) Credible() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.paths.Credible()
}

// through opens a connection to an address through a helper, which is asked by a method.
func (d *Dialer) through(ctx context.Context, helper netip.AddrPort, method, address string) (exchange.Opened, error) {
	conn, err := d.dialer.DialContext(ctx, "tcp4", helper.String())
	if err != nil {
		// Not wrapped: a router that refuses says nothing about the back end.
		return exchange.Opened{}, errors.Errorf("connect to a router: %v", err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	bounded := &io.LimitedReader{R: conn, N: maxAnswerBytes}
	reader := bufio.NewReaderSize(bounded, headBytes)
	framed, err := ask(conn, reader, method, address)
	if err != nil && bounded.N <= 0 {
		err = errAnswerTooLarge
	}
	bounded.N = math.MaxInt64
	// stop returns false if the context has ended, after which the deadline stays over.
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		_ = conn.Close()
		return exchange.Opened{}, err
	}
	d.opened.Add(1)
	opened := exchange.Opened{Conn: conn, Reader: reader, Received: reader, Framed: framed, Through: helper}
	if framed {
		decoder := newFramedReader(reader, helper)
		opened.Reader, opened.Receipt = decoder, decoder
	}
	return opened, nil
}

// ask asks the router at the other end of a connection to connect it to an address. framed is whether
// that router frames what the back end sends.
func ask(conn net.Conn, reader *bufio.Reader, method, address string) (framed bool, err error) {
	target := address
	if method == methodLend {
		target = "/"
	}
	request := method + " " + target + " HTTP/1.1" + lineEnd + "Host: " + address + lineEnd + headerFraming + ": " + framingChunked + lineEnd +
		headerReceipt + ": " + receiptBytes + lineEnd
	if _, err := io.WriteString(conn, request+lineEnd); err != nil {
		return false, errors.Wrap(err, "ask a router for a connection")
	}
	head, err := answer.ReadHead(reader, http.MethodConnect)
	if err != nil {
		return false, errors.Wrap(err, "read a router's answer")
	}
	switch head.Status {
	case http.StatusOK:
		if head.Header.Get(headerRelayedTo) != address {
			return false, errors.New("another server than a router answers there")
		}
		return confirmedFraming(head.Header)
	case statusRefused:
		return false, errors.Wrap(syscall.ECONNREFUSED, "another router connects to the back end")
	case statusNoAnswer:
		return false, errBackendSilent
	}
	return false, errors.Errorf("a router does not help: status %d", head.Status)
}

// confirmedFraming reports whether a router's answer confirms the framing that was asked for.
func confirmedFraming(header http.Header) (framed bool, err error) {
	switch framing := header.Get(headerFraming); framing {
	case "":
		return false, nil
	case framingChunked:
		return true, nil
	default:
		return false, errors.Errorf("a router frames in another way than asked: %.40q", framing)
	}
}

// errAnswerTooLarge means that what answers there is no router.
var errAnswerTooLarge = errors.Errorf("a router's answer exceeds %d bytes", maxAnswerBytes)

// errBackendSilent means that the back end accepts no connection of a helper.
var errBackendSilent = errors.New("the back end does not answer another router")

// provesDown reports whether a helper's error is that of the back end.
func provesDown(err error) bool {
	return errors.Is(err, errBackendSilent) || errors.Is(err, syscall.ECONNREFUSED)
}
