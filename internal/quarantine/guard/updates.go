package guard

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/quarantine"
)

const (
	// updateInterval is the time between two tellings of the same news, updateCopies how often it
	// is told: with three datagrams in ten lost, one router in 120 misses it, and has it by
	// the next pull if the request is held.
	updateInterval = 250 * time.Millisecond
	updateCopies   = 4
	// maxPerDatagram bounds the requests told in one datagram, which takes 251 bytes for each at
	// most, maxPerUpdate the requests told at once.
	maxPerDatagram = 10
	maxPerUpdate   = 200
)

// Take takes in what another router told as of a time, and returns what that one lacks.
func (g *Guard) Take(at time.Time, evidence []quarantine.Told) (missing []quarantine.Told) {
	if g == nil || len(evidence) == 0 {
		return nil
	}
	quarantined, more := g.ledger.Merge(at, evidence)
	g.recordPeerCrashes(at, evidence)
	g.logQuarantined(at, quarantined)
	g.scheduleReported(evidence)
	for _, request := range more[:min(len(more), maxPerDatagram)] {
		if known, found := g.ledger.Evidence(at, request); found {
			missing = append(missing, known)
		}
	}
	return missing
}

// hasUpdates reports whether news of a request are still to be told by this router.
func (g *Guard) hasUpdates(request quarantine.Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.updates[request] > 0
}

// recordPeerCrashes books crashes of which another router told as of a time on the requests that
// were given up here at the same lives.
func (g *Guard) recordPeerCrashes(at time.Time, evidence []quarantine.Told) {
	for _, one := range evidence {
		for _, crash := range one.Crashes {
			if crash.Age > abandonedWindow {
				continue
			}
			crashedAt := at.Add(-crash.Age)
			if requests := g.abandoned.take(crash.Life, crashedAt); len(requests) > 0 {
				g.recordEvidence(crashedAt, crash.Life, requests)
			}
		}
	}
}

// Digest names what is known of requests that are held.
func (g *Guard) Digest() uint64 {
	if g == nil {
		return 0
	}
	return g.ledger.Digest()
}

// ToldSince returns what a peer is told that knows something of requests that are held.
func (g *Guard) ToldSince(now time.Time, digest uint64) []quarantine.Told {
	if g.ledger.Digest() == digest {
		return nil
	}
	evidence := g.ledger.QuarantinedEvidence(now)
	return evidence[:min(len(evidence), maxPerUpdate)]
}

// announce tells all other routers what is known of requests, and again some times.
func (g *Guard) announce(requests ...quarantine.Fingerprint) {
	g.mu.Lock()
	for _, request := range requests {
		if len(g.updates) < maxPerUpdate {
			g.updates[request] = updateCopies - 1
		}
	}
	g.mu.Unlock()
	g.sendUpdates(requests)
}

// sendUpdates sends what is known of requests.
func (g *Guard) sendUpdates(requests []quarantine.Fingerprint) {
	now := clock.Now()
	var part []quarantine.Told
	for _, request := range requests[:min(len(requests), maxPerUpdate)] {
		if evidence, known := g.ledger.Evidence(now, request); known {
			part = append(part, evidence)
		}
		if len(part) == maxPerDatagram {
			g.config.Send(part)
			part = nil
		}
	}
	if len(part) > 0 {
		g.config.Send(part)
	}
}

// repeatUpdates tells the news once more that were not told often enough.
func (g *Guard) repeatUpdates() {
	g.mu.Lock()
	var due []quarantine.Fingerprint
	for request, times := range g.updates {
		due = append(due, request)
		if times <= 1 {
			delete(g.updates, request)
			continue
		}
		g.updates[request] = times - 1
	}
	g.mu.Unlock()
	g.sendUpdates(due)
}
