package detour

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

func addrOf(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)}), 7000)
}

// Routers that cannot help must not be asked again at once, nor those of other regions first.
func TestOrderPrefersNearRoutersThatHelp(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 2))
	peers := []Peer{{Addr: addrOf(1)}, {Addr: addrOf(2), Near: true}, {Addr: addrOf(3), Near: true}, {Addr: addrOf(4)}}
	helpers := NewHelpers()
	helpers.Avoid(now, addrOf(2))
	helpers.Avoid(now, addrOf(1))
	is.Equal(helpers.Order(now, random, peers), []netip.AddrPort{addrOf(3), addrOf(4), addrOf(2), addrOf(1)})
	is.Equal(len(helpers.Order(now.Add(avoidTime), random, peers)), 4)
	first := helpers.Order(now.Add(avoidTime), random, peers)[0]
	is.True(first == addrOf(2) || first == addrOf(3))
}

// A cut zone must not overload a few of the routers that help, and must find one that does.
func TestHelpIsSpreadOverAFleet(t *testing.T) {
	const (
		routers     = 300
		cut         = 60
		connections = 100
		// maxLoadFactor is the most that a helper may carry, as a multiple of the mean.
		maxLoadFactor = 1.5
	)
	is := is.New(t)
	random := rand.New(rand.NewPCG(3, 4))
	var peers []Peer
	for number := range routers {
		peers = append(peers, Peer{Addr: addrOf(number), Near: true})
	}
	loads := make(map[netip.AddrPort]int)
	unhelped := 0
	for range cut {
		helpers, now := NewHelpers(), time.Unix(1000, 0)
		for range connections {
			now = now.Add(100 * time.Millisecond)
			helped := false
			for _, helper := range helpers.Order(now, random, peers)[:maxHelpers] {
				if number := int(helper.Addr().As4()[2])<<8 + int(helper.Addr().As4()[3]); number < cut {
					helpers.Avoid(now, helper)
					continue
				}
				loads[helper]++
				helped = true
				break
			}
			if !helped {
				unhelped++
			}
		}
	}
	most := 0
	for _, load := range loads {
		most = max(most, load)
	}
	mean := float64(cut*connections) / (routers - cut)
	t.Logf("the busiest helper carries %d connections, the mean is %.1f; %d of %d found no helper", most, mean, unhelped, cut*connections)
	is.True(len(loads) == routers-cut)
	is.True(float64(most) <= maxLoadFactor*mean+maxHelpers)
	is.True(unhelped <= cut*connections/50)
}
