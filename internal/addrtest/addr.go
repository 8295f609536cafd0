// Package addrtest allocates loopback addresses for tests that start servers as processes, or
// repeatedly at the same address.
package addrtest

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"testing"
)

// Ports are below the ephemeral range of Linux (32768 and above): otherwise another connection
// or listener could get a port between its allocation and its use.
const (
	firstPort = 20000
	portCount = 12000
	// firstOctet keeps the addresses apart from 127.0.0.1, where other tests listen.
	firstOctet = 64
)

// allocated counts the addresses allocated by this process.
var allocated atomic.Uint32

// Free returns an unused address that no other call returns: each process has its own IP in
// 127.64.0.0/10, so that tests of several packages can run in parallel, and each call its own
// port.
func Free(t testing.TB) netip.AddrPort {
	t.Helper()
	for range portCount {
		addr := netip.AddrPortFrom(ownIP(os.Getpid()), firstPort+uint16(allocated.Add(1)%portCount))
		listener, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(addr))
		if err != nil {
			continue
		}
		_ = listener.Close()
		return addr
	}
	t.Fatal("no address is free")
	return netip.AddrPort{}
}

// ownIP returns the IP of a process; Linux process ids have at most 22 bits.
func ownIP(pid int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, firstOctet + byte(pid>>16)&0x3f, byte(pid >> 8), byte(pid)})
}
