package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/quarantine"
)

// prompt returns a request of a tenant whose prompt has these shared parts.
func prompt(tenant ident.Tenant, parts ...string) *quarantine.Subject {
	return &quarantine.Subject{Identity: quarantine.Identity{Tenant: tenant}, Model: "m", SharedParts: slices.Values(parts)}
}

// partEvent is an event in seconds after startTime: the crash of an incarnation under a prompt, or its
// success if the incarnation is 0.
type partEvent struct {
	at      float64
	crashed int
	prompt  *quarantine.Subject
}

func applyParts(ledger *quarantine.Ledger, events []partEvent) {
	for _, e := range events {
		now := startTime.Add(time.Duration(e.at * float64(time.Second)))
		var parts []quarantine.Fingerprint
		for _, part := range e.prompt.Parts() {
			parts = append(parts, part.Fingerprint)
		}
		if e.crashed != 0 {
			ledger.RecordCrash(now, incarnation(e.crashed), parts)
			continue
		}
		for _, part := range parts {
			ledger.RecordSuccess(now, part)
		}
	}
}

// crashSeries returns crashes of different incarnations under a prompt, one a second.
func crashSeries(from float64, count int, prompt *quarantine.Subject) []partEvent {
	var events []partEvent
	for index := range count {
		events = append(events, partEvent{from + float64(index), 100*int(from) + index + 1, prompt})
	}
	return events
}

func TestPartIsQuarantinedWhereItCrashesBackends(t *testing.T) {
	bad, companion := prompt("a", "first", "bad"), prompt("a", "first", "companion", "bad")
	sound, worse := prompt("a", "first", "other"), prompt("a", "worse")
	tests := []struct {
		name   string
		events []partEvent
		asked  *quarantine.Subject
		// held is the first quarantined part, empty for none.
		held string
	}{
		{"three crashes", crashSeries(1, 3, bad), bad, ""},
		{"four", crashSeries(1, 4, bad), prompt("a", "bad"), "bad"},
		{"four, and a part that was answered since", append(crashSeries(1, 4, bad), partEvent{at: 4.5, prompt: sound}), sound, ""},
		{"the bad one of those", append(crashSeries(1, 4, bad), partEvent{at: 4.5, prompt: sound}), bad, "bad"},
		{"an answer between", append(crashSeries(1, 3, bad), partEvent{at: 3.5, prompt: bad}, partEvent{4, 9, bad}), bad, ""},
		{"answered before, and from then on no more", append([]partEvent{{at: 1, prompt: bad}}, crashSeries(4, 4, bad)...), bad, "first"},
		{"a companion that was answered alone", append(crashSeries(1, 4, companion), partEvent{at: 4.2, prompt: prompt("a", "companion")}), prompt("a", "companion"), ""},
		{"at the same time as others that have other causes", []partEvent{
			{1, 1, bad}, {1.001, 2, sound}, {1.002, 9, sound}, {2, 3, bad}, {2.001, 4, sound}, {2.002, 10, sound},
			{3, 5, bad}, {3.001, 6, sound}, {3.002, 11, sound}, {4, 7, bad}, {4.001, 8, sound}, {4.002, 12, sound},
		}, bad, ""},
		{"two such parts at the same time", []partEvent{
			{1, 1, bad}, {1.001, 2, worse}, {2, 3, bad}, {2.001, 4, worse}, {3, 5, bad}, {3.001, 6, worse}, {4, 7, bad}, {4.001, 8, worse},
		}, worse, "worse"},
		{"several incarnations at once, all with the part", []partEvent{{1, 1, bad}, {1.001, 2, bad}, {1.002, 3, bad}, {1.003, 4, bad}}, bad, ""},
		{"another tenant's", crashSeries(1, 6, prompt("a", "bad")), prompt("b", "bad"), ""},
		{"another tenant's, and one crash under one's own", append(crashSeries(1, 6, prompt("a", "bad")), partEvent{8, 99, prompt("b", "bad")}), prompt("b", "bad"), "bad"},
		{"an answer to another tenant is no proof", append(crashSeries(1, 4, bad), partEvent{at: 4.5, prompt: prompt("b", "first", "bad")}), bad, "first"},
		{"of two tenants", append(crashSeries(1, 2, prompt("a", "bad")), crashSeries(3, 2, prompt("b", "bad"))...), prompt("a", "bad"), "bad"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ledger := quarantine.NewLedger()
			applyParts(ledger, tt.events)
			decision := ledger.CheckParts(startTime.Add(9*time.Second), tt.asked.Parts())
			if tt.held == "" {
				is.True(decision == nil)
				return
			}
			is.True(decision != nil)
			is.Equal(decision.PartID, tt.held)
		})
	}
}

// Evidence on parts merges to the same decision in any order.
func TestMergeOrderOfPartsDoesNotMatter(t *testing.T) {
	is := is.New(t)
	now := startTime.Add(20 * time.Second)
	prompts := []*quarantine.Subject{prompt("a", "bad"), prompt("b", "bad"), prompt("a", "other")}
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 4))
		var evidence []quarantine.Evidence
		for number := range 3 + random.IntN(8) {
			one := quarantine.NewLedger()
			asked := prompts[random.IntN(len(prompts))]
			applyParts(one, []partEvent{{random.Float64() * 15, 1 + number, asked}})
			if random.IntN(6) == 0 {
				applyParts(one, []partEvent{{at: random.Float64() * 15, prompt: asked}})
			}
			single, _ := one.Evidence(now, asked.Parts()[0].Fingerprint)
			evidence = append(evidence, single, single)
		}
		merged := []*quarantine.Ledger{quarantine.NewLedger(), quarantine.NewLedger()}
		for _, ledger := range merged {
			random.Shuffle(len(evidence), func(i, j int) { evidence[i], evidence[j] = evidence[j], evidence[i] })
			ledger.Merge(now, evidence)
		}
		for _, asked := range prompts {
			a, b := merged[0].CheckParts(now, asked.Parts()), merged[1].CheckParts(now, asked.Parts())
			is.Equal(a != nil, b != nil)
		}
	}
}

