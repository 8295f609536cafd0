package node

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/affinity"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/store"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
)

// withRows gives a router rows in a table, and runs it until ctx ends.
func (n *streamNetwork) withRows(ctx context.Context, addr netip.AddrPort, table store.Table) *streams {
	router := n.at(addr)
	router.rows = &streamRows{table: table, timeout: 200 * time.Millisecond, node: ident.Node(addr.String())}
	router.large, router.count = func() bool { return false }, func() int { return len(n.addrs) }
	go router.keepRows(ctx)
	return router
}

// endAll ends all routers at once and starts them again with engines of some releases.
func (n *streamNetwork) endAll(ctx context.Context, end func(), table store.Table, releases ...ident.Release) {
	end()
	for _, addr := range n.addrs {
		n.start(addr, releases...)
		n.withRows(ctx, addr, table)
	}
}

// Guards against the loss of all records when all routers end at once.
func TestStreamsAreKnownAfterAllRoutersEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newFakeStore()
		n := newStreamNetwork(7, false, "v1", "v2")
		ctx, end := context.WithCancel(t.Context())
		for _, addr := range n.addrs {
			n.withRows(ctx, addr, table)
		}
		time.Sleep(time.Second)
		for number := range 70 {
			n.at(n.addrs[number%7]).Began(streamKeyOf(number), originOf([]ident.Release{"v1", "v2"}[number%2]), time.Minute)
		}
		// The next row is written 150 ms later.
		time.Sleep(time.Second + 50*time.Millisecond)
		n.at(n.addrs[0]).Began(streamKeyOf(1000), originOf("v1"), time.Minute)
		time.Sleep(10 * time.Millisecond)
		again, endAgain := context.WithCancel(t.Context())
		n.endAll(again, end, table, "v1", "v2")
		for number := range 70 {
			result, found := n.at(n.addrs[(number+1)%7]).Find(t.Context(), streamKeyOf(number), "s").(affinity.Found)
			is.True(found)
			is.Equal(result.Origin, originOf([]ident.Release{"v1", "v2"}[number%2]))
		}
		// That of the last moment is lost, and not guessed.
		is.Equal(n.at(n.addrs[0]).Find(t.Context(), streamKeyOf(1000), "s"), affinity.Unknown{Complete: true})
		endAgain()
		synctest.Wait()
	})
}

// Guards against streams that go on at the only release left after all routers ended.
func TestReleaseThatEndedWithAllRoutersIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newFakeStore()
		n := newStreamNetwork(3, false, "v1", "v2")
		ctx, end := context.WithCancel(t.Context())
		n.withRows(ctx, n.addrs[0], table)
		n.at(n.addrs[0]).Began(streamKeyOf(1), originOf("v1"), time.Minute)
		time.Sleep(time.Second)
		again, endAgain := context.WithCancel(t.Context())
		n.endAll(again, end, table, "v2")
		time.Sleep(time.Second)
		for _, addr := range n.addrs {
			is.True(n.at(addr).backends.HasSeveralReleases(time.Now(), "s"))
		}
		endAgain()
		synctest.Wait()
	})
}

// Guards against calls of the store that grow with the streams, and against rows that stay.
func TestStreamRowsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var commits atomic.Int32
		table := &countingTable{refusingTable{fakeStore: newFakeStore()}, &commits}
		n := newStreamNetwork(3, false, "v1", "v2")
		ctx, end := context.WithCancel(t.Context())
		router := n.withRows(ctx, n.addrs[0], table)
		for number := range 2000 {
			router.Began(streamKeyOf(number), originOf("v1"), 2*time.Second)
			time.Sleep(5 * time.Millisecond)
		}
		writes := int(commits.Load())
		t.Logf("%d writes of 2000 streams in 10 s", writes)
		is.True(writes <= 20)
		router.rows.mu.Lock()
		is.True(len(router.rows.own) <= maxStreamRowRecords)
		router.rows.mu.Unlock()
		time.Sleep(4 * time.Second)
		list, err := table.List(ctx, streamRowPrefix, 10)
		is.NoErr(err)
		is.Equal(len(list.Rows), 0)
		ended := int(commits.Load())
		time.Sleep(time.Minute)
		is.Equal(int(commits.Load()), ended)
		end()
		synctest.Wait()
	})
}

