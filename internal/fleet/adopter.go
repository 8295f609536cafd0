package fleet

import (
	"cmp"
	"slices"
	"time"
)

const (
	// pollerInterval is the time between two reads of the head by a zone's pollers.
	pollerInterval = 1500 * time.Millisecond
	// nonPollerInterval is the shortest time between two reads by any other node.
	nonPollerInterval = 30 * time.Second
	// nonPollerIntervalPerMember extends nonPollerInterval in large fleets, so that
	// the nodes together read the head four times a second at most.
	nonPollerIntervalPerMember = 250 * time.Millisecond
	// startTableTimeout is how long a starting node waits for the table before it
	// adopts a file that only peers reported.
	startTableTimeout = time.Second
	// maxStartPeers bounds the peers that a starting node asks, and the holders of a
	// candidate.
	maxStartPeers = 5
	// maxPeerSources is how many peers are asked for a body before the table.
	maxPeerSources = 3
	// fetchRetryDelay doubles with each failed round up to maxFetchRetryDelay.
	fetchRetryDelay    = 250 * time.Millisecond
	maxFetchRetryDelay = 10 * time.Second
	// askInterval is the time between two requests to peers by a node without a file.
	askInterval = time.Second
)

// Peer is another router that may serve the file.
type Peer struct {
	// Address is the host:port of its HTTP listener.
	Address string
	// SameZone is whether it is in this node's zone.
	SameZone bool
	// Poller is whether it reads the table often.
	Poller bool
}

// Topology describes the other routers to the Adopter.
type Topology struct {
	// Poller is whether this node is one of the few that read the table often.
	Poller bool
	// Members counts the routers, this one included.
	Members int
	// Peers lists the live routers without this one.
	Peers []Peer
}

// AdoptActionKind is what the caller of the Adopter is to do.
type AdoptActionKind uint8

const (
	// ActionPollTable reads the head row: HeadPolled or PollFailed.
	ActionPollTable AdoptActionKind = iota
	// ActionAskPeer asks Address for its head: PeerAnswered or PeerFailed.
	ActionAskPeer
	// ActionFetchBody fetches the body of Ref from Address, or from the table when
	// that is empty: BodyReceived or FetchFailed.
	ActionFetchBody
	// ActionAdopt puts Document in force.
	ActionAdopt
)

// AdoptAction is one request of the Adopter to its caller.
type AdoptAction struct {
	Kind     AdoptActionKind
	Address  string
	Ref      FileRef
	Document *Document
	Body     []byte
}

// AdopterCounters count the Adopter's events.
type AdopterCounters struct {
	// Adopted counts files put in force, Disputed reports of another digest for
	// the same version, TableBehind table reads below the version in force,
	// BadBodies bodies that failed verification.
	Adopted, Disputed, TableBehind, BadBodies uint64
}

// candidate is the file to adopt next.
type candidate struct {
	ref FileRef
	// fromTable is whether the table reported it.
	fromTable bool
	// disputed is whether peers reported two digests for the version; only the
	// table can resolve that.
	disputed bool
	// holders lists the peers that reported it, tried the sources that failed.
	holders []string
	tried   map[string]bool
}

// Adopter decides which fleet file is in force on one node, without I/O.
// Invariants: the version in force never decreases; a file is put in force only
// after its body has matched its digest and passed its checks; at an equal
// version only the table replaces the digest. Only one goroutine may use it.
type Adopter struct {
	topology Topology
	jitter   func() float64
	current  FileRef
	target   candidate
	counters AdopterCounters

	starting   bool
	startUntil time.Time
	polling    bool
	nextPoll   time.Time
	// pollRequested advances the next read to pollNotBefore, which limits this
	// node's rate, or to retryNotBefore, set by the table, if that is later.
	pollRequested  bool
	pollNotBefore  time.Time
	retryNotBefore time.Time
	asked          map[string]bool
	nextAsk        time.Time
	fetching       bool
	fetchSource    string
	fetchRef       FileRef
	fetchRounds    int
	nextFetch      time.Time
	// dropped is a file that only peers reported and that no source could deliver.
	// It is ignored until droppedUntil.
	dropped      FileRef
	droppedUntil time.Time
}

