package membership

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// TestNodesOverLoopback waits for events, never for a fixed time.
func TestNodesOverLoopback(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	is := is.New(t)
	// The limit only ends a failed run; no result depends on it.
	ctx, cancel := context.WithTimeout(context.Background(), hangLimit)
	defer cancel()
	start := func(name ident.Node, seeds ...string) *Node {
		node, err := Start(ctx, Config{
			Self: Member{Node: name, Zone: "zone"}, Listen: "127.0.0.1:0", ClusterKey: testKey, Seeds: seeds,
		})
		is.NoErr(err)
		return node
	}
	first := start("first")
	address := first.View().Members[0].GossipAddress
	second := start("second", address)
	await(ctx, t, first, func(event Event) bool { return event.Member.Node == "second" && event.Member.State == Alive })
	await(ctx, t, second, func(event Event) bool { return event.Member.Node == "first" })
	is.Equal(len(second.View().Members), 2)

	is.NoErr(first.SetFleetVersion(ctx, 4, "digest"))
	is.NoErr(first.Broadcast(ctx, BackendReport{Backend: "engine", Kind: ReportDead}))
	await(ctx, t, second, func(event Event) bool { return event.Kind == ReportReceived && event.Report.Observer == "first" })
	is.True(fault.Is(first.Broadcast(ctx, BackendReport{}), fault.BadRequest))

	outsider, err := net.Dial("udp", address)
	is.NoErr(err)
	_, err = outsider.Write([]byte("not a datagram of this cluster"))
	is.NoErr(err)
	is.NoErr(outsider.Close())
	is.NoErr(second.Leave(ctx))
	await(ctx, t, first, func(event Event) bool { return event.Member.Node == "second" && event.Member.State == Leaving })
	is.Equal(len(first.View().Owners("key", 2)), 1)
	second.Stop()
	await(ctx, t, first, func(event Event) bool { return event.Member.Node == "second" && event.Member.State == Dead })
	is.Equal(first.Counters().Refused, uint64(1))
	is.True(fault.Is(second.Leave(ctx), fault.ShuttingDown))
	cancel() // the context stops a node as well
	first.Stop()
	_, err = Start(context.Background(), Config{Self: Member{Node: "x"}, Listen: "nowhere", ClusterKey: testKey})
	is.True(fault.Is(err, fault.InvalidSettings))
	is.True(first.Counters().BytesSent > 0)
}

// hangLimit ends a run in which an expected event does not occur.
const hangLimit = time.Minute

func await(ctx context.Context, t *testing.T, node *Node, expected func(event Event) bool) {
	for {
		for event, ok := node.Events().Pop(); ok; event, ok = node.Events().Pop() {
			if expected(event) {
				return
			}
		}
		select {
		case <-node.Events().Ready():
		case <-ctx.Done():
			t.Fatal("the expected event did not occur")
		}
	}
}
