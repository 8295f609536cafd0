package router

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// quietBeforeClose is the time without new connections before a stopping
	// router closes its listener: closing it resets connections that wait in the
	// kernel's accept queue.
	quietBeforeClose = 300 * time.Millisecond
	// maxQuietWait bounds the wait for such a pause.
	maxQuietWait = 5 * time.Second
)

// drainingListener is a TCP listener that can be closed without resetting
// connections that wait to be accepted.
type drainingListener struct {
	*net.TCPListener
	// closeBy is the latest time to close the listener, in Unix nanoseconds; zero
	// until closeWhenQuiet is called.
	closeBy atomic.Int64
	// pending holds connections accepted while closing.
	pending []net.Conn
	closed  bool
}

// Accept implements net.Listener. After closeWhenQuiet it returns net.ErrClosed
// at the next pause between arrivals. Only one goroutine may call it.
func (l *drainingListener) Accept() (net.Conn, error) {
	if !l.closed {
		conn, err := l.TCPListener.Accept()
		if err == nil {
			l.extendDeadline()
			return conn, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		l.closeWithoutLoss()
	}
	if len(l.pending) == 0 {
		return nil, net.ErrClosed
	}
	conn := l.pending[0]
	l.pending = l.pending[1:]
	return conn, nil
}

// closeWhenQuiet makes Accept close the listener at the next pause between arrivals.
func (l *drainingListener) closeWhenQuiet() error {
	l.closeBy.Store(time.Now().Add(maxQuietWait).UnixNano())
	return l.SetDeadline(time.Now().Add(quietBeforeClose))
}

// extendDeadline restarts the wait for a pause after an arrival.
func (l *drainingListener) extendDeadline() {
	closeBy := l.closeBy.Load()
	if closeBy == 0 {
		return
	}
	pause := time.Now().Add(quietBeforeClose)
	if latest := time.Unix(0, closeBy); latest.Before(pause) {
		pause = latest
	}
	// If the listener is closed, Accept returns the error.
	_ = l.SetDeadline(pause)
}

// closeWithoutLoss accepts every connection that waits in the kernel, then closes
// the listener.
func (l *drainingListener) closeWithoutLoss() {
	l.closed = true
	raw, err := l.SyscallConn()
	if err == nil {
		// An error means that the listener is closed already.
		_ = raw.Control(func(descriptor uintptr) {
			l.acceptPending(int(descriptor))
			_ = syscall.Shutdown(int(descriptor), syscall.SHUT_RD)
		})
	}
	_ = l.Close()
}

// acceptPending accepts without blocking until no connection waits in the kernel.
func (l *drainingListener) acceptPending(descriptor int) {
	for {
		accepted, _, err := syscall.Accept4(descriptor, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if err != nil {
			return
		}
		file := os.NewFile(uintptr(accepted), "caller connection")
		conn, err := net.FileConn(file)
		_ = file.Close()
		if err == nil {
			l.pending = append(l.pending, conn)
		}
	}
}
