package directory

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/prefix"
)

// cachedAnswer is the last answer of a shard about the chains of one root.
type cachedAnswer struct {
	answer Answer
	// expires is when the answer expires; requested is when it was last requested.
	expires, requested time.Time
	// uses counts lookups since the answer, to find the hot prefixes.
	uses int
}

// ChainHolder is an engine that holds a part of one chain.
type ChainHolder struct {
	Engine ident.Engine
	// IncarnationDigest is the digest of the incarnation that holds the blocks.
	IncarnationDigest uint32
	// Blocks is the number of leading blocks held.
	Blocks int
}

// reportKey identifies a report, to suppress duplicates.
type reportKey struct {
	engine      ident.Engine
	incarnation ident.Incarnation
	deepest     prefix.Hash
}

// pendingHolding is a holding to be reported at the next Tick.
type pendingHolding struct {
	root    prefix.Hash
	holding Holding
}

// LookupResult is the result of Node.Lookup.
type LookupResult struct {
	// Holders lists engines that hold a part of the chain, each once.
	Holders []ChainHolder
	// Known is false if there is no fresh answer of the shard; the answer to
	// Request, if any, provides it.
	Known bool
	// Request is a message to send, or nil.
	Request *Envelope
}

// Lookup returns which engines hold the leading blocks of a chain. An expired
// answer is still used while a new one is requested.
func (n *Node) Lookup(now time.Time, chain prefix.Chain) LookupResult {
	root, ok := chain.Root()
	if !ok {
		return LookupResult{Known: true}
	}
	n.counters.Lookups++
	owner := n.owner(root)
	switch owner {
	case n.view.Self:
		n.counters.LocalAnswers++
		answer := n.answer(now, root)
		return LookupResult{Holders: answer.chainHolders(chain), Known: true}
	case "":
		return LookupResult{Known: true}
	}
	cached, found := n.cache.get(root)
	if !found {
		cached = &cachedAnswer{}
		n.cache.put(root, cached)
	}
	cached.uses++
	result := LookupResult{Holders: cached.answer.chainHolders(chain), Known: now.Before(cached.expires)}
	if result.Known {
		n.counters.CachedAnswers++
		return result
	}
	if now.Sub(cached.requested) >= n.config.CacheLifetime { // else an answer is pending
		request := n.request(now, owner, root, cached)
		result.Request = &request
	}
	return result
}

func (n *Node) request(now time.Time, owner ident.Node, root prefix.Hash, cached *cachedAnswer) Envelope {
	n.counters.RemoteLookups++
	cached.requested = now
	return Envelope{To: owner, Message: Message{Lookup: &Lookup{Root: root, Tag: cached.answer.Tag}}}
}

// handleAnswer caches an answer about a root that was looked up.
func (n *Node) handleAnswer(now time.Time, answer *Answer) {
	cached, found := n.cache.get(answer.Root)
	if !found || !answer.valid() {
		n.counters.Malformed++
		return
	}
	if answer.Tag != cached.answer.Tag {
		cached.answer = *answer
	}
	lifetime := min(time.Duration(answer.TTLMillis)*time.Millisecond, maxLifetimeFactor*n.config.CacheLifetime)
	cached.expires, cached.uses = now.Add(lifetime), 0
}

func (a *Answer) valid() bool {
	if len(a.Holders) > maxHoldings || len(a.Paths) > maxHoldings {
		return false
	}
	for index := range a.Holders {
		if path := a.Holders[index].Path; path < 0 || path >= len(a.Paths) {
			return false
		}
	}
	for _, path := range a.Paths {
		if !validHashes(path, shortHashBytes) {
			return false
		}
	}
	return true
}

// chainHolders returns how much of a chain each holder of the answer holds.
func (a *Answer) chainHolders(chain prefix.Chain) []ChainHolder {
	if len(a.Holders) == 0 {
		return nil
	}
	hashes := shortHashesOf(chain)
	holders := make([]ChainHolder, 0, len(a.Holders))
	for _, holder := range a.Holders {
		landmark := min(sharedLandmarks(a.Paths[holder.Path], hashes), holder.Landmarks)
		if landmark <= 0 {
			continue
		}
		holders = addHolder(holders, ChainHolder{holder.Engine, holder.IncarnationDigest, landmarkAt(landmark-1, len(chain)) + 1})
	}
	return holders
}

