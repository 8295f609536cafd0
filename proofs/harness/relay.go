package harness

import (
	"bytes"
	"net"
	"sync"
	"testing"
)

// Direction is a direction of a relayed connection.
type Direction int

const (
	// ToBackend is the direction of requests.
	ToBackend Direction = iota
	// ToRouter is the direction of answers.
	ToRouter
)

// Action is what a relay does to a connection that it cuts.
type Action int

const (
	// Close closes both sides, as an exiting process does.
	Close Action = iota
	// Reset sends a TCP reset to both sides, as after a machine crash.
	Reset
	// Stall stops forwarding; the connection stays open.
	Stall
	// Hold keeps the request until Release, which delivers it to the back end over
	// a new connection, even if the router has given up. It needs Before, and a
	// request that arrives in one read.
	Hold
)

// Cut breaks connections at a byte offset. It applies to a connection on which
// Match is sent to the back end.
type Cut struct {
	// Match is a text in the request's first line or body.
	Match string
	// Before cuts before the first byte of Match; After and Direction are
	// ignored then.
	Before bool
	// Without Before, the cut is After bytes after the end of Match, counted in
	// Direction.
	Direction Direction
	After     int
	Action    Action
	// Times is the maximum number of connections to cut. Default: 1.
	Times int
}

// Relay forwards TCP connections to a back end and cuts them as armed.
type Relay struct {
	address  string
	target   string
	listener net.Listener

	mutex       sync.Mutex
	cut         Cut
	cutsLeft    int
	cutCount    int
	connections map[*relayedConnection]bool
	closed      bool
	// released is closed to end every Hold.
	released chan struct{}
	// lateAnswers holds the beginnings of the answers to held requests.
	lateAnswers []string
}

func newRelay(tb testing.TB, address, target string) *Relay {
	tb.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		tb.Fatalf("opening a relay: %v", err)
	}
	r := &Relay{address: address, target: target, listener: listener, connections: map[*relayedConnection]bool{}, released: make(chan struct{})}
	tb.Cleanup(r.close)
	go r.accept()
	return r
}

// Arm sets the cut, replacing the previous one.
func (r *Relay) Arm(cut Cut) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.cut = cut
	r.cutsLeft = max(cut.Times, 1)
}

// Disarm removes the cut; stalled connections stay stalled.
func (r *Relay) Disarm() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.cutsLeft = 0
}

// CutCount returns how many connections were cut so far.
func (r *Relay) CutCount() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.cutCount
}

// Release delivers the held requests; nothing can be held afterwards.
func (r *Relay) Release() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	select {
	case <-r.released:
	default:
		close(r.released)
	}
}

// LateAnswers returns the beginnings of the back end's answers to requests that
// were held and released.
func (r *Relay) LateAnswers() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]string(nil), r.lateAnswers...)
}

// ended reports whether the test is over.
func (r *Relay) ended() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.closed
}

func (r *Relay) recordLateAnswer(answer []byte) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lateAnswers = append(r.lateAnswers, string(answer))
}

// activeCut returns the armed cut, and false if none is left to apply.
func (r *Relay) activeCut() (Cut, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.cut, r.cutsLeft > 0
}

// claimCut reserves one use of the cut; it returns false if none is left.
func (r *Relay) claimCut() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.cutsLeft == 0 {
		return false
	}
	r.cutsLeft--
	return true
}

func (r *Relay) recordCut() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.cutCount++
}

func (r *Relay) accept() {
	for {
		routerSide, err := r.listener.Accept()
		if err != nil {
			return
		}
		backendSide, err := net.Dial("tcp", r.target)
		if err != nil {
			// The back end refused, so the router must see a reset at once.
			abort(routerSide)
			continue
		}
		connection := &relayedConnection{relay: r, routerSide: routerSide, backendSide: backendSide}
		r.mutex.Lock()
		r.connections[connection] = true
		closed := r.closed
		r.mutex.Unlock()
		if closed {
			connection.disconnect(Close)
			return
		}
		go connection.forward(ToBackend)
		go connection.forward(ToRouter)
	}
}

