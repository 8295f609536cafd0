package guard

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/quarantine"
)

const (
	// newsInterval is the time between two tellings of the same news, newsTimes how often it
	// is told: with three datagrams in ten lost, one router in 120 misses it, and has it by
	// the next pull if the request is held.
	newsInterval = 250 * time.Millisecond
	newsTimes    = 4
	// newsParts bounds the requests told in one datagram, which takes 251 bytes for each at
	// most, newsMost the requests told at once.
	newsParts = 10
	newsMost  = 200
)

// Merge takes in what another router told as of a time, and returns what that one lacks.
func (g *Guard) Merge(at time.Time, told []quarantine.Evidence) (lacks []quarantine.Evidence) {
	if g == nil || len(told) == 0 {
		return nil
	}
	held, more := g.ledger.Take(at, told)
	g.crashedElsewhere(at, told)
	g.logHeld(at, held)
	g.keepTold(told)
	for _, request := range more[:min(len(more), newsParts)] {
		if known, found := g.ledger.Tell(at, request); found {
			lacks = append(lacks, known)
		}
	}
	return lacks
}

// telling reports whether news of a request are still to be told by this router.
func (g *Guard) telling(request quarantine.Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.news[request] > 0
}

// crashedElsewhere books crashes of which another router told as of a time on the requests that
// were given up here at the same lives.
func (g *Guard) crashedElsewhere(at time.Time, told []quarantine.Evidence) {
	for _, one := range told {
		for _, crash := range one.Crashes {
			if crash.Age > leftFor {
				continue
			}
			crashedAt := at.Add(-crash.Age)
			if requests := g.left.take(crash.Incarnation, crashedAt); len(requests) > 0 {
				g.book(crashedAt, crash.Incarnation, requests)
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

// EvidenceSince returns what a peer is told that knows something of requests that are held.
func (g *Guard) EvidenceSince(now time.Time, digest uint64) []quarantine.Evidence {
	if g.ledger.Digest() == digest {
		return nil
	}
	told := g.ledger.TellHeld(now)
	return told[:min(len(told), newsMost)]
}

// tell tells all other routers what is known of requests, and again some times.
func (g *Guard) tell(requests ...quarantine.Fingerprint) {
	g.mu.Lock()
	for _, request := range requests {
		if len(g.news) < newsMost {
			g.news[request] = newsTimes - 1
		}
	}
	g.mu.Unlock()
	g.sendNews(requests)
}

// sendNews sends what is known of requests.
func (g *Guard) sendNews(requests []quarantine.Fingerprint) {
	now := clock.Now()
	var part []quarantine.Evidence
	for _, request := range requests[:min(len(requests), newsMost)] {
		if told, known := g.ledger.Tell(now, request); known {
			part = append(part, told)
		}
		if len(part) == newsParts {
			g.config.Send(part)
			part = nil
		}
	}
	if len(part) > 0 {
		g.config.Send(part)
	}
}

// tellAgain tells the news once more that were not told often enough.
func (g *Guard) tellAgain() {
	g.mu.Lock()
	var due []quarantine.Fingerprint
	for request, times := range g.news {
		due = append(due, request)
		if times <= 1 {
			delete(g.news, request)
			continue
		}
		g.news[request] = times - 1
	}
	g.mu.Unlock()
	g.sendNews(due)
}
