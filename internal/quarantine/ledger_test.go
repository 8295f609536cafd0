package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/quarantine"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func fingerprint(number int) quarantine.Fingerprint {
	identity := quarantine.Identity{Body: fmt.Append(nil, number)}
	return identity.Fingerprint()
}

func incarnation(number int) ident.Incarnation { return ident.Incarnation(fmt.Sprint("e", number)) }

// event is an event on request 0, in seconds after startTime.
type event struct {
	at float64
	// crashed is the number of the incarnation that crashed, 0 for none.
	crashed  int
	answered bool
	released bool
}

func apply(ledger *quarantine.Ledger, events []event) {
	for _, e := range events {
		now := startTime.Add(time.Duration(e.at * float64(time.Second)))
		switch {
		case e.answered:
			ledger.RecordSuccess(now, fingerprint(0))
		case e.released:
			ledger.Release(now, fingerprint(0))
		default:
			ledger.RecordCrash(now, incarnation(e.crashed), []quarantine.Fingerprint{fingerprint(0)})
		}
	}
}

func TestThreeCrashesQuarantineRequest(t *testing.T) {
	crash := func(at float64, number int) event { return event{at: at, crashed: number} }
	answered := func(at float64) event { return event{at: at, answered: true} }
	tests := []struct {
		name        string
		events      []event
		quarantined bool
	}{
		{"nothing", nil, false},
		{"two crashes", []event{crash(1, 1), crash(2, 2)}, false},
		{"three", []event{crash(1, 1), crash(2, 2), crash(3, 3)}, true},
		{"three copies at one engine", []event{crash(1, 1), crash(1, 1), crash(1, 1)}, false},
		{"three at the same moment", []event{crash(1, 1), crash(1, 2), crash(1, 3)}, true},
		{"an answer between", []event{crash(1, 1), crash(2, 2), answered(2.5), crash(3, 3)}, false},
		{"an answer before", []event{crash(1, 1), answered(2), crash(3, 2), crash(4, 3), crash(5, 4)}, false},
		{"an answer long before", []event{crash(1, 1), answered(2), crash(13, 2), crash(14, 3), crash(15, 4)}, true},
		{"an answer after", []event{crash(1, 1), crash(1, 2), crash(1, 3), answered(1.2)}, false},
		{"released by an operator", []event{crash(1, 1), crash(2, 2), crash(3, 3), {at: 4, released: true}}, false},
		{"released wrongly", []event{crash(1, 1), crash(2, 2), crash(3, 3), {at: 4, released: true}, crash(5, 4), crash(6, 5), crash(7, 6)}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ledger := quarantine.NewLedger()
			apply(ledger, tt.events)
			is.Equal(ledger.Check(startTime.Add(time.Minute), fingerprint(0)) != nil, tt.quarantined)
			is.True(ledger.Check(startTime.Add(time.Minute), fingerprint(1)) == nil)
		})
	}
}

// Evidence merges to the same decision in any order, however often it is received.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	is := is.New(t)
	now := startTime.Add(20 * time.Second)
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 3))
		var all []event
		for range 1 + random.IntN(8) {
			all = append(all, event{at: random.Float64() * 15, crashed: 1 + random.IntN(5), answered: random.IntN(8) == 0})
		}
		whole := quarantine.NewLedger()
		apply(whole, all)
		var evidence []quarantine.Evidence
		for _, e := range all {
			one := quarantine.NewLedger()
			apply(one, []event{{at: e.at, crashed: e.crashed}})
			if e.answered {
				apply(one, []event{e})
			}
			single, _ := one.Evidence(now, fingerprint(0))
			if e.answered {
				single.Crashes = nil
			}
			evidence = append(evidence, single, single)
		}
		merged := []*quarantine.Ledger{quarantine.NewLedger(), quarantine.NewLedger()}
		for _, ledger := range merged {
			random.Shuffle(len(evidence), func(i, j int) { evidence[i], evidence[j] = evidence[j], evidence[i] })
			ledger.Merge(now, evidence)
		}
		a, b := merged[0].Check(now, fingerprint(0)), merged[1].Check(now, fingerprint(0))
		is.Equal(a != nil, b != nil)
	}
}