func (r *Relay) close() {
	_ = r.listener.Close()
	defer r.Release()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.closed = true
	for connection := range r.connections {
		connection.disconnect(Close)
	}
}

func (r *Relay) remove(connection *relayedConnection) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.connections, connection)
}

// relayedConnection is one connection through a relay.
type relayedConnection struct {
	relay                   *Relay
	routerSide, backendSide net.Conn

	mutex sync.Mutex
	// matched is set if the cut applies to this connection; bytesLeft counts the
	// bytes still to forward in its direction.
	matched   bool
	stalled   bool
	cut       Cut
	bytesLeft int
}

const relayBufferBytes = 32 << 10

// forward copies one direction until it ends or is cut.
func (c *relayedConnection) forward(direction Direction) {
	source, sink := c.routerSide, c.backendSide
	if direction == ToRouter {
		source, sink = c.backendSide, c.routerSide
	}
	buffer := make([]byte, relayBufferBytes)
	for {
		count, err := source.Read(buffer)
		pass, cut := c.admit(direction, buffer[:count])
		if len(pass) > 0 {
			if _, err := sink.Write(pass); err != nil {
				c.finish()
				return
			}
		}
		if cut {
			c.applyCut(buffer[len(pass):count])
			return
		}
		if err != nil {
			c.finish()
			return
		}
	}
}

// hold keeps a request until Release and delivers it then, unless the test is over.
func (c *relayedConnection) hold(held []byte) {
	<-c.relay.released
	if c.relay.ended() {
		return
	}
	backendSide, err := net.Dial("tcp", c.relay.target)
	if err != nil {
		return
	}
	defer func() { _ = backendSide.Close() }()
	if _, err := backendSide.Write(held); err != nil {
		return
	}
	answer := make([]byte, relayBufferBytes)
	count, _ := backendSide.Read(answer)
	c.relay.recordLateAnswer(answer[:count])
}

// admit returns the bytes to forward, and whether the connection is cut after them.
func (c *relayedConnection) admit(direction Direction, data []byte) ([]byte, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.stalled {
		return nil, false
	}
	passed := 0
	if !c.matched && direction == ToBackend {
		start, end := c.match(data)
		if !c.matched {
			return data, false
		}
		if c.cut.Before {
			return data[:start], true
		}
		passed = end
	}
	if !c.matched || direction != c.cut.Direction {
		return data, false
	}
	if len(data)-passed < c.bytesLeft {
		c.bytesLeft -= len(data) - passed
		return data, false
	}
	return data[:passed+c.bytesLeft], true
}

// match searches for the armed cut's text and returns its start and end. A text
// split over two reads is not found; the requests of the proofs are small enough.
func (c *relayedConnection) match(data []byte) (start, end int) {
	cut, armed := c.relay.activeCut()
	if !armed {
		return 0, 0
	}
	start = bytes.Index(data, []byte(cut.Match))
	if start < 0 || !c.relay.claimCut() {
		return 0, 0
	}
	c.matched, c.cut, c.bytesLeft = true, cut, cut.After
	return start, start + len(cut.Match)
}

// applyCut applies the cut's action; held is the data that was not forwarded.
func (c *relayedConnection) applyCut(held []byte) {
	switch action := c.cut.Action; action {
	case Stall, Hold:
		c.mutex.Lock()
		c.stalled = true
		c.mutex.Unlock()
	default:
		c.disconnect(action)
		c.relay.remove(c)
	}
	c.relay.recordCut()
	if c.cut.Action == Hold {
		c.hold(held)
	}
}

// finish closes the connection when one direction ends, unless it is stalled.
func (c *relayedConnection) finish() {
	c.mutex.Lock()
	stalled := c.stalled
	c.mutex.Unlock()
	if stalled {
		return
	}
	c.disconnect(Close)
	c.relay.remove(c)
}

func (c *relayedConnection) disconnect(action Action) {
	if action == Reset {
		abort(c.routerSide)
		abort(c.backendSide)
		return
	}
	_ = c.routerSide.Close()
	_ = c.backendSide.Close()
}

// abort closes a connection with a TCP reset.
func abort(connection net.Conn) {
	if tcp, isTCP := connection.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}
