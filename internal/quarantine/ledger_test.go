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

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func fingerprint(number int) quarantine.Fingerprint {
	identity := quarantine.Identity{Body: fmt.Append(nil, number)}
	return identity.Fingerprint()
}

func life(number int) ident.Incarnation { return ident.Incarnation(fmt.Sprint("e", number)) }

// event is something that happens to request 0 some seconds after the begin.
type event struct {
	at float64
	// crash names the life that ended, 0 none.
	crash    int
	answered bool
	lifted   bool
}

func play(ledger *quarantine.Ledger, events []event) {
	for _, e := range events {
		now := begin.Add(time.Duration(e.at * float64(time.Second)))
		switch {
		case e.answered:
			ledger.Answered(now, fingerprint(0))
		case e.lifted:
			ledger.Lift(now, fingerprint(0))
		default:
			ledger.Crashed(now, life(e.crash), []quarantine.Fingerprint{fingerprint(0)})
		}
	}
}

func TestARequestIsHeldOnceThreeLivesCrashedUnderIt(t *testing.T) {
	crash := func(at float64, life int) event { return event{at: at, crash: life} }
	answered := func(at float64) event { return event{at: at, answered: true} }
	tests := []struct {
		name   string
		events []event
		held   bool
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
		{"lifted by an operator", []event{crash(1, 1), crash(2, 2), crash(3, 3), {at: 4, lifted: true}}, false},
		{"lifted wrongly", []event{crash(1, 1), crash(2, 2), crash(3, 3), {at: 4, lifted: true}, crash(5, 4), crash(6, 5), crash(7, 6)}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ledger := quarantine.NewLedger()
			play(ledger, tt.events)
			is.Equal(ledger.Judge(begin.Add(time.Minute), fingerprint(0)) != nil, tt.held)
			is.True(ledger.Judge(begin.Add(time.Minute), fingerprint(1)) == nil)
		})
	}
}

// What routers know merges to the same verdict in any order, however often it is told.
func TestWhatIsToldMergesInAnyOrder(t *testing.T) {
	is := is.New(t)
	now := begin.Add(20 * time.Second)
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 3))
		var all []event
		for range 1 + random.IntN(8) {
			all = append(all, event{at: random.Float64() * 15, crash: 1 + random.IntN(5), answered: random.IntN(8) == 0})
		}
		whole := quarantine.NewLedger()
		play(whole, all)
		var told []quarantine.Evidence
		for _, e := range all {
			one := quarantine.NewLedger()
			play(one, []event{{at: e.at, crash: e.crash}})
			if e.answered {
				play(one, []event{e})
			}
			tell, _ := one.Tell(now, fingerprint(0))
			if e.answered {
				tell.Crashes = nil
			}
			told = append(told, tell, tell)
		}
		merged := []*quarantine.Ledger{quarantine.NewLedger(), quarantine.NewLedger()}
		for _, ledger := range merged {
			random.Shuffle(len(told), func(i, j int) { told[i], told[j] = told[j], told[i] })
			ledger.Take(now, told)
		}
		a, b := merged[0].Judge(now, fingerprint(0)), merged[1].Judge(now, fingerprint(0))
		is.Equal(a != nil, b != nil)
	}
}

func TestTrialsAreFewAndFarBetween(t *testing.T) {
	is := is.New(t)
	ledger := quarantine.NewLedger()
	play(ledger, []event{{at: 1, crash: 1}, {at: 2, crash: 2}, {at: 3, crash: 3}})
	at := func(seconds float64) *quarantine.Decision {
		return ledger.Judge(begin.Add(time.Duration(seconds*float64(time.Second))), fingerprint(0))
	}
	is.True(!at(12.9).TrialDue)
	is.Equal(at(4).RetryAfter, 10*time.Second)
	is.True(at(13).TrialDue)
	ledger.Tried(fingerprint(0), 1, begin.Add(13*time.Second))
	play(ledger, []event{{at: 13.1, crash: 4}})
	is.True(!at(613).TrialDue)
	is.True(at(614).TrialDue)
	ledger.Tried(fingerprint(0), 2, begin.Add(614*time.Second))
	is.True(!at(1e6).TrialDue)
	is.Equal(at(1e6).RetryAfter, quarantine.HeldRetryAfter)
}

