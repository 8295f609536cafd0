package directory

import (
	"bytes"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/prefix"
)

// rootEntry is a shard's state of the chains that share one root.
type rootEntry struct {
	holdings []shardHolding
	// lifetimeFactor is the lifetime of answers in CacheLifetimes, at least 1.
	lifetimeFactor float64
	// lastLookup is the time of the last lookup, by this node or another.
	lastLookup time.Time
	// lookups counts those of other nodes since windowStart.
	lookups     int
	windowStart time.Time
}

type shardHolding struct {
	Holding
	// confirmed is when the holding was last reported or confirmed.
	confirmed time.Time
	// requested is when the engine's owner was last asked to check it.
	requested time.Time
}

func (n *Node) handleLookup(now time.Time, from ident.Node, lookup *Lookup) []Envelope {
	if n.owner(lookup.Root) != n.view.Self {
		n.counters.Misdirected++ // views may differ briefly; an empty answer is safe
	}
	answer := n.answer(now, lookup.Root)
	if entry, found := n.shard.get(lookup.Root); found {
		entry.adaptLifetime(now, n.config.CacheLifetime)
		answer.TTLMillis = uint32(entry.lifetimeFactor * float64(n.config.CacheLifetime/time.Millisecond))
	}
	if answer.Tag == lookup.Tag {
		answer.Paths, answer.Holders = nil, nil
	}
	return []Envelope{{To: from, Message: Message{Answer: &answer}}}
}

// adaptLifetime extends the lifetime of answers while lookups exceed
// lookupsPerLifetime, and shortens it again, so that the traffic of a root does
// not grow with the number of routers. Routers that use such a root observe its
// holders in their own answers anyway.
func (e *rootEntry) adaptLifetime(now time.Time, window time.Duration) {
	const step = 1.5
	e.lifetimeFactor = max(e.lifetimeFactor, 1)
	if now.Sub(e.windowStart) >= window {
		if e.lookups < lookupsPerLifetime/2 {
			e.lifetimeFactor = max(1, e.lifetimeFactor/step)
		}
		e.windowStart, e.lookups = now, 0
	}
	e.lookups++
	if e.lookups > lookupsPerLifetime {
		e.lifetimeFactor, e.lookups = min(maxLifetimeFactor, e.lifetimeFactor*step), 0
	}
}

// answer describes all holdings of a root. Its tag depends on the content only.
func (n *Node) answer(now time.Time, root prefix.Hash) Answer {
	answer := Answer{Root: root, TTLMillis: uint32(n.config.CacheLifetime / time.Millisecond)}
	entry, found := n.shard.get(root)
	if !found {
		return answer
	}
	entry.lastLookup = now
	digest := xxhash.New()
	for index := range entry.holdings {
		held := &entry.holdings[index]
		if now.Sub(held.confirmed) >= n.config.HoldingLifetime || !n.maybeCurrent(held.Engine, held.Incarnation) {
			continue
		}
		hashes := held.shortHashes()
		answer.Holders = append(answer.Holders, Holder{
			Engine: held.Engine, IncarnationDigest: IncarnationDigest(held.Incarnation), Path: answer.path(hashes), Landmarks: len(hashes) / shortHashBytes,
		})
		_, _ = digest.WriteString(string(held.Engine) + "/" + string(held.Incarnation) + "/")
		_, _ = digest.Write(hashes)
	}
	if len(answer.Holders) > 0 {
		answer.Tag = uint32(digest.Sum64()) | 1 // zero means no content
	}
	return answer
}

// path returns the index of a path that begins with the hashes, adding one or
// extending a shorter one if needed: engines that hold more or less of the same
// prefix share one path.
func (a *Answer) path(hashes []byte) int {
	for index, path := range a.Paths {
		if bytes.HasPrefix(path, hashes) {
			return index
		}
		if bytes.HasPrefix(hashes, path) {
			a.Paths[index] = hashes
			return index
		}
	}
	a.Paths = append(a.Paths, hashes)
	return len(a.Paths) - 1
}

// maybeCurrent is false if the engine is dead or another incarnation is current.
func (n *Node) maybeCurrent(engine ident.Engine, incarnation ident.Incarnation) bool {
	current, known := n.incarnations[engine]
	return !known || current == incarnation
}

func (n *Node) handleReport(now time.Time, report *Report) []Envelope {
	if len(report.Holdings) > maxReportHoldings {
		n.counters.Malformed++
		return nil
	}
	var envelopes []Envelope
	for _, holding := range report.Holdings {
		if !validHashes(holding.Hashes, hashBytes) {
			n.counters.Malformed++
			continue
		}
		if n.owner(hashAt(holding.Hashes, 0)) != n.view.Self {
			n.counters.Misdirected++
		}
		envelopes = append(envelopes, n.store(now, holding)...)
	}
	return envelopes
}

// store adds a holding to its root and returns the watch on its blocks for the
// engine's owner.
func (n *Node) store(now time.Time, holding Holding) []Envelope {
	root := hashAt(holding.Hashes, 0)
	entry, found := n.shard.get(root)
	if !found {
		entry = &rootEntry{}
		n.shard.put(root, entry)
	}
	entry.add(shardHolding{Holding: holding, confirmed: now, requested: now})
	return n.watch(now, holding)
}

