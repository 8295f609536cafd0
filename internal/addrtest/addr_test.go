package addrtest

import (
	"net/netip"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// Guards against duplicates when tests of one process call Free concurrently.
func TestFreeNeverReturnsAnAddressTwice(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	seen := make(map[netip.AddrPort]bool)
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			for range 100 {
				addr := Free(t)
				mu.Lock()
				seen[addr] = true
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	is.Equal(len(seen), 800)
}

func TestEachProcessHasItsOwnIP(t *testing.T) {
	is := is.New(t)
	loopback := netip.MustParsePrefix("127.64.0.0/10")
	seen := make(map[netip.Addr]bool)
	pids := []int{1, 255, 256, 32767, 65535, 65536, 1<<22 - 1}
	for _, pid := range pids {
		ip := ownIP(pid)
		is.True(loopback.Contains(ip))
		seen[ip] = true
	}
	is.Equal(len(seen), len(pids))
}
