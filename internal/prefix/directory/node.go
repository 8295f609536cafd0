// Package directory shards the index of cached prefixes over the routers, so
// that the memory and the messages of one router do not grow with the fleet.
//
// Each prefix root has a shard: the router that owns the root by rendezvous
// hashing. Routers report to it what engines' answers show, ask it which engines
// hold a chain, and cache the answer for about a second. The shard registers a
// watch on the blocks with the router that owns the engine's event stream, which
// notifies it of evictions.
//
// Node is a state machine without I/O: its inputs are messages and the time, its
// outputs envelopes. One goroutine at a time may use it. Losing a shard, a
// message or the whole directory costs recomputation and never correctness.
package directory

import (
	"cmp"
	"strconv"
	"time"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/membership"
	"github.com/fieldpond/fieldpond/internal/prefix"
)

// Config sets a Node. A zero field takes its default.
type Config struct {
	// CacheLifetime is how long an answer of a shard is used; the shard extends
	// it for a root with many lookups. Default: 1s.
	CacheLifetime time.Duration
	// HoldingLifetime is how long a shard keeps a report that neither a router
	// repeats nor the engine's owner confirms. Default: 60s.
	HoldingLifetime time.Duration
	// ReportInterval is the minimum time between two equal reports. Default: 10s.
	ReportInterval time.Duration
	// HotPrefixes is the number of most used answers that are refreshed before
	// they expire. Default: 16.
	HotPrefixes int
	// MaxRoots bounds the roots of a shard and the cached answers. Default: 4096.
	MaxRoots int
	// MaxWatches bounds the blocks watched for other routers. Default: 65536.
	MaxWatches int
}

const (
	defaultCacheLifetime   = time.Second
	defaultHoldingLifetime = time.Minute
	defaultReportInterval  = 10 * time.Second
	defaultHotPrefixes     = 16
	defaultMaxRoots        = 4096
	defaultMaxWatches      = 65536
	// maxHoldings bounds the holdings of one root.
	maxHoldings = 16
	// maxReportHoldings bounds the holdings of one message.
	maxReportHoldings = 32
	// maxLifetimeFactor bounds the lifetime of an answer, in CacheLifetimes.
	maxLifetimeFactor = 30
	// lookupsPerLifetime is the number of lookups of one root in a
	// CacheLifetime above which a shard extends the lifetime of its answers.
	lookupsPerLifetime = 4
	// maxOutbox bounds the holdings waiting to be reported.
	maxOutbox = 1024
)

// Counters counts a Node's activity. All only grow, except the last three.
type Counters struct {
	Lookups, LocalAnswers, CachedAnswers, RemoteLookups uint64
	Reports, Watches, Evictions                         uint64
	// Malformed counts invalid messages and holdings, Misdirected those for a
	// shard that this node does not own, Overflow entries dropped for lack of
	// room.
	Malformed, Misdirected, Overflow uint64
	// Roots, CachedRoots and WatchedBlocks are the current numbers.
	Roots, CachedRoots, WatchedBlocks int
}

// BlockHolder answers from an engine's own event stream; *beliefs.Store is one.
type BlockHolder interface {
	// Holds reports whether an incarnation holds a block; known is false if
	// this router does not read the engine's events or has lost some.
	Holds(engine ident.Engine, incarnation ident.Incarnation, hash prefix.Hash) (held, known bool)
}

// Node is one router's part of the directory.
type Node struct {
	config       Config
	view         membership.View
	holder       BlockHolder
	owners       map[prefix.Hash]ident.Node
	incarnations map[ident.Engine]ident.Incarnation
	shard        *lru[prefix.Hash, *rootEntry]
	cache        *lru[prefix.Hash, *cachedAnswer]
	reported     *lru[reportKey, time.Time]
	watches      *lru[watchKey, watchTarget]
	outbox       []pendingHolding
	counters     Counters
}

// New returns a Node without members; holder reports the blocks of the engines
// whose events this router reads.
func New(config Config, holder BlockHolder) (*Node, error) {
	if config.CacheLifetime < 0 || config.HoldingLifetime < 0 || config.ReportInterval < 0 ||
		config.HotPrefixes < 0 || config.MaxRoots < 0 || config.MaxWatches < 0 {
		return nil, fault.New(fault.InvalidSettings, "a setting of the prefix directory is negative")
	}
	config = withDefaults(config)
	return &Node{
		config:       config,
		holder:       holder,
		owners:       make(map[prefix.Hash]ident.Node),
		incarnations: make(map[ident.Engine]ident.Incarnation),
		shard:        newLRU[prefix.Hash, *rootEntry](config.MaxRoots),
		cache:        newLRU[prefix.Hash, *cachedAnswer](config.MaxRoots),
		reported:     newLRU[reportKey, time.Time](config.MaxRoots),
		watches:      newLRU[watchKey, watchTarget](config.MaxWatches),
	}, nil
}

