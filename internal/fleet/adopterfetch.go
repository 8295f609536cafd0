package fleet

import (
	"slices"
	"time"
)

const (
	// smallFleet is the number of routers up to which each may read a body from
	// the table as soon as its peers do not have it.
	smallFleet = 16
	// peerOnlyRounds is how many rounds of peers a node of a larger fleet tries
	// before it reads the body from the table.
	peerOnlyRounds = 3
)

// BodyReceived takes in a fetched body. The machine trusts neither its source
// nor the order of arrivals: the body must match the digest of the candidate
// as it is now, and pass the checks of a fleet file.
func (a *Adopter) BodyReceived(now time.Time, body []byte) []AdoptAction {
	if !a.fetching {
		return nil
	}
	a.fetching = false
	if a.fetchRef != a.target.ref || a.target.disputed {
		return nil
	}
	if DigestOf(body) != a.target.ref.Digest {
		a.counters.BadBodies++
		a.fetchFailed(now, a.fetchSource)
		return nil
	}
	document, _ := Parse(body, "the body of "+string(a.target.ref.Digest))
	if document == nil {
		a.counters.BadBodies++
		a.fetchFailed(now, a.fetchSource)
		return nil
	}
	a.current, a.target = a.target.ref, candidate{}
	a.counters.Adopted++
	return []AdoptAction{{Kind: ActionAdopt, Ref: a.current, Document: document, Body: body}}
}

// FetchFailed says that the body asked for could not be had.
func (a *Adopter) FetchFailed(now time.Time) {
	if !a.fetching {
		return
	}
	a.fetching = false
	if a.fetchRef == a.target.ref {
		a.fetchFailed(now, a.fetchSource)
	}
}

// fetchFailed notes that a source does not have the candidate's body. After
// the table, the last source, the round is over.
func (a *Adopter) fetchFailed(now time.Time, source string) {
	a.target.tried[source] = true
	if source == "" {
		a.endRound(now, true)
	}
}

// endRound waits before the sources are tried again. A pair that only peers
// have named, and not even the table could show, is dropped for as long: a lower
// pair, of which the table knows, must not starve behind it. The wait grows with
// each round, because the table may just be down.
func (a *Adopter) endRound(now time.Time, triedTable bool) {
	delay := min(maxFetchRetryDelay, fetchRetryDelay<<min(a.fetchRounds, maxDelayShift))
	a.fetchRounds++
	a.nextFetch = now.Add(a.jittered(delay))
	a.target.tried = map[string]bool{}
	if triedTable && !a.target.fromTable {
		a.dropped, a.droppedUntil = a.target.ref, now.Add(a.jittered(delay))
		a.target = candidate{}
		a.pollRequested = true
	}
}

// planFetch returns the fetch that brings the candidate closer, if any.
func (a *Adopter) planFetch(now time.Time) (AdoptAction, bool) {
	waiting := a.starting && !a.target.fromTable && now.Before(a.startUntil)
	if a.fetching || waiting || a.target.ref.Version == 0 || a.target.disputed || now.Before(a.nextFetch) {
		return AdoptAction{}, false
	}
	source, found := a.nextSource()
	if !found {
		a.endRound(now, false)
		return AdoptAction{}, false
	}
	a.fetching, a.fetchRef, a.fetchSource = true, a.target.ref, source
	return AdoptAction{Kind: ActionFetchBody, Address: source, Ref: a.fetchRef}, true
}

// nextSource returns the best untried peer or, after a few of them, "" for the
// table. Peers that said they have the file come first, those in this zone
// before others; then, unless this node is a poller itself, the zone's pollers.
// In a large fleet a node that is no poller leaves the table alone for the first
// rounds (found is false), so that not every node reads the body there.
func (a *Adopter) nextSource() (source string, found bool) {
	if peer, untried := a.nextPeerSource(); untried {
		return peer, true
	}
	peersOnly := !a.topology.Poller && a.topology.Members > smallFleet && a.fetchRounds < peerOnlyRounds
	return "", !peersOnly
}

// nextPeerSource returns the best untried peer, if one is left to try.
func (a *Adopter) nextPeerSource() (address string, found bool) {
	if len(a.target.tried) >= maxPeerSources {
		return "", false
	}
	peers := a.rankedPeers()
	for _, peer := range peers {
		if slices.Contains(a.target.holders, peer.Address) && !a.target.tried[peer.Address] {
			return peer.Address, true
		}
	}
	for _, address := range a.target.holders {
		if !a.target.tried[address] {
			return address, true
		}
	}
	for _, peer := range peers {
		if !a.topology.Poller && peer.Poller && peer.SameZone && !a.target.tried[peer.Address] {
			return peer.Address, true
		}
	}
	return "", false
}
