package fleet

import (
	"slices"
	"time"
)

const (
	// smallFleet is the number of routers up to which each may read a body from the
	// table as soon as its peers have failed.
	smallFleet = 16
	// peerOnlyRounds is how many rounds a node of a larger fleet tries only peers.
	peerOnlyRounds = 3
)

// BodyReceived applies a fetched body. Neither its source nor the order of answers
// is trusted: it must match the digest of the current candidate and pass the checks
// of a fleet file.
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

// FetchFailed records that the body could not be fetched.
func (a *Adopter) FetchFailed(now time.Time) {
	if !a.fetching {
		return
	}
	a.fetching = false
	if a.fetchRef == a.target.ref {
		a.fetchFailed(now, a.fetchSource)
	}
}

// fetchFailed records that a source did not deliver the candidate's body. The
// table is the last source of a round.
func (a *Adopter) fetchFailed(now time.Time, source string) {
	a.target.tried[source] = true
	if source == "" {
		a.endRound(now, true)
	}
}

// endRound delays the next round, by more each time, since the table may be down.
// A file that only peers reported and the table did not deliver is dropped for the
// same time, so that it does not block a lower version that the table has.
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

// planFetch returns the next fetch for the candidate, if one is due.
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
// table. Peers that reported the file come first, those in this zone before others;
// then, unless this node is a poller itself, the zone's pollers. In a large fleet
// other nodes don't use the table in the first rounds (found is false), so that not
// every node reads the body there.
func (a *Adopter) nextSource() (source string, found bool) {
	if peer, untried := a.nextPeerSource(); untried {
		return peer, true
	}
	peersOnly := !a.topology.Poller && a.topology.Members > smallFleet && a.fetchRounds < peerOnlyRounds
	return "", !peersOnly
}

// nextPeerSource returns the best untried peer, if any.
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
