package directory_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/membership"
	"github.com/fieldpond/fieldpond/internal/prefix"
	"github.com/fieldpond/fieldpond/internal/prefix/directory"
)

const engine, first, second = ident.Engine("engine-001"), ident.Incarnation("01JABCDEFGHJKMNPQRSTVWXYZ0"), ident.Incarnation("01JABCDEFGHJKMNPQRSTVWXYZ1")

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// engineBlocks holds the blocks that the engine's owner has from events.
type engineBlocks struct {
	known bool
	held  map[prefix.Hash]bool
}

func (e *engineBlocks) Holds(_ ident.Engine, _ ident.Incarnation, hash prefix.Hash) (held, known bool) {
	return e.held[hash], e.known
}

// cluster connects nodes by a lossless network that counts bytes.
type cluster struct {
	t           testing.TB
	now         time.Time
	view        membership.View
	nodes       map[ident.Node]*directory.Node
	blockHolder *engineBlocks
	sent        map[ident.Node]int
	received    map[ident.Node]int
	count       int
}

func newCluster(t testing.TB, size int) *cluster {
	c := &cluster{t: t, now: start, nodes: map[ident.Node]*directory.Node{}, blockHolder: &engineBlocks{held: map[prefix.Hash]bool{}}}
	c.sent, c.received = map[ident.Node]int{}, map[ident.Node]int{}
	for index := range size {
		name := ident.Node(fmt.Sprintf("node-%03d", index))
		c.view.Members = append(c.view.Members, membership.Member{Node: name})
		node, err := directory.New(directory.Config{}, c.blockHolder)
		is.New(t).NoErr(err)
		c.nodes[name] = node
	}
	c.setView()
	return c
}

func (c *cluster) setView() {
	for name, node := range c.nodes {
		node.SetView(membership.View{Self: name, Members: c.view.Members})
		node.SetIncarnation(engine, first)
	}
}

// deliver encodes and delivers envelopes and all messages that they cause.
func (c *cluster) deliver(from ident.Node, envelopes []directory.Envelope) {
	for _, envelope := range envelopes {
		encoded, err := directory.Encode(envelope.Message)
		is.New(c.t).NoErr(err)
		message, err := directory.Decode(encoded)
		is.New(c.t).NoErr(err)
		c.sent[from] += len(encoded)
		c.received[envelope.To] += len(encoded)
		c.count++
		c.deliver(envelope.To, c.nodes[envelope.To].Handle(c.now, from, message))
	}
}

func (c *cluster) tick() {
	for _, member := range c.view.Members {
		c.deliver(member.Node, c.nodes[member.Node].Tick(c.now))
	}
}

// lookUpBlocks looks a chain up at a node and returns the number of blocks that
// the incarnation holds, after the answer has arrived.
func (c *cluster) lookUpBlocks(at ident.Node, incarnation ident.Incarnation, chain prefix.Chain) int {
	result := c.nodes[at].Lookup(c.now, chain)
	if result.Request != nil {
		c.deliver(at, []directory.Envelope{*result.Request})
		result = c.nodes[at].Lookup(c.now, chain)
	}
	is.New(c.t).True(result.Known)
	for _, held := range result.Holders {
		if held.Engine == engine && held.IncarnationDigest == directory.IncarnationDigest(incarnation) {
			return held.Blocks
		}
	}
	return 0
}

// owner returns the shard of a chain and two nodes that are not.
func (c *cluster) owner(chain prefix.Chain) (owner, other, another ident.Node) {
	root, _ := chain.Root()
	ranked := c.view.Owners(fmt.Sprintf("prefix/%x", uint64(root)), 3)
	return ranked[0].Node, ranked[1].Node, ranked[2].Node
}

func chainOf(shared, tail string) prefix.Chain {
	return prefix.ChainOf(7, strings.Repeat(shared, 800)+strings.Repeat(tail, 500), prefix.DefaultBlockTokens)
}