func withDefaults(config Config) Config {
	config.CacheLifetime = cmp.Or(config.CacheLifetime, defaultCacheLifetime)
	config.HoldingLifetime = cmp.Or(config.HoldingLifetime, defaultHoldingLifetime)
	config.ReportInterval = cmp.Or(config.ReportInterval, defaultReportInterval)
	config.HotPrefixes = cmp.Or(config.HotPrefixes, defaultHotPrefixes)
	config.MaxRoots = cmp.Or(config.MaxRoots, defaultMaxRoots)
	config.MaxWatches = cmp.Or(config.MaxWatches, defaultMaxWatches)
	return config
}

// EngineOwners returns the routers that read an engine's event stream: the
// owner, which handles watches on it, and a standby.
func EngineOwners(view membership.View, engine ident.Engine) []membership.Member {
	const ownerAndStandby = 2
	return view.Owners("engine/"+string(engine), ownerAndStandby)
}

// SetView applies a membership view. The next Tick reports the roots that moved
// to their new owners; a router that shuts down owns none.
func (n *Node) SetView(view membership.View) {
	n.view = view
	clear(n.owners)
	n.shard.each(func(root prefix.Hash, entry *rootEntry) bool {
		if n.owner(root) != n.view.Self {
			for _, held := range entry.holdings {
				n.enqueue(root, held.Holding)
			}
			n.shard.delete(root)
		}
		return true
	})
}

// SetIncarnation sets the current incarnation of an engine, empty if it is dead.
// Holdings of other incarnations are left out of answers.
func (n *Node) SetIncarnation(engine ident.Engine, incarnation ident.Incarnation) {
	n.incarnations[engine] = incarnation
}

// Remove drops the state of an engine that the fleet no longer has.
func (n *Node) Remove(engine ident.Engine) { delete(n.incarnations, engine) }

// Handle applies one message of another node and returns the messages to send.
func (n *Node) Handle(now time.Time, from ident.Node, message Message) []Envelope {
	switch {
	case message.Lookup != nil:
		return n.handleLookup(now, from, message.Lookup)
	case message.Answer != nil:
		n.handleAnswer(now, message.Answer)
	case message.Report != nil:
		return n.handleReport(now, message.Report)
	case message.Watch != nil:
		if notification := n.handleWatch(from, message.Watch); notification != nil {
			return []Envelope{{To: from, Message: Message{Notification: notification}}}
		}
	case message.Notification != nil:
		n.handleNotification(now, message.Notification)
	default:
		n.counters.Malformed++
	}
	return nil
}

// Tick sends the pending reports, drops expired holdings and refreshes the hot
// answers. Call it every half of a CacheLifetime.
func (n *Node) Tick(now time.Time) []Envelope {
	envelopes := n.flush(now)
	envelopes = append(envelopes, n.recheckHoldings(now)...)
	return append(envelopes, n.refreshHot(now)...)
}

// Counters returns the counters.
func (n *Node) Counters() Counters {
	counters := n.counters
	counters.Overflow += n.shard.evicted + n.cache.evicted + n.watches.evicted
	counters.Roots, counters.CachedRoots, counters.WatchedBlocks = len(n.shard.items), len(n.cache.items), len(n.watches.items)
	return counters
}

// owner returns the router that holds a root's shard, or none. It caches the
// result until the next view, because ranking all members is expensive.
func (n *Node) owner(root prefix.Hash) ident.Node {
	if owner, found := n.owners[root]; found {
		return owner
	}
	if len(n.owners) >= n.config.MaxRoots {
		clear(n.owners)
	}
	var owner ident.Node
	const hexadecimal = 16
	if found := n.view.Owners("prefix/"+strconv.FormatUint(uint64(root), hexadecimal), 1); len(found) > 0 {
		owner = found[0].Node
	}
	n.owners[root] = owner
	return owner
}

func (n *Node) engineOwner(engine ident.Engine) ident.Node {
	if found := EngineOwners(n.view, engine); len(found) > 0 {
		return found[0].Node
	}
	return ""
}
