package harness

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// usualBacklog is the length of a listener's queue of new connections.
	usualBacklog = 128
	// acceptInterval is the longest time until a listener notices that its queue is to be full.
	acceptInterval = 10 * time.Millisecond
	// droppedAfter is the time without an answer that shows that an opening packet was dropped.
	droppedAfter = 60 * time.Millisecond
)

// Listener is a TCP listener whose queue of new connections can be full for a time: the kernel drops
// opening packets then, and their senders send them again after a second.
type Listener struct {
	listener *net.TCPListener
	socket   syscall.RawConn
	handle   func(net.Conn)

	mu      sync.Mutex
	paused  bool
	waiting []net.Conn
}

// Listen listens on a free port of an address and handles each connection in a goroutine.
func Listen(ip string, handle func(net.Conn)) (*Listener, error) {
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	tcp := listener.(*net.TCPListener)
	socket, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	l := &Listener{listener: tcp, socket: socket, handle: handle}
	go l.run()
	return l, nil
}

// Addr returns the address that is listened on.
func (l *Listener) Addr() string { return l.listener.Addr().String() }

func (l *Listener) run() {
	for {
		if err := l.acceptOnce(); err != nil && !os.IsTimeout(err) {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// acceptOnce accepts a connection if there is one soon, unless the queue is to stay full.
func (l *Listener) acceptOnce() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused {
		return nil
	}
	if err := l.listener.SetDeadline(time.Now().Add(acceptInterval)); err != nil {
		return err
	}
	conn, err := l.listener.Accept()
	if err == nil {
		go l.handle(conn)
	}
	return err
}

// Fill fills the queue of new connections, and reports whether opening packets are dropped since.
func (l *Listener) Fill() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paused = true
	if l.setBacklog(0) != nil {
		return false
	}
	for range 3 {
		conn, err := net.DialTimeout("tcp4", l.Addr(), droppedAfter)
		if err != nil {
			return true
		}
		l.waiting = append(l.waiting, conn)
	}
	return false
}

// Drain accepts new connections again.
func (l *Listener) Drain() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.waiting {
		_ = conn.Close()
	}
	l.waiting, l.paused = nil, false
	return l.setBacklog(usualBacklog)
}

// setBacklog sets the length of the queue of new connections; the kernel adds one.
func (l *Listener) setBacklog(length int) error {
	var failed error
	err := l.socket.Control(func(descriptor uintptr) { failed = syscall.Listen(int(descriptor), length) })
	if err != nil {
		return err
	}
	return failed
}
