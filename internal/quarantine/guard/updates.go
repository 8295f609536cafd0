package guard

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/quarantine"
)

const (
	// updateInterval is the time between two copies of an update; updateCopies is their number,
	// since datagrams may be lost. Evidence on quarantined requests is also pulled.
	updateInterval = 250 * time.Millisecond
	updateCopies   = 4
	// maxPerDatagram bounds the requests in one datagram, maxPerUpdate those in one update.
	maxPerDatagram = 10
	maxPerUpdate   = 200
)

// Merge merges evidence from another router as of a time, and returns what that router lacks.
func (g *Guard) Merge(at time.Time, evidence []quarantine.Evidence) (missing []quarantine.Evidence) {
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

// hasUpdates reports whether evidence on a request is still to be sent by this router.
func (g *Guard) hasUpdates(request quarantine.Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.updates[request] > 0
}

// recordPeerCrashes counts crashes observed by another router against the requests abandoned
// here at the same incarnations.
func (g *Guard) recordPeerCrashes(at time.Time, evidence []quarantine.Evidence) {
	for _, one := range evidence {
		for _, crash := range one.Crashes {
			if crash.Age > abandonedWindow {
				continue
			}
			crashedAt := at.Add(-crash.Age)
			if requests := g.abandoned.take(crash.Incarnation, crashedAt); len(requests) > 0 {
				g.recordEvidence(crashedAt, crash.Incarnation, requests)
			}
		}
	}
}

// Digest returns a hash of the evidence on quarantined requests.
func (g *Guard) Digest() uint64 {
	if g == nil {
		return 0
	}
	return g.ledger.Digest()
}

// EvidenceSince returns the evidence on quarantined requests for a peer with a digest, nil if the
// digests agree.
func (g *Guard) EvidenceSince(now time.Time, digest uint64) []quarantine.Evidence {
	if g.ledger.Digest() == digest {
		return nil
	}
	evidence := g.ledger.QuarantinedEvidence(now)
	return evidence[:min(len(evidence), maxPerUpdate)]
}

// announce sends the evidence on requests to all other routers, updateCopies times.
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

func (g *Guard) sendUpdates(requests []quarantine.Fingerprint) {
	now := clock.Now()
	var part []quarantine.Evidence
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

// resendUpdates sends the updates again that were not sent often enough.
func (g *Guard) resendUpdates() {
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
