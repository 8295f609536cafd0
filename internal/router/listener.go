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
	// quietBeforeClose is how long no new connection may come before a leaving
	// router closes its listener: those that wait in the kernel at that moment
	// would be reset although their callers may have sent a request.
	quietBeforeClose = 300 * time.Millisecond
	// maxQuietWait bounds the wait for such a pause under steady arrivals.
	maxQuietWait = 5 * time.Second
)

// drainingListener is a TCP listener that can be closed at a moment at which
// no connection waits to be accepted.
type drainingListener struct {
	*net.TCPListener
	// closeBy is when the listener closes at the latest, in nanoseconds of the
	// Unix epoch; zero until finish is called.
	closeBy atomic.Int64
	// pending holds connections taken from the kernel in the moment of closing.
	pending []net.Conn
	closed  bool
}

// Accept implements net.Listener. After finish it returns net.ErrClosed once
// no connection has come for a while. It is called by one goroutine.
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

// extendDeadline waits for a pause anew after an arrival.
func (l *drainingListener) extendDeadline() {
	closeBy := l.closeBy.Load()
	if closeBy == 0 {
		return
	}
	pause := time.Now().Add(quietBeforeClose)
	if latest := time.Unix(0, closeBy); latest.Before(pause) {
		pause = latest
	}
	// The listener is open, or Accept returns the reason why it is not.
	_ = l.SetDeadline(pause)
}

// closeWithoutLoss takes every connection that the kernel holds and, in the moment in
// which there is none, makes it take no more.
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

// acceptPending accepts without waiting until the kernel holds no connection.
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