// watch registers a watch on a holding's blocks with the engine's owner.
func (n *Node) watch(now time.Time, holding Holding) []Envelope {
	watch := &Watch{Engine: holding.Engine, Incarnation: holding.Incarnation, Hashes: holding.Hashes}
	switch owner := n.engineOwner(holding.Engine); owner {
	case "":
		return nil
	case n.view.Self:
		if notification := n.handleWatch(owner, watch); notification != nil {
			n.handleNotification(now, notification)
		}
		return nil
	default:
		return []Envelope{{To: owner, Message: Message{Watch: watch}}}
	}
}

// add replaces a holding that the new one extends or repeats, else uses a free
// place, else replaces the least recently confirmed one.
func (e *rootEntry) add(added shardHolding) {
	oldest := 0
	for index := range e.holdings {
		held := &e.holdings[index]
		if held.Engine == added.Engine && (held.Incarnation != added.Incarnation || related(held.Hashes, added.Hashes)) {
			if held.Incarnation == added.Incarnation && len(held.Hashes) > len(added.Hashes) {
				held.confirmed = added.confirmed
				return
			}
			e.holdings[index] = added
			return
		}
		if held.confirmed.Before(e.holdings[oldest].confirmed) {
			oldest = index
		}
	}
	if len(e.holdings) < maxHoldings {
		e.holdings = append(e.holdings, added)
		return
	}
	e.holdings[oldest] = added
}

// related reports whether one list of hashes is a prefix of the other.
func related(first, second []byte) bool {
	return bytes.HasPrefix(first, second) || bytes.HasPrefix(second, first)
}

// handleNotification applies a notification of an engine's owner: blocks that are
// not held truncate holdings, checked ones confirm them.
func (n *Node) handleNotification(now time.Time, notification *Notification) {
	const pair = 2 * hashBytes
	if len(notification.Lost)%pair != 0 || len(notification.Checked)%hashBytes != 0 {
		n.counters.Malformed++
		return
	}
	if notification.Cleared {
		n.dropIncarnation(notification)
		return
	}
	for start := 0; start < len(notification.Lost); start += pair {
		root, lost := hashAt(notification.Lost[start:], 0), hashAt(notification.Lost[start:], 1)
		n.eachHolding(root, notification, func(held *shardHolding) { held.truncate(lost) })
	}
	for index := range len(notification.Checked) / hashBytes {
		n.eachHolding(hashAt(notification.Checked, index), notification, func(held *shardHolding) { held.confirmed = now })
	}
}

// eachHolding visits the holdings of one root by the notification's incarnation
// and drops those left empty.
func (n *Node) eachHolding(root prefix.Hash, notification *Notification, visit func(*shardHolding)) {
	entry, found := n.shard.get(root)
	if !found {
		return
	}
	for index := range entry.holdings {
		if held := &entry.holdings[index]; held.Engine == notification.Engine && held.Incarnation == notification.Incarnation {
			visit(held)
		}
	}
	n.prune(root, entry, func(*shardHolding) bool { return false })
}

func (n *Node) dropIncarnation(notification *Notification) {
	n.shard.each(func(root prefix.Hash, entry *rootEntry) bool {
		n.prune(root, entry, func(held *shardHolding) bool {
			return held.Engine == notification.Engine && held.Incarnation == notification.Incarnation
		})
		return true
	})
}

// truncate shortens a holding to the landmarks before the lost one.
func (h *shardHolding) truncate(lost prefix.Hash) {
	for landmark := range len(h.Hashes) / hashBytes {
		if hashAt(h.Hashes, landmark) == lost {
			h.Hashes = slices.Clone(h.Hashes[:landmark*hashBytes])
			return
		}
	}
}

// prune drops holdings that are empty or that drop selects, and a root without
// any.
func (n *Node) prune(root prefix.Hash, entry *rootEntry, drop func(*shardHolding) bool) {
	entry.holdings = slices.DeleteFunc(entry.holdings, func(held shardHolding) bool {
		return len(held.Hashes) == 0 || drop(&held)
	})
	if len(entry.holdings) == 0 {
		n.shard.delete(root)
	}
}

// recheckHoldings drops expired holdings and asks the engines' owners to check
// those that soon will expire, for roots that are still looked up.
func (n *Node) recheckHoldings(now time.Time) []Envelope {
	var envelopes []Envelope
	half := n.config.HoldingLifetime / 2
	n.shard.each(func(root prefix.Hash, entry *rootEntry) bool {
		n.prune(root, entry, func(held *shardHolding) bool {
			return now.Sub(held.confirmed) >= n.config.HoldingLifetime || !n.maybeCurrent(held.Engine, held.Incarnation)
		})
		if now.Sub(entry.lastLookup) >= n.config.HoldingLifetime {
			return true
		}
		for index := 0; index < len(entry.holdings); index++ {
			if held := &entry.holdings[index]; now.Sub(held.confirmed) >= half && now.Sub(held.requested) >= half/2 {
				held.requested = now
				envelopes = append(envelopes, n.watch(now, held.Holding)...)
			}
		}
		return true
	})
	return envelopes
}
