package quarantine

import (
	"fmt"
	"slices"
	"time"
)

const (
	// maxTrials bounds how often a held request is sent once more, over all routers; one of
	// the three sendings that are allowed is left for a copy that was under way.
	maxTrials = 2
	// HeldRetryAfter is told to callers of a request that is not tried again by itself.
	HeldRetryAfter = 10 * time.Minute
	// leastRetryAfter is the least that callers are told: a short time would bring it back.
	leastRetryAfter = 10 * time.Second
)

// trialPauses are the times before the first and second trial, since the last crash or trial.
// Whoever asked for a request that was held wrongly has it back in 10 s. After a first trial that
// crashed its back end too, a fourth one in a row, the request is hardly innocent, and a trial costs
// all that runs beside it (two to nine streams of other callers with each crash, logs of a
// deployment): the second one has time.
var trialPauses = [maxTrials]time.Duration{10 * time.Second, 10 * time.Minute}

// Decision says why a request is not sent on.
type Decision struct {
	Request Fingerprint
	// Crashes are the lives that ended under it with no success in between.
	Crashes []Crash
	Trials  int
	// TrialDue says that it may be tried once more, if the trial is granted.
	TrialDue bool
	// RetryAfter is when a caller may come back.
	RetryAfter time.Duration
}

// String says why the request is held, to its callers.
func (v *Decision) String() string {
	return fmt.Sprintf("%d back ends crashed while they ran this request, which has the fingerprint %s", len(v.Crashes), v.Request)
}

// Judge returns the verdict on a request, nil if it may be sent.
func (l *Ledger) Judge(now time.Time, request Fingerprint) *Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.suspects[request]
	if known == nil || !known.held() {
		return nil
	}
	verdict := &Decision{Request: request, Crashes: slices.Clone(known.counted()), Trials: known.trials, RetryAfter: HeldRetryAfter}
	if due, more := known.trialAfter(); more {
		verdict.TrialDue = !now.Before(due)
		verdict.RetryAfter = max(due.Sub(now), leastRetryAfter)
	}
	return verdict
}

// trialAfter returns when a held request may be tried again, if ever. A crash after all
// routers had time to learn the verdict counts as a trial: a router that was cut off or stood
// still has sent the request.
func (s *suspect) trialAfter() (due time.Time, more bool) {
	crashes := s.counted()
	learnt := crashes[crashesToHold-1].At.Add(learnFor)
	late := 0
	for _, crash := range crashes {
		if crash.At.After(learnt) {
			late++
		}
	}
	used := max(s.trials, late)
	if used >= maxTrials {
		return time.Time{}, false
	}
	last := crashes[len(crashes)-1].At
	if s.trialAt.After(last) {
		last = s.trialAt
	}
	return last.Add(trialPauses[used]), true
}

// GrantTrial reports whether a trial may be granted after a number of others, the last one a
// time ago. It is asked with what the store keeps.
func GrantTrial(trials int, since time.Duration) bool {
	return trials < maxTrials && (trials == 0 || since >= trialPauses[trials])
}