// Guards against streams that wait for the store.
func TestStreamsDoNotDependOnTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newFakeStore()
		table.change(func() { table.down = true })
		n := newStreamNetwork(7, false, "v1", "v2")
		ctx, end := context.WithCancel(t.Context())
		for _, addr := range n.addrs {
			n.withRows(ctx, addr, table)
		}
		begun := time.Now()
		n.at(n.addrs[0]).Began(streamKeyOf(1), originOf("v2"), time.Minute)
		is.Equal(time.Since(begun), time.Duration(0))
		time.Sleep(10 * time.Millisecond)
		result := n.at(n.addrs[1]).Find(t.Context(), streamKeyOf(1), "s").(affinity.Found)
		is.Equal(result.Origin, originOf("v2"))
		is.True(time.Since(begun) <= rowsWait+50*time.Millisecond)
		// Once the reads were given up, nothing waits.
		time.Sleep(5 * time.Second)
		begun = time.Now()
		n.at(n.addrs[2]).Find(t.Context(), streamKeyOf(1), "s")
		is.True(time.Since(begun) < 50*time.Millisecond)
		end()
		synctest.Wait()
	})
}

// Guards against calls of a store that is away, and against records that are never written after.
func TestStreamRowsAreWrittenAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var commits atomic.Int32
		table := &countingTable{refusingTable{fakeStore: newFakeStore()}, &commits}
		n := newStreamNetwork(3, false, "v1", "v2")
		ctx, end := context.WithCancel(t.Context())
		router := n.withRows(ctx, n.addrs[0], table)
		time.Sleep(time.Second)
		table.change(func() { table.down = true })
		router.Began(streamKeyOf(1), originOf("v1"), time.Minute)
		time.Sleep(20 * time.Second)
		is.True(commits.Load() <= 9)
		table.change(func() { table.down = false })
		time.Sleep(3 * time.Second)
		records, err := router.rows.read(ctx)
		is.NoErr(err)
		is.Equal(len(records), 1)
		end()
		synctest.Wait()
	})
}

// Guards against writes while one release serves and the list is old.
func TestOneReleaseNeedsNoRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var commits atomic.Int32
		table := &countingTable{refusingTable{fakeStore: newFakeStore()}, &commits}
		n := newStreamNetwork(3, false, "v1")
		ctx, end := context.WithCancel(t.Context())
		router := n.withRows(ctx, n.addrs[0], table)
		time.Sleep(10 * time.Second)
		router.Began(streamKeyOf(1), originOf("v1"), time.Minute)
		time.Sleep(5 * time.Second)
		is.Equal(int(commits.Load()), 0)
		end()
		synctest.Wait()
	})
}

func TestUnreadableStreamRowsAreSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newFakeStore()
		n := newStreamNetwork(3, false, "v1", "v2")
		ctx, end := context.WithCancel(t.Context())
		n.withRows(ctx, n.addrs[0], table).Began(streamKeyOf(1), originOf("v1"), time.Minute)
		time.Sleep(time.Second)
		for index, value := range []string{"", "no row", "\xa1\x02\x9b\xff\xff\xff\xff\xff\xff\xff\xff"} {
			key := fmt.Sprint(streamRowPrefix, "a-", index)
			table.change(func() { table.rows[key] = protocol.Row{Key: key, Value: []byte(value), Version: 1} })
		}
		rows := &streamRows{table: table, timeout: time.Second}
		records, err := rows.read(ctx)
		is.NoErr(err)
		is.Equal(len(records), 1)
		end()
		synctest.Wait()
	})
}
