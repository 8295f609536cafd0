package inbound

import (
	"net"
	"syscall"
	"time"
)

const (
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux.
	tcpUserTimeout = 0x12
	// silentAfter is how long a client's machine may acknowledge nothing: clients on
	// radio links are away for some seconds.
	silentAfter = 5 * time.Second
	// probeInterval is the time between two keep-alive probes; a client that fell
	// silent is found by the third one.
	probeInterval = 2 * time.Second
	probeCount    = 3
)

// proveLife lets the kernel find out that a client fell silent.
func proveLife(conn *net.TCPConn, raw syscall.RawConn) error {
	err := conn.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount,
	})
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(descriptor uintptr) {
		failed = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(silentAfter.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