// NewAdopter returns the Adopter of a node without a file. jitter returns numbers
// in [0,1), to spread the reads of many nodes.
func NewAdopter(now time.Time, jitter func() float64) *Adopter {
	return &Adopter{
		jitter: jitter, starting: true, startUntil: now.Add(startTableTimeout),
		nextPoll: now, nextAsk: now, nextFetch: now, asked: map[string]bool{},
	}
}

// Current returns the file in force, with version zero when there is none.
func (a *Adopter) Current() FileRef { return a.current }

// Counters returns the counts since the start.
func (a *Adopter) Counters() AdopterCounters { return a.counters }

// SetTopology replaces the topology; a node that becomes a poller polls soon.
func (a *Adopter) SetTopology(now time.Time, next Topology) {
	if next.Poller && !a.topology.Poller {
		pollerDue := now.Add(a.jittered(pollerInterval))
		a.nextPoll, a.pollNotBefore = earlier(a.nextPoll, pollerDue), earlier(a.pollNotBefore, pollerDue)
	}
	a.topology = next
}

// ObserveHead records the file that a peer reports in force.
func (a *Adopter) ObserveHead(now time.Time, ref FileRef, address string) {
	if ref.Version == 0 || (ref == a.dropped && now.Before(a.droppedUntil)) {
		return
	}
	a.evaluate(ref, address, false)
}

// PeerAnswered applies a peer's answer to ActionAskPeer.
func (a *Adopter) PeerAnswered(now time.Time, address string, ref FileRef) {
	delete(a.asked, address)
	a.ObserveHead(now, ref, address)
}

// PeerFailed records that a peer did not answer ActionAskPeer.
func (a *Adopter) PeerFailed(address string) { delete(a.asked, address) }

// HeadPolled applies a read of the head row.
func (a *Adopter) HeadPolled(now time.Time, ref FileRef, found bool) {
	a.schedulePoll(now)
	if found {
		a.evaluate(ref, "", true)
	}
}

// PollFailed records that the table did not answer; it is not read for retryAfter.
func (a *Adopter) PollFailed(now time.Time, retryAfter time.Duration) {
	a.schedulePoll(now)
	a.retryNotBefore = now.Add(retryAfter)
}

// schedulePoll plans the next read. Pollers read often. The others together read at
// a rate that does not grow with their number, even without a file or with a
// disputed one: they receive the table's head through the pollers.
func (a *Adopter) schedulePoll(now time.Time) {
	a.polling, a.starting = false, false
	minInterval, interval := pollerInterval, pollerInterval
	if !a.topology.Poller {
		minInterval = max(pollerInterval, time.Duration(a.topology.Members)*nonPollerIntervalPerMember)
		interval = max(nonPollerInterval, minInterval)
	}
	if a.current.Version == 0 {
		interval = minInterval
	}
	a.pollNotBefore = now.Add(a.jittered(minInterval))
	a.nextPoll = later(a.pollNotBefore, now.Add(a.jittered(interval)))
}

// pollDue returns when to read the head next.
func (a *Adopter) pollDue() time.Time {
	due := later(a.pollNotBefore, a.retryNotBefore)
	if a.pollRequested {
		return due
	}
	return later(a.nextPoll, due)
}

// jittered returns the interval, changed by up to a fifth.
func (a *Adopter) jittered(interval time.Duration) time.Duration {
	const spread = 0.4
	return time.Duration(float64(interval) * (1 + spread*(a.jitter()-0.5)))
}

