package node

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/store"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
	"github.com/fieldpond/fieldpond/internal/upstream"
)

// slowCall is how long a call to a slowTable takes.
const slowCall = 4 * time.Millisecond

// slowTable is a table whose calls take time: half of it before they are executed, and commits
// beforeCommit more.
type slowTable struct {
	store.Table
	beforeCommit time.Duration
}

func (s *slowTable) List(ctx context.Context, prefix string, limit int) (protocol.RowList, error) {
	time.Sleep(slowCall / 2)
	defer time.Sleep(slowCall / 2)
	return s.Table.List(ctx, prefix, limit)
}

func (s *slowTable) Commit(ctx context.Context, transaction protocol.Transaction) (protocol.TransactionResult, error) {
	time.Sleep(s.beforeCommit + slowCall/2)
	defer time.Sleep(slowCall / 2)
	return s.Table.Commit(ctx, transaction)
}

// joiningFleet starts routers that report to each other that they have joined, unless lost.
type joiningFleet struct {
	*slackFleet
	lost bool
	// beforeCommit is that of the routers that start from now on.
	beforeCommit time.Duration
	// members are the routers by address, guarded by the zone's mutex.
	members map[netip.AddrPort]*zoneRouter
}

func newJoiningFleet() *joiningFleet {
	f := &joiningFleet{slackFleet: &slackFleet{zone: newZone()}, members: map[netip.AddrPort]*zoneRouter{}}
	f.beforeStart = func(_ context.Context, running *zoneRouter) {
		follower := running.follower
		follower.routerList.table = &slowTable{Table: f.store, beforeCommit: f.beforeCommit}
		f.mu.Lock()
		defer f.mu.Unlock()
		addr := joiningAddr(len(f.members))
		follower.routerList.addr, f.members[addr] = addr, running
		follower.announce = func(others []netip.AddrPort) { f.announce(addr, others) }
	}
	return f
}

func joiningAddr(index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(index >> 8), byte(index)}), 1)
}

func (f *joiningFleet) announce(from netip.AddrPort, others []netip.AddrPort) {
	if f.lost {
		return
	}
	f.mu.Lock()
	var receivers []*follower
	for _, other := range others {
		if running := f.members[other]; running != nil && !running.dead {
			receivers = append(receivers, running.follower)
		}
	}
	f.mu.Unlock()
	for _, receiver := range receivers {
		receiver.observeJoined(from)
	}
}

// shares returns the sum of the parts of a bound that the routers take.
func (f *joiningFleet) shares() (sum float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, running := range f.members {
		if routers := running.follower.sharingRouters(); !running.dead && routers > 0 {
			sum += 1 / float64(routers)
		}
	}
	return sum
}

// requireShares fails if the parts add up to more than the whole in a time, or to less than least of
// it at the end.
func (f *joiningFleet) requireShares(t *testing.T, length time.Duration, least float64) {
	t.Helper()
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(time.Millisecond) {
		synctest.Wait()
		if sum := f.shares(); sum > 1.001 {
			t.Fatalf("the routers take %.4f of the bound", sum)
		}
	}
	if sum := f.shares(); sum < least {
		t.Errorf("the routers take only %.4f of the bound", sum)
	}
}

// Guards against bounds that are divided by the routers which each one counted before itself, while
// all of them start.
func TestSharesOfStartingRoutersAreNoMoreThanTheWhole(t *testing.T) {
	for _, tt := range []struct {
		routers int
		pause   time.Duration
	}{{1, 0}, {2, 0}, {6, 0}, {6, 30 * time.Millisecond}, {20, 7 * time.Millisecond}, {66, time.Millisecond}, {9, 700 * time.Millisecond}} {
		t.Run(fmt.Sprintf("%d routers each %v", tt.routers, tt.pause), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newJoiningFleet()
				for index := range tt.routers {
					f.startRouter(t, ident.Node(fmt.Sprintf("r%02d", index)))
					if tt.pause > 0 {
						f.requireShares(t, tt.pause, 0)
					}
				}
				f.requireShares(t, startSettleTime+50*time.Millisecond, 0.999)
				f.requireShares(t, 10*time.Second, 0.999)
			})
		})
	}
}

// Guards against a count that stays too low when the reader of the store ends before it counts again.
func TestSharesStayTheWholeWhenTheReaderEndsBeforeItsCount(t *testing.T) {
	for _, lived := range []time.Duration{100 * time.Millisecond, 900 * time.Millisecond, 1100 * time.Millisecond} {
		t.Run(lived.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newJoiningFleet()
				for index := range 6 {
					f.startRouter(t, ident.Node(fmt.Sprint("r", index)))
					f.requireShares(t, 30*time.Millisecond, 0)
				}
				f.requireShares(t, lived, 0)
				f.kill("r0")
				f.requireShares(t, 10*time.Second, 0)
			})
		})
	}
}

// Guards against a fleet that depends on datagrams, which may be lost.
func TestLostReportsOfJoiningAreMadeUpByTheCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newJoiningFleet()
		f.lost = true
		for index := range 6 {
			f.startRouter(t, ident.Node(fmt.Sprint("r", index)))
		}
		time.Sleep(3 * time.Second)
		f.requireShares(t, 10*time.Second, 0.999)
	})
}

// Guards against a count that an older one of a peer replaces: a row is read after it was written.
func TestOwnCountIsDatedByItsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newJoiningFleet()
		f.lost = true
		f.beforeCommit = 2 * slowCall
		last, _ := f.startRouter(t, "r1")
		time.Sleep(slowCall / 4)
		f.beforeCommit = 0
		f.startRouter(t, "r0")
		time.Sleep(6 * slowCall)
		for range 100 {
			if count := last.follower.replica.Routers(); count != 2 {
				t.Fatalf("counts %d routers, not 2", count)
			}
			time.Sleep(time.Millisecond)
		}
	})
}

// Guards against reports of many routers that are none: they are not authenticated.
func TestReportsOfJoiningAreBounded(t *testing.T) {
	is := is.New(t)
	var joined joinedRouters
	now := time.Now()
	is.True(joined.add(now, joiningAddr(0)))
	is.True(!joined.add(now, joiningAddr(0))) // it is known already
	for index := range 2 * maxJoinedRouters {
		joined.add(now, joiningAddr(index))
	}
	joined.removeCounted(now)
	is.Equal(joined.count(), maxJoinedRouters) // counted before they reported
	joined.removeCounted(now.Add(time.Millisecond))
	is.Equal(joined.count(), 0)
}

func TestLargeFleetDividesByAZoneAtLeast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newJoiningFleet()
		running, _ := f.startRouter(t, "r0")
		time.Sleep(100 * time.Millisecond)
		running.follower.chain.use(func(chain *upstream.Chain) {
			chain.JoinBackbone(upstream.Leaf(upstream.Peer{Node: "r0", Addr: joiningAddr(0)}, "i"), nil)
		})
		is.True(running.follower.sharingRouters() >= upstream.LargeZone)
	})
}