// Each case starts from a report by one node of a chain of 81 blocks whose first
// 50 are shared, and checks what a third node finds.
func TestLookupAfterReport(t *testing.T) {
	chain, sibling := chainOf("open order book ", "a")[:81], chainOf("open order book ", "b")
	cases := []struct {
		name        string
		happens     func(c *cluster, owner ident.Node)
		chain       prefix.Chain
		incarnation ident.Incarnation
		want        int
	}{
		{"same chain", nil, chain, first, 64},
		{"shares a prefix", nil, append(chain[:50:50], 1, 2, 3), first, 48},
		{"diverges after 20 blocks", nil, append(chain[:20:20], make(prefix.Chain, 61)...), first, 16},
		{"another prompt", nil, chainOf("tariff", ""), first, 0},
		{"another incarnation", nil, chain, second, 0},
		{"engine crashed", func(c *cluster, owner ident.Node) { c.nodes[owner].SetIncarnation(engine, second) }, chain, first, 0},
		{"engine believed dead", func(c *cluster, owner ident.Node) { c.nodes[owner].SetIncarnation(engine, "") }, chain, first, 0},
		{"block evicted", func(c *cluster, _ ident.Node) {
			c.applyEvents(protocol.CacheEvent{Sequence: 1, Kind: protocol.CacheRemoved, Hashes: chain[15:16]})
		}, chain, first, 8},
		{"cache cleared", func(c *cluster, _ ident.Node) {
			c.applyEvents(protocol.CacheEvent{Sequence: 1, Kind: protocol.CacheCleared})
		}, chain, first, 0},
		{"shard shuts down", func(c *cluster, owner ident.Node) {
			for index := range c.view.Members {
				if c.view.Members[index].Node == owner {
					c.view.Members[index].State = membership.Leaving
				}
			}
			c.setView()
			c.tick()
		}, chain, first, 64},
		{"not confirmed for a minute", func(c *cluster, _ ident.Node) { c.advance(time.Minute) }, chain, first, 0},
		{"confirmed by the engine's owner", func(c *cluster, _ ident.Node) {
			c.blockHolder.known = true
			c.advance(5 * time.Minute)
		}, chain, first, 64},
		{"denied by the engine's owner", func(c *cluster, _ ident.Node) {
			c.blockHolder.known = true
			delete(c.blockHolder.held, chain[31])
			c.advance(31 * time.Second)
		}, chain, first, 24},
	}
	is.New(t).True(sibling[0] == chain[0])
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t, 9)
			for _, hash := range chain {
				c.blockHolder.held[hash] = true
			}
			owner, other, another := c.owner(chain)
			c.nodes[other].RecordAnswer(c.now, engine, first, chain, 0)
			c.tick()
			if test.happens != nil {
				test.happens(c, owner)
			}
			is.New(t).Equal(c.lookUpBlocks(another, test.incarnation, test.chain), test.want)
		})
	}
}

// applyEvents applies a batch of events at the engine's owner.
func (c *cluster) applyEvents(events ...protocol.CacheEvent) {
	owner := directory.EngineOwners(c.view, engine)[0].Node
	batch := protocol.CacheEventBatch{Incarnation: first, Events: events}
	c.deliver(owner, c.nodes[owner].ApplyEvents(c.now, engine, batch))
}

// advance lets time pass with ticks and regular lookups of the chain.
func (c *cluster) advance(duration time.Duration) {
	chain := chainOf("open order book ", "a")[:81]
	_, _, another := c.owner(chain)
	for end := c.now.Add(duration); c.now.Before(end); c.now = c.now.Add(500 * time.Millisecond) {
		c.tick()
		if result := c.nodes[another].Lookup(c.now, chain); result.Request != nil {
			c.deliver(another, []directory.Envelope{*result.Request})
		}
	}
}

// Unique tails of requests to a busy engine must not evict other engines from a
// shard, and holdings that a shard has must not be reported to it again.
func TestUniqueTailsDoNotEvictSharedPrefix(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 5)
	prompt := chainOf("open order book ", "a")[:50]
	_, other, another := c.owner(prompt)
	c.nodes[another].RecordAnswer(c.now, engine, first, prompt, 0)
	c.tick()
	for request := range 200 {
		chain := prompt[:50:50]
		for tail := range 20 {
			chain = append(chain, prefix.Hash(request*1000+tail))
		}
		is.Equal(c.lookUpBlocks(other, first, chain), 48)
		c.nodes[other].RecordAnswer(c.now, "busy", first, chain, min(request, 1)*50)
		c.tick()
		c.now = c.now.Add(250 * time.Millisecond)
	}
	is.True(c.nodes[other].Counters().Reports <= 2) // the first chain and the prefix

	c.now = c.now.Add(time.Minute)
	c.tick()
	for _, node := range c.nodes {
		is.Equal(node.Counters().Roots, 0) // unconfirmed holdings expire
	}
}

