package harness

import (
	"bytes"
	"net"
	"sync"
	"testing"
)

// Direction names one half of a relayed connection.
type Direction int

const (
	// ToBackend is the half that carries requests.
	ToBackend Direction = iota
	// ToRouter is the half that carries answers.
	ToRouter
)

// Action is what a relay does to a connection.
type Action int

const (
	// Close closes both halves, as a process that ends does.
	Close Action = iota
	// Reset sends a TCP reset both ways, as a crashed machine's peer sees it.
	Reset
	// Stall forwards nothing more; the connection stays open.
	Stall
	// Hold keeps back the request until Release. It then reaches the back end,
	// over a new connection, whether or not the router still waits. It is for
	// requests without further bytes, and needs Before.
	Hold
)

// Cut breaks connections at a byte. It strikes a connection once Match has
// passed towards the back end.
type Cut struct {
	// Match is a text of the request: of its first line, or of its body.
	Match string
	// Before cuts before the first byte of Match; After and Direction do not
	// count then.
	Before bool
	// Direction and After say where else: after so many further bytes in that
	// direction, counted from the end of Match.
	Direction Direction
	After     int
	Action    Action
	// Times bounds how many connections are struck. Default: 1.
	Times int
}

// Relay passes TCP connections through to a back end and breaks them as told.
// It is a fixture of the proofs only.
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
	// released ends every Hold.
	released chan struct{}
	// lateAnswers holds the beginnings of the answers to what was held back.
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

// Arm puts a cut in force in place of the one before.
func (r *Relay) Arm(cut Cut) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.cut = cut
	r.cutsLeft = max(cut.Times, 1)
}

// Disarm takes the cut back; stalled connections stay stalled.
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

// Release passes on what Hold kept back; nothing can be held after it.
func (r *Relay) Release() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	select {
	case <-r.released:
	default:
		close(r.released)
	}
}

// LateAnswers returns the beginnings of what the back end answered to requests
// that were held back and released.
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

// activeCut returns the cut in force, if any.
func (r *Relay) activeCut() (Cut, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.cut, r.cutsLeft > 0
}

// claimCut takes one of the cut's strikes.
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
			// The back end refused, so the router must see a break at once.
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
	// matched says that the cut holds for this connection; left counts the
	// bytes that still pass in its direction.
	matched   bool
	stalled   bool
	cut       Cut
	bytesLeft int
}

const relayBufferBytes = 32 << 10

// forward forwards one half until it ends or is cut.
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

// hold keeps a request back until the release and delivers it then.
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

// admit returns the bytes that pass, and whether the connection is cut then.
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

// match looks for the armed cut's text and returns where it begins and ends.
// A text that two reads share is not found: requests of the proofs are small.
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

// applyCut does to the connection as the cut says; kept is what does not pass.
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

// finish passes the end of one half on, unless the connection is stalled.
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
