package guard

import (
	"slices"
	"sync"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/quarantine"
)

const (
	// unprovenDelay is the time after such an answer within which a crash mostly shows by itself.
	unprovenDelay = 250 * time.Millisecond
	// unprovenRetention is the time for which an answer waits for a probe of its back end.
	unprovenRetention = 10 * time.Second
	// maxUnproven is the number of the newest such answers that are remembered.
	maxUnproven = 512
)

// unprovenAnswer is an answer that ended with its connection: a crash looks the same.
type unprovenAnswer struct {
	target  Target
	request quarantine.Fingerprint
	key     quarantine.SuccessKey
	parts   []quarantine.Part
	at      time.Time
	// probed is whether the back end is being probed since.
	probed bool
}

// unprovenAnswers remembers the newest answers without a proven end, in order of time. It is safe for
// concurrent use.
type unprovenAnswers struct {
	mu  sync.Mutex
	all []unprovenAnswer
}

func (u *unprovenAnswers) add(answer unprovenAnswer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.all) == maxUnproven {
		u.all = u.all[1:]
	}
	u.all = append(u.all, answer)
}

// due returns the answers from before a time whose back ends are not probed yet, and marks them as probed.
// It drops those that have waited for too long.
func (u *unprovenAnswers) due(now, limit time.Time) []unprovenAnswer {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.all = slices.DeleteFunc(u.all, func(answer unprovenAnswer) bool { return now.Sub(answer.at) > unprovenRetention })
	var due []unprovenAnswer
	for index := range u.all {
		if answer := &u.all[index]; !answer.probed && answer.at.Before(limit) {
			answer.probed = true
			due = append(due, *answer)
		}
	}
	return due
}

// take removes and returns the answers of an incarnation from before a time.
func (u *unprovenAnswers) take(incarnation ident.Incarnation, limit time.Time) []unprovenAnswer {
	u.mu.Lock()
	defer u.mu.Unlock()
	var taken []unprovenAnswer
	u.all = slices.DeleteFunc(u.all, func(answer unprovenAnswer) bool {
		found := answer.target.Incarnation == incarnation && answer.at.Before(limit)
		if found {
			taken = append(taken, answer)
		}
		return found
	})
	return taken
}

// ObserveUnproven records a success that ended with its connection, without a length or chunks. It may have
// been cut off by a crash.
func (g *Guard) ObserveUnproven(now time.Time, request *quarantine.Subject, target Target) {
	g.ObserveAbandoned(now, request, target)
	g.unproven.add(unprovenAnswer{
		target: target, request: request.Fingerprint(), key: g.successes.Key(&request.Identity), parts: request.Parts(), at: now,
	})
}

// checkUnproven probes the back ends of answers without a proven end, unless all parts of the prompts have
// succeeded since at this router. An answer without a prompt is a success if no crash is known.
func (g *Guard) checkUnproven(now time.Time) {
	for _, answer := range g.unproven.due(now, now.Add(-unprovenDelay)) {
		switch {
		case g.ledger.HasCrashed(answer.target.Incarnation):
		case len(answer.parts) == 0:
			g.recordProven(answer)
		case len(g.suspectParts(now, answer.parts)) > 0:
			g.checks.observeBroken(now, answer.target)
		}
	}
}

// recordAlive records the successes of a back end that was alive after a time.
func (g *Guard) recordAlive(incarnation ident.Incarnation, probedAt time.Time) {
	for _, answer := range g.unproven.take(incarnation, probedAt) {
		g.recordProven(answer)
	}
}

func (g *Guard) recordProven(answer unprovenAnswer) {
	g.successes.AddKey(answer.at, answer.key)
	g.partSuccesses.AddParts(answer.at, answer.parts)
	if !g.ledger.Empty() {
		g.recordSuccesses(answer.at, answer.request, answer.parts)
	}
}
