package node

import (
	"net/netip"
	"time"

	"github.com/apex/log"

	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/upstream"
)

const (
	// maxJoinedRouters is how many routers that are not counted yet are believed until the next count:
	// notifications are not authenticated.
	maxJoinedRouters = smallFleet
	// startingRouters is the least number of routers that is assumed for startSettleTime after this
	// one has joined: others may start at the same moment, and those before it still have more
	// attempts under way than their part.
	startingRouters = 8
	startSettleTime = time.Second
)

// joinedRouters are routers that reported that they have joined, by address and when, and that the
// last count of the rows does not include. The zero value has none.
type joinedRouters struct {
	at map[netip.AddrPort]time.Time
}

// add adds a router, and reports whether it is new and there were not too many.
func (j *joinedRouters) add(now time.Time, router netip.AddrPort) bool {
	if _, known := j.at[router]; known || len(j.at) >= maxJoinedRouters {
		return false
	}
	if j.at == nil {
		j.at = make(map[netip.AddrPort]time.Time)
	}
	j.at[router] = now
	return true
}

// removeCounted removes the routers that a count requested at a time includes: their rows were
// written before they reported.
func (j *joinedRouters) removeCounted(countedAt time.Time) {
	for router, at := range j.at {
		if at.Before(countedAt) {
			delete(j.at, router)
		}
	}
}

func (j *joinedRouters) count() int { return len(j.at) }

// observeJoined handles the report of a router that it has joined. One that is not known is counted
// at once, and the rows are read again. In a large fleet routers don't report.
func (f *follower) observeJoined(router netip.AddrPort) {
	if f.chain.large() || f.recipients.has(router) {
		return
	}
	if f.replica.observeJoined(clock.Now(), router) {
		f.newRouters.Store(true)
	}
}

// observeJoined counts a router that has joined and is in no count yet, and reports whether it is new.
func (r *replica) observeJoined(now time.Time, router netip.AddrPort) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	isNew := r.newRouters.add(now, router)
	if isNew {
		log.WithFields(log.Fields{"router": router.String(), "counted": r.routers, "new": r.newRouters.count()}).Info("router_joined")
	}
	return isNew
}

// joinedSince returns the time since this router's row was first written, 0 if it was not.
func (r *replica) joinedSince() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.joinedAt.IsZero() {
		return 0
	}
	return clock.Since(r.joinedAt)
}

// announceJoin reports to the peers that this router has joined.
func (f *follower) announceJoin(view *fleetView) {
	if f.announce == nil || view.large {
		return
	}
	var others []netip.AddrPort
	for _, peer := range view.peers {
		if peer.Node != f.replica.node {
			others = append(others, peer.Addr)
		}
	}
	f.announce(others)
}

// sharingRouters returns the number of routers by which bounds of all routers together are divided, 0
// if unknown.
func (f *follower) sharingRouters() int {
	routers := f.replica.Routers()
	switch {
	case f.chain.large():
		// This zone alone has more.
		return max(routers, upstream.LargeZone)
	case routers > 0 && f.replica.joinedSince() < startSettleTime:
		return max(routers, startingRouters)
	default:
		return routers
	}
}