// evaluate compares a file with the one in force and the candidate.
func (a *Adopter) evaluate(ref FileRef, address string, fromTable bool) {
	switch {
	case ref.Version < a.current.Version:
		if fromTable {
			a.counters.TableBehind++
		}
	case ref == a.current:
	case ref.Version == a.current.Version && !fromTable:
		a.counters.Disputed++
		a.pollRequested = true
	case ref.Version == a.target.ref.Version:
		a.evaluateSameVersion(ref, address, fromTable)
	case ref.Version > a.target.ref.Version, fromTable && a.target.disputed:
		a.setTarget(ref, address, fromTable)
	}
}

// evaluateSameVersion compares a file with a candidate of the same version.
func (a *Adopter) evaluateSameVersion(ref FileRef, address string, fromTable bool) {
	switch {
	case fromTable && ref.Digest != a.target.ref.Digest:
		a.counters.Disputed++
		a.setTarget(ref, "", true)
	case fromTable:
		a.target.fromTable, a.target.disputed = true, false
	case ref.Digest == a.target.ref.Digest:
		if !slices.Contains(a.target.holders, address) && len(a.target.holders) < maxStartPeers {
			a.target.holders = append(a.target.holders, address)
		}
	case !a.target.fromTable:
		a.counters.Disputed++
		a.target.disputed, a.pollRequested = true, true
	default:
		a.counters.Disputed++
	}
}

func (a *Adopter) setTarget(ref FileRef, address string, fromTable bool) {
	a.target = candidate{ref: ref, fromTable: fromTable, tried: map[string]bool{}}
	if address != "" {
		a.target.holders = []string{address}
	}
	if ref != a.dropped {
		a.fetchRounds, a.nextFetch = 0, time.Time{}
	}
}

// Tick returns what to do now. Call it after every event and at NextTick.
func (a *Adopter) Tick(now time.Time) []AdoptAction {
	var actions []AdoptAction
	if !a.polling && !now.Before(a.pollDue()) {
		a.polling, a.pollRequested = true, false
		actions = append(actions, AdoptAction{Kind: ActionPollTable})
	}
	if a.current.Version == 0 && !now.Before(a.nextAsk) {
		actions = append(actions, a.askPeers(now)...)
	}
	if fetch, due := a.planFetch(now); due {
		actions = append(actions, fetch)
	}
	return actions
}

// askPeers asks some peers for their heads while this node has no file.
func (a *Adopter) askPeers(now time.Time) []AdoptAction {
	var actions []AdoptAction
	for _, peer := range a.rankedPeers() {
		if len(actions) == maxStartPeers {
			break
		}
		if !a.asked[peer.Address] {
			a.asked[peer.Address] = true
			actions = append(actions, AdoptAction{Kind: ActionAskPeer, Address: peer.Address})
		}
	}
	if len(actions) > 0 {
		a.nextAsk = now.Add(a.jittered(askInterval))
	}
	return actions
}

// rankedPeers returns this zone's peers, pollers first, then the others likewise.
func (a *Adopter) rankedPeers() []Peer {
	peers := slices.Clone(a.topology.Peers)
	rank := func(peer Peer) int {
		switch {
		case peer.SameZone && peer.Poller:
			return 0
		case peer.SameZone:
			return 1
		case peer.Poller:
			return 2
		}
		return 3
	}
	slices.SortStableFunc(peers, func(x, y Peer) int { return cmp.Compare(rank(x), rank(y)) })
	return peers
}

// NextTick returns the latest time at which to call Tick.
func (a *Adopter) NextTick(now time.Time) time.Time {
	next := now.Add(nonPollerInterval)
	if !a.polling {
		next = earlier(next, a.pollDue())
	}
	if a.current.Version == 0 {
		next = earlier(next, later(a.nextAsk, now.Add(fetchRetryDelay)))
	}
	if !a.fetching && a.target.ref.Version > 0 && !a.target.disputed {
		fetchDue := a.nextFetch
		if a.starting && !a.target.fromTable {
			fetchDue = later(fetchDue, a.startUntil)
		}
		next = earlier(next, fetchDue)
	}
	return next
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