func TestTrialSchedule(t *testing.T) {
	is := is.New(t)
	ledger := quarantine.NewLedger()
	apply(ledger, []event{{at: 1, crashed: 1}, {at: 2, crashed: 2}, {at: 3, crashed: 3}})
	at := func(seconds float64) *quarantine.Decision {
		return ledger.Check(startTime.Add(time.Duration(seconds*float64(time.Second))), fingerprint(0))
	}
	is.True(!at(12.9).TrialDue)
	is.Equal(at(4).RetryAfter, 10*time.Second)
	is.True(at(13).TrialDue)
	ledger.RecordTrials(fingerprint(0), 1, startTime.Add(13*time.Second))
	apply(ledger, []event{{at: 13.1, crashed: 4}})
	is.True(!at(613).TrialDue)
	is.True(at(614).TrialDue)
	ledger.RecordTrials(fingerprint(0), 2, startTime.Add(614*time.Second))
	is.True(!at(1e6).TrialDue)
	is.Equal(at(1e6).RetryAfter, quarantine.QuarantinedRetryAfter)
}

// A crash after all routers got the quarantine comes from a router that was cut off, and uses
// up a trial.
func TestLateCrashesCountAsTrials(t *testing.T) {
	is := is.New(t)
	ledger := quarantine.NewLedger()
	apply(ledger, []event{{at: 1, crashed: 1}, {at: 1, crashed: 2}, {at: 1, crashed: 3}, {at: 3, crashed: 4}, {at: 9, crashed: 5}, {at: 10, crashed: 6}})
	is.True(!ledger.Check(startTime.Add(time.Hour), fingerprint(0)).TrialDue)
}

func TestMergeReportsMissingEvidence(t *testing.T) {
	is := is.New(t)
	one, two := quarantine.NewLedger(), quarantine.NewLedger()
	apply(one, []event{{at: 1, crashed: 1}, {at: 2, crashed: 2}})
	apply(two, []event{{at: 3, crashed: 3}})
	evidence, _ := two.Evidence(startTime.Add(4*time.Second), fingerprint(0))
	_, more := one.Merge(startTime.Add(4*time.Second), []quarantine.Evidence{evidence})
	is.Equal(len(more), 1)
	evidence, _ = one.Evidence(startTime.Add(4*time.Second), fingerprint(0))
	quarantined, more := two.Merge(startTime.Add(4*time.Second), []quarantine.Evidence{evidence})
	is.Equal(len(quarantined), 1)
	is.Equal(len(more), 0)
}

func TestEvidenceIsBounded(t *testing.T) {
	is := is.New(t)
	ledger := quarantine.NewLedger()
	apply(ledger, []event{{at: 1, crashed: 1}, {at: 1, crashed: 2}, {at: 1, crashed: 3}})
	for number := range 10_000 {
		ledger.RecordCrash(startTime.Add(time.Second), incarnation(4), []quarantine.Fingerprint{fingerprint(1 + number)})
	}
	is.Equal(ledger.Counts(), quarantine.Counts{Requests: 1, SuspectRequests: 2048})
	ledger.Expire(startTime.Add(time.Hour))
	is.Equal(ledger.Counts(), quarantine.Counts{Requests: 1, SuspectRequests: 1})
}

func TestRecentSuccessIsFound(t *testing.T) {
	is := is.New(t)
	successes := quarantine.NewSuccesses()
	now := time.Now().Add(time.Millisecond)
	request := &quarantine.Identity{Tenant: "t", Target: "/x", Body: []byte("hot")}
	_, found := successes.Last(now, request)
	is.True(!found)
	successes.Add(now, request)
	at, found := successes.Last(now.Add(9*time.Second), request)
	is.True(found)
	is.Equal(at.Sub(now), time.Duration(0))
	_, found = successes.Last(now.Add(11*time.Second), request)
	is.True(!found)
	_, found = successes.Last(now, &quarantine.Identity{Tenant: "u", Target: "/x", Body: []byte("hot")})
	is.True(!found)
}

// A decision is read concurrently with Merge, which sorts in further crashes.
func TestDecisionIsNotChangedByLaterCrashes(t *testing.T) {
	is := is.New(t)
	ledger := quarantine.NewLedger()
	apply(ledger, []event{{at: 3, crashed: 1}, {at: 4, crashed: 2}, {at: 5, crashed: 3}, {at: 6, crashed: 4}, {at: 7, crashed: 5}, {at: 8, crashed: 6}})
	decision := ledger.Check(startTime.Add(time.Minute), fingerprint(0))
	apply(ledger, []event{{at: 2, crashed: 6}})
	is.Equal(decision.Crashes[0].Incarnation, incarnation(1))
}
