package inbound

import (
	"net"
	"syscall"
	"time"
)

const (
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux.
	tcpUserTimeout = 0x12
	// ackTimeout is how long a client may acknowledge nothing: clients on radio
	// links are unreachable for some seconds.
	ackTimeout = 5 * time.Second
	// probeInterval is the time between two keep-alive probes; probeCount unanswered
	// ones end the connection.
	probeInterval = 2 * time.Second
	probeCount    = 3
)

// enableKeepAlive makes the kernel end the connection of a silent client.
func enableKeepAlive(conn *net.TCPConn, raw syscall.RawConn) error {
	err := conn.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount,
	})
	if err != nil {
		return err
	}
	return control(raw, func(descriptor int) error {
		return syscall.SetsockoptInt(descriptor, syscall.IPPROTO_TCP, tcpUserTimeout, int(ackTimeout.Milliseconds()))
	})
}
