package quarantine

import (
	"fmt"
	"slices"
	"time"
)

const (
	// maxTrials is the number of trials of a quarantined request over all routers. It leaves
	// one of three allowed attempts for a copy that was already in flight.
	maxTrials = 2
	// QuarantinedRetryAfter is the Retry-After of a request without a further trial.
	QuarantinedRetryAfter = 10 * time.Minute
	// minRetryAfter bounds Retry-After: earlier retries would only repeat the request.
	minRetryAfter = 10 * time.Second
)

// trialPauses are the times before the first and second trial, since the last crash or trial.
// The first is short for requests quarantined wrongly. After a crash in the first trial the
// request is probably the cause, and another crash would break all other requests of the back end.
var trialPauses = [maxTrials]time.Duration{10 * time.Second, 10 * time.Minute}

// Decision states why a request may not be sent.
type Decision struct {
	Request Fingerprint
	// Crashes are those of incarnations that ran the request, since its last success.
	Crashes []Crash
	Trials  int
	// TrialDue is true if a trial of the request may be granted.
	TrialDue bool
	// RetryAfter is the time after which the client may retry.
	RetryAfter time.Duration
}

// String returns the reason for the quarantine, as sent to clients.
func (d *Decision) String() string {
	return fmt.Sprintf("%d back ends crashed while they ran this request, which has the fingerprint %s", len(d.Crashes), d.Request)
}

// Check returns the decision on a quarantined request, nil if the request may be sent.
func (l *Ledger) Check(now time.Time, request Fingerprint) *Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.suspects[request]
	if known == nil || !known.quarantined() {
		return nil
	}
	decision := &Decision{Request: request, Crashes: slices.Clone(known.countedCrashes()), Trials: known.trials, RetryAfter: QuarantinedRetryAfter}
	if due, more := known.nextTrial(); more {
		decision.TrialDue = !now.Before(due)
		decision.RetryAfter = max(due.Sub(now), minRetryAfter)
	}
	return decision
}

// nextTrial returns when a quarantined request may be tried again, if ever. A crash after
// propagationTime counts as a trial: a router that was cut off or paused has sent the request.
func (s *suspect) nextTrial() (due time.Time, more bool) {
	crashes := s.countedCrashes()
	propagatedAt := crashes[crashesToQuarantine-1].At.Add(propagationTime)
	late := 0
	for _, crash := range crashes {
		if crash.At.After(propagatedAt) {
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

// TrialAllowed reports whether another trial may be granted, by the trials and the time since
// the last one in the store.
func TrialAllowed(trials int, since time.Duration) bool {
	return trials < maxTrials && (trials == 0 || since >= trialPauses[trials])
}