// A router that was cut off may send the request after all others learnt of it: that is one
// of the few sendings there may be.
func TestLateCrashesCountAsTrials(t *testing.T) {
	is := is.New(t)
	ledger := quarantine.NewLedger()
	play(ledger, []event{{at: 1, crash: 1}, {at: 1, crash: 2}, {at: 1, crash: 3}, {at: 3, crash: 4}, {at: 9, crash: 5}, {at: 10, crash: 6}})
	is.True(!ledger.Judge(begin.Add(time.Hour), fingerprint(0)).TrialDue)
}

func TestWhoKnowsMoreIsTold(t *testing.T) {
	is := is.New(t)
	one, two := quarantine.NewLedger(), quarantine.NewLedger()
	play(one, []event{{at: 1, crash: 1}, {at: 2, crash: 2}})
	play(two, []event{{at: 3, crash: 3}})
	told, _ := two.Tell(begin.Add(4*time.Second), fingerprint(0))
	_, more := one.Take(begin.Add(4*time.Second), []quarantine.Evidence{told})
	is.Equal(len(more), 1)
	told, _ = one.Tell(begin.Add(4*time.Second), fingerprint(0))
	held, more := two.Take(begin.Add(4*time.Second), []quarantine.Evidence{told})
	is.Equal(len(held), 1)
	is.Equal(len(more), 0)
}

func TestEvidenceIsBounded(t *testing.T) {
	is := is.New(t)
	ledger := quarantine.NewLedger()
	play(ledger, []event{{at: 1, crash: 1}, {at: 1, crash: 2}, {at: 1, crash: 3}})
	for number := range 10_000 {
		ledger.Crashed(begin.Add(time.Second), life(4), []quarantine.Fingerprint{fingerprint(1 + number)})
	}
	held, suspects := ledger.Counts()
	is.Equal(held, 1)
	is.Equal(suspects, 2048)
	ledger.Forget(begin.Add(time.Hour))
	held, suspects = ledger.Counts()
	is.Equal(held, 1)
	is.Equal(suspects, 1)
}

func TestARecentSuccessIsRemembered(t *testing.T) {
	is := is.New(t)
	successes := quarantine.NewSuccesses()
	now := time.Now().Add(time.Millisecond)
	asked := &quarantine.Identity{Tenant: "t", Target: "/x", Body: []byte("hot")}
	_, found := successes.Last(now, asked)
	is.True(!found)
	successes.Add(now, asked)
	at, found := successes.Last(now.Add(9*time.Second), asked)
	is.True(found)
	is.Equal(at.Sub(now), time.Duration(0))
	_, found = successes.Last(now.Add(11*time.Second), asked)
	is.True(!found)
	_, found = successes.Last(now, &quarantine.Identity{Tenant: "u", Target: "/x", Body: []byte("hot")})
	is.True(!found)
}

// A verdict is read while further crashes are told, which are sorted in.
func TestAVerdictDoesNotChangeOnceItWasGiven(t *testing.T) {
	is := is.New(t)
	ledger := quarantine.NewLedger()
	play(ledger, []event{{at: 3, crash: 1}, {at: 4, crash: 2}, {at: 5, crash: 3}, {at: 6, crash: 4}, {at: 7, crash: 5}, {at: 8, crash: 6}})
	verdict := ledger.Judge(begin.Add(time.Minute), fingerprint(0))
	play(ledger, []event{{at: 2, crash: 6}})
	is.Equal(verdict.Crashes[0].Incarnation, life(1))
}
