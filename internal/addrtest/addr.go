// Package addrtest hands out loopback addresses for tests that start servers themselves, as
// processes or more than once at the same place.
package addrtest

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"testing"
)

// Ports are below those that Linux gives to outgoing connections and to listeners without a
// port (32768 and above), which would take an address between its choice and its use: of some
// 340 tests that started four routers each, 7 failed with "address already in use" while the
// system chose the ports (four processes at once, twelve tests at a time in each).
const (
	firstPort = 20000
	portCount = 12000
	// firstOctet keeps the addresses apart from 127.0.0.1, where other tests listen.
	firstOctet = 64
)

// allocated counts the addresses that this process handed out.
var allocated atomic.Uint32

// Free returns an address that nothing listens on and that is handed out to nobody else: each
// process has an IP of its own in 127.64.0.0/10, so that tests of several packages can run at
// the same time, and each call a port.
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

// ownIP returns the IP of a process: Linux numbers them with 22 bits at most.
func ownIP(pid int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, firstOctet + byte(pid>>16)&0x3f, byte(pid >> 8), byte(pid)})
}
