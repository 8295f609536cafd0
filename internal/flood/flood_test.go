package flood_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/flood"
)

var start = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

func addrOf(index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(index >> 16), byte(index >> 8), byte(index)}), 1)
}

// tree is a fleet in which router i pulls from router (i-1)/fanout.
type tree struct {
	routers []*flood.Router
	byAddr  map[netip.AddrPort]int
	sent    []int
	reached []int
	// lost reports whether the datagram from one router to another is lost.
	lost func(from, to int) bool
}

const fanout = 8

func newTree(count int) *tree {
	t := &tree{byAddr: make(map[netip.AddrPort]int), sent: make([]int, count), reached: make([]int, count), lost: func(int, int) bool { return false }}
	for index := range count {
		router := flood.NewRouter(uint64(index) + 1)
		t.byAddr[addrOf(index)] = index
		t.routers = append(t.routers, router)
		if index > 0 {
			parent := (index - 1) / fanout
			router.SetParent(addrOf(parent))
			t.routers[parent].ObserveChild(start, addrOf(index))
		}
	}
	return t
}

// datagram is one datagram under way.
type datagram struct {
	from, to int
	header   flood.Header
}

func (t *tree) send(origin int) {
	header, to := t.routers[origin].Send(start)
	var queue []datagram
	forward := func(from int, header flood.Header, to []netip.AddrPort) {
		for _, addr := range to {
			t.sent[from]++
			if target := t.byAddr[addr]; !t.lost(from, target) {
				queue = append(queue, datagram{from: from, to: target, header: header})
			}
		}
	}
	forward(origin, header, to)
	for len(queue) > 0 {
		next := queue[0]
		queue = queue[1:]
		header, to, isNew := t.routers[next.to].Receive(start, addrOf(next.from), next.header)
		if !isNew {
			continue
		}
		t.reached[next.to]++
		forward(next.to, header, to)
	}
}

// A notification must reach every router once, whoever sends it, and the cost of no router may
// follow the size of the fleet.
func TestNotificationsReachAllRouters(t *testing.T) {
	for _, count := range []int{1, 2, 500, 1000, 2000} {
		is := is.New(t)
		for _, origin := range []int{0, count / 2, count - 1} {
			fleet := newTree(count)
			fleet.send(origin)
			for index, times := range fleet.reached {
				is.True(times == 1 || index == origin)
				is.True(fleet.sent[index] <= fanout+1)
			}
		}
	}
}

// A router that has a new parent is still a child of the former one for a while.
func TestCopiesAreDropped(t *testing.T) {
	is := is.New(t)
	fleet := newTree(100)
	for index := 20; index < 40; index++ {
		fleet.routers[2].ObserveChild(start, addrOf(index))
	}
	fleet.send(0)
	for index, times := range fleet.reached {
		is.True(times == 1 || index == 0)
	}
}

func TestLostDatagramCutsOffOnlyItsSubtree(t *testing.T) {
	is := is.New(t)
	fleet := newTree(100)
	fleet.lost = func(from, to int) bool { return from == 0 && to == 3 }
	fleet.send(0)
	unreached := 0
	for _, times := range fleet.reached[1:] {
		if times == 0 {
			unreached++
		}
	}
	is.Equal(unreached, 1+fanout) // router 3 and its children
}

func TestChildrenExpire(t *testing.T) {
	is := is.New(t)
	router := flood.NewRouter(1)
	router.ObserveChild(start, addrOf(1))
	router.ObserveChild(start.Add(3*time.Second), addrOf(2))
	_, to := router.Send(start.Add(5 * time.Second))
	is.Equal(to, []netip.AddrPort{addrOf(2)})
}

// Whatever neighbors send, the memory and the datagrams of a router are bounded.
func TestNeighborsAndHeadersAreBounded(t *testing.T) {
	is := is.New(t)
	router := flood.NewRouter(1)
	for index := range 5000 {
		router.ObserveChild(start, addrOf(index))
		router.Receive(start, addrOf(index), flood.Header{Origin: 9, Number: uint64(index)})
	}
	_, to := router.Send(start)
	is.True(len(to) <= 128)
	_, to, isNew := router.Receive(start, addrOf(1), flood.Header{Origin: 8, Number: 1, Hops: 200})
	is.True(isNew)
	is.Equal(len(to), 0)
	_, _, isNew = router.Receive(start, addrOf(1), flood.Header{Origin: 9, Number: 4999})
	is.True(!isNew)
}