func TestMalformedMessagesAreIgnored(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	chain := chainOf("open order book ", "a")
	root, _ := chain.Root()
	_, other, _ := c.owner(chain)
	node := c.nodes[other]
	node.Lookup(start, chain)
	long := make([]byte, 17*8)
	messages := []directory.Message{
		{},
		{Answer: &directory.Answer{Root: root, Tag: 1, Holders: []directory.Holder{{Path: 3, Landmarks: 1}}}},
		{Answer: &directory.Answer{Root: root + 1, Tag: 1}}, // not requested
		{Report: &directory.Report{Holdings: []directory.Holding{{Engine: engine, Hashes: []byte{1, 2}}}}},
		{Report: &directory.Report{Holdings: []directory.Holding{{Engine: engine, Hashes: long}}}},
		{Report: &directory.Report{Holdings: make([]directory.Holding, 99)}},
		{Watch: &directory.Watch{Hashes: []byte{1}}},
		{Notification: &directory.Notification{Lost: []byte{1}}},
	}
	for _, message := range messages {
		is.Equal(len(node.Handle(start, "x", message)), 0)
	}
	is.Equal(node.Counters().Malformed, uint64(len(messages)))
	is.Equal(len(node.Lookup(start, chain).Holders), 0)
	_, err := directory.Decode([]byte{0xff})
	is.True(fault.Is(err, fault.BadRequest))
	_, err = directory.New(directory.Config{MaxRoots: -1}, c.blockHolder)
	is.True(fault.Is(err, fault.InvalidSettings))
}

func TestEntriesAreBounded(t *testing.T) {
	is := is.New(t)
	node, err := directory.New(directory.Config{MaxRoots: 10, MaxWatches: 20}, &engineBlocks{})
	is.NoErr(err)
	view := membership.View{Self: "a", Members: []membership.Member{{Node: "a"}, {Node: "b"}}}
	node.SetView(view)
	for index := range 500 {
		chain := prefix.Chain{prefix.Hash(index), 0, 0, prefix.Hash(index), 5, 6, 7, prefix.Hash(index * 3)}
		node.RecordAnswer(start, engine, first, chain, 8)
		node.Tick(start)
		node.Lookup(start, chain)
	}
	counters := node.Counters()
	is.True(counters.Roots <= 10 && counters.CachedRoots <= 10 && counters.WatchedBlocks <= 20)
	is.True(counters.Overflow > 0)
}

// BenchmarkMessages reports the size of the messages for a prefix of 512 blocks
// with eight holders, and the traffic of the full-size fleet's routers when each
// looks up the same prefix once a second of virtual time.
func BenchmarkMessages(b *testing.B) {
	for b.Loop() {
		c := newCluster(b, 390)
		chain := prefix.ChainOf(7, strings.Repeat("open order book ", 4*512), prefix.DefaultBlockTokens)
		owner, other, _ := c.owner(chain)
		for index := range 8 {
			c.nodes[other].RecordAnswer(c.now, ident.Engine(fmt.Sprintf("engine-%03d", index)), first, chain, 512)
		}
		c.tick()
		b.ReportMetric(float64(c.sent[other])/8, "B/report")
		b.ReportMetric(float64(c.sent[owner])/8, "B/watch")
		c.sent, c.received, c.count = map[ident.Node]int{}, map[ident.Node]int{}, 0
		c.lookUpBlocks(other, first, chain)
		b.ReportMetric(float64(c.sent[other]), "B/lookup")
		b.ReportMetric(float64(c.received[other]), "B/answer")
		const seconds = 60
		c.sent, c.received, c.count = map[ident.Node]int{}, map[ident.Node]int{}, 0
		for step := range seconds * 10 {
			for index, member := range c.view.Members {
				if (index+step)%10 != 0 {
					continue
				}
				if result := c.nodes[member.Node].Lookup(c.now, chain); result.Request != nil {
					c.deliver(member.Node, []directory.Envelope{*result.Request})
				}
			}
			c.now = c.now.Add(100 * time.Millisecond)
		}
		b.ReportMetric(float64(c.sent[owner]+c.received[owner])/seconds, "shard-B/s")
		b.ReportMetric(float64(c.sent[other]+c.received[other])/seconds, "asker-B/s")
		b.ReportMetric(float64(c.count)/seconds, "msgs/s")
	}
}

// BenchmarkMemory fills the shard, the cached answers and the watches of one node
// to their bounds and reports the heap that they use.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		node, err := directory.New(directory.Config{}, &engineBlocks{})
		is.New(b).NoErr(err)
		node.SetView(membership.View{Self: "a", Members: []membership.Member{{Node: "a"}}})
		for root := range 4096 {
			for branch := range 16 {
				chain := make(prefix.Chain, 512)
				for index := range chain {
					chain[index] = prefix.Hash(root<<32 | index<<8)
				}
				holder := ident.Engine(fmt.Sprintf("engine-%03d", branch))
				node.RecordAnswer(start, holder, first, chain, 512)
			}
			if root%32 == 31 {
				node.Tick(start)
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
		runtime.KeepAlive(node)
	}
}