// addHolder adds an entry, or raises Blocks of the same incarnation's entry.
func addHolder(holders []ChainHolder, added ChainHolder) []ChainHolder {
	for index := range holders {
		if holders[index].Engine == added.Engine && holders[index].IncarnationDigest == added.IncarnationDigest {
			holders[index].Blocks = max(holders[index].Blocks, added.Blocks)
			return holders
		}
	}
	return append(holders, added)
}

// RecordAnswer records an engine's own answer: the incarnation held the first
// held blocks of the chain when it accepted the request and has computed the
// rest. The next Tick reports the part that was held, which two requests share,
// or for a new prefix the whole chain, unless the shard has it already.
func (n *Node) RecordAnswer(now time.Time, engine ident.Engine, incarnation ident.Incarnation, chain prefix.Chain, held int) {
	root, rooted := chain.Root()
	holding, shared := holdingOf(engine, incarnation, chain, held)
	if !shared {
		holding, _ = holdingOf(engine, incarnation, chain, len(chain))
	}
	if !rooted || n.shardHas(now, root, &holding) {
		return
	}
	key := reportKey{engine, incarnation, hashAt(holding.Hashes, len(holding.Hashes)/hashBytes-1)}
	if last, found := n.reported.get(key); found && now.Sub(last) < n.config.ReportInterval {
		return
	}
	if n.enqueue(root, holding) {
		n.reported.put(key, now)
	}
}

// shardHas reports whether the shard's last answer has the holding, or is full
// of engines that hold as much of the chain. Without the second condition, all
// routers keep reporting engines of a hot prefix that the shard has no room for.
func (n *Node) shardHas(now time.Time, root prefix.Hash, holding *Holding) bool {
	cached, found := n.cache.get(root)
	if !found || !now.Before(cached.expires) {
		return false
	}
	hashes, digest := holding.shortHashes(), IncarnationDigest(holding.Incarnation)
	holdAsMuch := 0
	for _, holder := range cached.answer.Holders {
		known := min(sharedLandmarks(cached.answer.Paths[holder.Path], hashes), holder.Landmarks)
		if known*shortHashBytes != len(hashes) {
			continue
		}
		if holder.Engine == holding.Engine && holder.IncarnationDigest == digest {
			return true
		}
		holdAsMuch++
	}
	return holdAsMuch >= maxHoldings
}

func (n *Node) enqueue(root prefix.Hash, holding Holding) bool {
	if len(n.outbox) >= maxOutbox {
		n.counters.Overflow++
		return false
	}
	n.outbox = append(n.outbox, pendingHolding{root, holding})
	return true
}

// flush groups the pending holdings by shard, in order of arrival.
func (n *Node) flush(now time.Time) []Envelope {
	var envelopes []Envelope
	open := make(map[ident.Node]int)
	waiting := n.outbox
	n.outbox = nil
	for _, pending := range waiting {
		owner := n.owner(pending.root)
		if owner == n.view.Self {
			envelopes = append(envelopes, n.store(now, pending.holding)...)
			continue
		}
		if owner == "" {
			continue
		}
		n.counters.Reports++
		if index, found := open[owner]; found {
			report := envelopes[index].Message.Report
			if len(report.Holdings) < maxReportHoldings {
				report.Holdings = append(report.Holdings, pending.holding)
				continue
			}
		}
		open[owner] = len(envelopes)
		report := &Report{Holdings: []Holding{pending.holding}}
		envelopes = append(envelopes, Envelope{To: owner, Message: Message{Report: report}})
	}
	return envelopes
}

// refreshHot requests the most used answers before they expire, so that requests
// for a hot prefix never wait for a shard.
func (n *Node) refreshHot(now time.Time) []Envelope {
	var envelopes []Envelope
	const hotUses = 2
	n.cache.each(func(root prefix.Hash, cached *cachedAnswer) bool {
		due := cached.expires.Sub(now) <= n.config.CacheLifetime/2 && now.Sub(cached.requested) >= n.config.CacheLifetime/2
		owner := n.owner(root)
		if cached.uses >= hotUses && due && owner != n.view.Self && owner != "" {
			envelopes = append(envelopes, n.request(now, owner, root, cached))
		}
		return len(envelopes) < n.config.HotPrefixes
	})
	return envelopes
}
