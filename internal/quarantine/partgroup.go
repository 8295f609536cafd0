package quarantine

import (
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

const (
	// partCrashesToQuarantine is the number of crash times that count against a part before it is
	// quarantined. It is larger than for requests: many harmless parts are open at each crash.
	partCrashesToQuarantine = 4
	// PartSuccessTTL is the time after a success of a part during which crashes are no evidence. It
	// is short, as a part that was answered for long may crash back ends from now on.
	PartSuccessTTL = 2500 * time.Millisecond
	// PartProgress is the time since the first byte of an answer after which its parts are no cause of
	// a crash: back ends crash as they begin to write. It is also the time between two reports of progress.
	PartProgress = time.Second
	// simultaneity is the time within which crashes of several incarnations count as one. They have
	// another cause if the part did not run on otherCrashes of them or more; a single one may be due to
	// a second such part.
	simultaneity = 50 * time.Millisecond
	otherCrashes = 2
	// crashesToSuspect is the number of crashes from which on a part is under suspicion.
	crashesToSuspect = 2
)

// partGroup is the evidence on one part in all its scopes, with the decision as of a revision of the
// ledger.
type partGroup struct {
	scopes   map[Fingerprint]*suspect
	revision uint64
	// crashes are those that count, one for each time; lives are all incarnations that crashed.
	crashes []Crash
	lives   map[ident.Incarnation]struct{}
}

// quarantined reports whether enough crashes count against the part.
func (g *partGroup) quarantined() bool { return len(g.crashes) >= partCrashesToQuarantine }

// heldInAny reports whether the part is quarantined in a scope.
func (g *partGroup) heldInAny() bool {
	for _, known := range g.scopes {
		if known.held {
			return true
		}
	}
	return false
}

// explains reports whether all crashes that count against another part occurred under this one.
func (g *partGroup) explains(other *partGroup) bool {
	return !slices.ContainsFunc(other.crashes, func(crash Crash) bool {
		_, both := g.lives[crash.Incarnation]
		return !both
	})
}

// trials returns the trials granted in all scopes, and when the last one was.
func (g *partGroup) trials() (count int, last time.Time) {
	for _, known := range g.scopes {
		count += known.trials
		if known.trialAt.After(last) {
			last = known.trialAt
		}
	}
	return count, last
}

// groupOf returns the group of a part with its current decision, nil if there is none; the mutex is held.
func (l *Ledger) groupOf(part Fingerprint) *partGroup { return l.group(part.partKey()) }

func (l *Ledger) group(key partKey) *partGroup {
	group := l.groups[key]
	if group == nil || group.revision == l.revision {
		return group
	}
	group.revision = l.revision
	group.lives = make(map[ident.Incarnation]struct{})
	var counted []Crash
	for _, known := range group.scopes {
		counted = append(counted, known.countedCrashes()...)
		for _, crash := range known.crashes {
			group.lives[crash.Incarnation] = struct{}{}
		}
	}
	group.crashes = l.attributed(group, counted)
	for _, known := range group.scopes {
		known.updatePart(group)
	}
	return group
}

// updatePart records whether the part is quarantined in one scope. That lasts until a success: crashes of
// others that are reported late do not end it.
func (s *suspect) updatePart(group *partGroup) {
	s.held = len(s.countedCrashes()) > 0 && (s.held || group.quarantined())
	s.wasHeld = s.wasHeld || s.held
}

// attributed returns the crashes that count against a part, one for each time, in order of time; the mutex
// is held.
func (l *Ledger) attributed(group *partGroup, crashes []Crash) []Crash {
	if len(crashes) < crashesToSuspect {
		return crashes
	}
	slices.SortFunc(crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
	var attributed []Crash
	for _, crash := range crashes {
		last := len(attributed) - 1
		if last >= 0 && crash.At.Sub(attributed[last].At) < simultaneity || l.othersCrashed(group, crash.At) {
			continue
		}
		attributed = append(attributed, crash)
	}
	return attributed
}

// othersCrashed reports whether several incarnations that did not run the part crashed at about a time; the
// mutex is held.
func (l *Ledger) othersCrashed(group *partGroup, at time.Time) bool {
	others := 0
	for incarnation, crashedAt := range l.lives {
		if _, ran := group.lives[incarnation]; !ran && crashedAt.Sub(at).Abs() < simultaneity {
			others++
		}
	}
	return others >= otherCrashes
}

// recordLife records when an incarnation crashed; the mutex is held.
func (l *Ledger) recordLife(crash Crash) {
	if at, known := l.lives[crash.Incarnation]; !known || crash.At.Before(at) {
		l.lives[crash.Incarnation] = crash.At
	}
}

// Suspected reports whether one of the parts has crashed back ends repeatedly, quarantined or not.
func (l *Ledger) Suspected(parts []Part) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(parts, func(part Part) bool {
		group := l.groupOf(part.Fingerprint)
		return group != nil && len(group.crashes) >= crashesToSuspect
	})
}

// HasCrashed reports whether an incarnation is known to have crashed.
func (l *Ledger) HasCrashed(incarnation ident.Incarnation) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, crashed := l.lives[incarnation]
	return crashed
}

// CrashedParts returns the parts against which crashes count.
func (l *Ledger) CrashedParts() []Fingerprint {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []Fingerprint
	for _, group := range l.groups {
		for part, known := range group.scopes {
			if len(known.countedCrashes()) > 0 {
				all = append(all, part)
			}
		}
	}
	return all
}

// CheckParts returns the decision on the first quarantined part of a prompt, nil if there is none.
func (l *Ledger) CheckParts(now time.Time, parts []Part) *Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	var decision *Decision
	var quarantined []Fingerprint
	for _, part := range parts {
		known := l.suspects[part.Fingerprint]
		if known == nil || !l.quarantined(part.Fingerprint, known) {
			continue
		}
		if decision == nil {
			decision = l.decide(now, part.Fingerprint)
			decision.PartID = part.ID
		}
		quarantined = append(quarantined, part.Fingerprint)
	}
	if decision == nil {
		return nil
	}
	decision.Quarantined = quarantined
	// One quarantined part alone can be told apart from the others by a trial at once.
	if len(quarantined) == 1 && decision.Trials == 0 && l.explained(quarantined[0], parts) {
		decision.TrialDue = true
	}
	return decision
}

// explained reports whether another quarantined part, which the prompt does not have, explains all crashes
// under a part; the mutex is held.
func (l *Ledger) explained(part Fingerprint, prompt []Part) bool {
	group := l.groupOf(part)
	for key := range l.groups {
		if slices.ContainsFunc(prompt, func(p Part) bool { return p.Fingerprint.partKey() == key }) {
			continue
		}
		if other := l.group(key); other.heldInAny() && other.explains(group) {
			return true
		}
	}
	return false
}