// Crashes of others that are reported late do not end a quarantine; a success does.
func TestQuarantineOfPartLasts(t *testing.T) {
	is := is.New(t)
	ledger := quarantine.NewLedger()
	bad, now := prompt("a", "bad"), startTime.Add(9*time.Second)
	applyParts(ledger, crashSeries(1, 4, bad))
	is.True(ledger.CheckParts(now, bad.Parts()) != nil)
	for number := range 4 {
		at := float64(1 + number)
		applyParts(ledger, []partEvent{{at, 200 + number, prompt("a", "other")}, {at, 300 + number, prompt("a", "another")}})
	}
	decision := ledger.CheckParts(now, bad.Parts())
	is.True(decision != nil)
	is.True(!decision.TrialDue)
	applyParts(ledger, []partEvent{{at: 8, prompt: bad}})
	is.True(ledger.CheckParts(now, bad.Parts()) == nil)
}

// Of two parts that crashed the same back ends, a prompt with one of them only is tried at once; a prompt
// with both is not.
func TestTrialTellsTwoPartsApart(t *testing.T) {
	is := is.New(t)
	ledger := quarantine.NewLedger()
	applyParts(ledger, crashSeries(1, 4, prompt("a", "companion", "bad")))
	now := startTime.Add(5 * time.Second)
	is.True(!ledger.CheckParts(now, prompt("a", "companion", "bad").Parts()).TrialDue)
	alone := ledger.CheckParts(now, prompt("a", "companion").Parts())
	is.True(alone.TrialDue)
	ledger.RecordTrials(alone.Request, 1, now)
	is.True(!ledger.CheckParts(now, prompt("a", "companion").Parts()).TrialDue)
	applyParts(ledger, []partEvent{{at: 6, prompt: prompt("a", "companion")}})
	is.True(ledger.CheckParts(now, prompt("a", "companion").Parts()) == nil)
	is.True(ledger.CheckParts(now, prompt("a", "bad").Parts()) != nil)
}

// All tenants together get no more trials of a part than one does.
func TestTrialsOfPartAreBoundedAcrossTenants(t *testing.T) {
	is := is.New(t)
	ledger := quarantine.NewLedger()
	tenants := []ident.Tenant{"a", "b", "c"}
	for index, tenant := range tenants {
		applyParts(ledger, crashSeries(1+0.3*float64(index), 2, prompt(tenant, "bad")))
	}
	now, trials := startTime.Add(20*time.Second), 0
	for range 100 {
		for _, tenant := range tenants {
			if decision := ledger.CheckParts(now, prompt(tenant, "bad").Parts()); decision.TrialDue {
				ledger.RecordTrials(decision.Request, 1+decision.Trials, now)
				trials++
			}
		}
		now = now.Add(time.Minute)
	}
	is.True(trials >= 1)
	is.True(trials <= 2)
}

func TestRecentSuccessOfPartIsFound(t *testing.T) {
	is := is.New(t)
	successes := quarantine.NewPartSuccesses()
	now := time.Now().Add(time.Millisecond)
	asked := prompt("a", "one", "two")
	successes.Add(now, asked)
	for _, part := range asked.Parts() {
		at, found := successes.Last(now.Add(2*time.Second), part.Fingerprint)
		is.True(found)
		is.Equal(at.Sub(now), time.Duration(0))
		_, found = successes.Last(now.Add(3*time.Second), part.Fingerprint)
		is.True(!found)
	}
	for _, other := range []*quarantine.Subject{prompt("b", "one"), prompt("a", "three")} {
		_, found := successes.Last(now, other.Parts()[0].Fingerprint)
		is.True(!found)
	}
}

// No request has the fingerprint of a part, and a part has one for each tenant and model.
func TestFingerprintsOfPartsAreTheirOwn(t *testing.T) {
	is := is.New(t)
	other := prompt("a", "x")
	other.Model = "n"
	seen := map[quarantine.Fingerprint]bool{}
	for _, asked := range []*quarantine.Subject{prompt("a", "x"), prompt("b", "x"), prompt("a", "y"), other} {
		part := asked.Parts()[0].Fingerprint
		is.True(part.IsPart())
		is.True(!asked.Fingerprint().IsPart())
		seen[part] = true
	}
	is.Equal(len(seen), 4)
}

// Only the first parts of a prompt are looked at, and an answer costs no allocation for each.
func TestPartsOfPromptAreBounded(t *testing.T) {
	is := is.New(t)
	var ids []string
	for number := range 1000 {
		ids = append(ids, fmt.Sprint(number))
	}
	is.Equal(len(prompt("a", ids...).Parts()), 128)
	successes, few, many := quarantine.NewPartSuccesses(), prompt("a", ids[:1]...), prompt("a", ids...)
	allocations := func(asked *quarantine.Subject) float64 {
		return testing.AllocsPerRun(10, func() { successes.Add(time.Now(), asked) })
	}
	is.True(allocations(many) <= allocations(few))
}
