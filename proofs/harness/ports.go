package harness

import (
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
)

// Blocks of ports are below the ephemeral range of Linux: an outgoing connection
// could otherwise get the port of a process that is being restarted.
const (
	firstBlockPort = 12000
	endOfPorts     = 32000
	portsPerBlock  = 50
	blockTries     = 200
)

const host = "127.0.0.1"

// portBlock allocates the ports of one block.
type portBlock struct{ next int }

// allocate returns the next port of the block.
func (p *portBlock) allocate() int {
	p.next++
	return p.next - 1
}

// reservePorts finds a block of free ports and reserves it until the test ends
// by listening on its first port.
func reservePorts(tb testing.TB) *portBlock {
	tb.Helper()
	blocks := (endOfPorts - firstBlockPort) / portsPerBlock
	for range blockTries {
		first := firstBlockPort + rand.IntN(blocks)*portsPerBlock
		guard, err := net.Listen("tcp", addressOf(first))
		if err != nil {
			continue
		}
		if blockFree(first) {
			tb.Cleanup(func() { _ = guard.Close() })
			return &portBlock{next: first + 1}
		}
		_ = guard.Close()
	}
	tb.Fatalf("no block of %d free ports was found", portsPerBlock)
	return nil
}

// blockFree reports whether all ports of a block but the first are free.
func blockFree(first int) bool {
	for port := first + 1; port < first+portsPerBlock; port++ {
		stream, err := net.Listen("tcp", addressOf(port))
		if err != nil {
			return false
		}
		_ = stream.Close()
		datagram, err := net.ListenPacket("udp", addressOf(port))
		if err != nil {
			return false
		}
		_ = datagram.Close()
	}
	return true
}

func addressOf(port int) string { return fmt.Sprintf("%s:%d", host, port) }
