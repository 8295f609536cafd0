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
	// Request is the fingerprint of the request, or of the quarantined part of its prompt.
	Request Fingerprint
	// PartID is the id of that part, empty if the request itself is quarantined.
	PartID string
	// Quarantined are the fingerprints for each of which a trial must be granted.
	Quarantined []Fingerprint
	// Crashes are those of incarnations that ran the request, since its last success.
	Crashes []Crash
	// Trials is the number of trials used up.
	Trials int
	// TrialDue is true if a trial of the request may be granted.
	TrialDue bool
	// RetryAfter is the time after which the client may retry.
	RetryAfter time.Duration
}

// String returns the reason for the quarantine, as sent to clients.
func (d *Decision) String() string {
	if d.PartID != "" {
		return fmt.Sprintf(
			"%d back ends crashed while they ran prompts with the part %s, which has the fingerprint %s", len(d.Crashes), d.PartID, d.Request,
		)
	}
	return fmt.Sprintf("%d back ends crashed while they ran this request, which has the fingerprint %s", len(d.Crashes), d.Request)
}

// Check returns the decision on a quarantined request or part, nil if it may be sent.
func (l *Ledger) Check(now time.Time, request Fingerprint) *Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.decide(now, request)
}

// decide is Check; the mutex is held.
func (l *Ledger) decide(now time.Time, request Fingerprint) *Decision {
	known := l.suspects[request]
	if known == nil || !l.quarantined(request, known) {
		return nil
	}
	record := l.trialRecordOf(request, known)
	decision := &Decision{
		Request: request, Quarantined: []Fingerprint{request}, Crashes: slices.Clone(record.crashes), Trials: record.used(),
		RetryAfter: QuarantinedRetryAfter,
	}
	if due, more := record.next(); more {
		decision.TrialDue = !now.Before(due)
		decision.RetryAfter = max(due.Sub(now), minRetryAfter)
	}
	return decision
}

// trialRecord is what decides when a quarantined request or part may be tried again.
type trialRecord struct {
	crashes []Crash
	// needed is the number of crashes that led to the quarantine.
	needed int
	trials int
	lastAt time.Time
}

// trialRecordOf returns the record of a quarantined request, or of a part in all scopes; the mutex is held.
func (l *Ledger) trialRecordOf(request Fingerprint, known *suspect) trialRecord {
	if group := l.groupOf(request); request.IsPart() && group != nil {
		trials, lastAt := group.trials()
		crashes := group.crashes
		if len(crashes) < partCrashesToQuarantine {
			crashes = known.countedCrashes()
		}
		return trialRecord{crashes: crashes, needed: partCrashesToQuarantine, trials: trials, lastAt: lastAt}
	}
	return trialRecord{crashes: known.countedCrashes(), needed: crashesToQuarantine, trials: known.trials, lastAt: known.trialAt}
}

// used returns the number of trials used up. A crash after propagationTime counts as a trial: a router that
// was cut off or paused has sent the request.
func (r *trialRecord) used() int {
	if len(r.crashes) < r.needed {
		return r.trials
	}
	propagatedAt := r.crashes[r.needed-1].At.Add(propagationTime)
	late := 0
	for _, crash := range r.crashes {
		if crash.At.After(propagatedAt) {
			late++
		}
	}
	return max(r.trials, late)
}

// next returns when a trial may be granted, if ever.
func (r *trialRecord) next() (due time.Time, more bool) {
	used := r.used()
	if used >= maxTrials {
		return time.Time{}, false
	}
	last := r.lastAt
	for _, crash := range r.crashes {
		if crash.At.After(last) {
			last = crash.At
		}
	}
	return last.Add(trialPauses[used]), true
}

// TrialAllowed reports whether another trial may be granted, by the trials and the time since
// the last one in the store.
func TrialAllowed(trials int, since time.Duration) bool {
	return trials < maxTrials && (trials == 0 || since >= trialPauses[trials])
}
