package experiment

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/fault"
)

// shortened returns the scenario with every time scaled to the duration.
func shortened(scenario Scenario, duration time.Duration) Scenario {
	factor := float64(duration) / float64(scenario.Duration)
	scale := func(times ...*time.Duration) {
		for _, given := range times {
			*given = time.Duration(float64(*given) * factor)
		}
	}
	scale(&scenario.Duration, &scenario.Warmup)
	for index := range scenario.Events {
		scale(&scenario.Events[index].At, &scenario.Events[index].For)
	}
	for index := range scenario.Surges {
		scale(&scenario.Surges[index].At, &scenario.Surges[index].For)
	}
	for index := range scenario.Faults {
		scale(&scenario.Faults[index].At, &scenario.Faults[index].For)
	}
	if scenario.Focus != nil {
		scale(&scenario.Focus.At, &scenario.Focus.For)
	}
	return scenario
}

func execute(t *testing.T, scenarios, policies []string, duration time.Duration) []Run {
	t.Helper()
	plan := Plan{Seeds: []uint64{1}, Parallel: 4}
	chosen, err := ScenariosByName(scenarios)
	is.New(t).NoErr(err)
	for _, scenario := range chosen {
		plan.Scenarios = append(plan.Scenarios, shortened(scenario, duration))
	}
	plan.Policies, err = PoliciesByName(policies)
	is.New(t).NoErr(err)
	runs, err := Execute(plan)
	is.New(t).NoErr(err)
	return runs
}

// Guards against requests that never end or end twice under faults, and against
// impossible measures.
func TestEveryRequestEndsOnce(t *testing.T) {
	for _, run := range execute(t, []string{"all"}, []string{"predictive"}, 6*time.Second) {
		t.Run(run.Scenario, func(t *testing.T) {
			is := is.New(t)
			measures := run.Measures
			is.True(measures.Arrivals > 0)
			is.Equal(measures.Ended, measures.Arrivals)
			ends, tails := 0, int64(0)
			for _, count := range measures.Outcomes {
				ends += count
			}
			for _, tail := range measures.Classes {
				tails += tail.Count
				is.True(tail.P50 > 0 && tail.P50 <= tail.P95 && tail.P95 <= tail.P99)
			}
			is.Equal(ends, measures.Offered)
			is.True(tails >= int64(measures.Outcomes[OutcomeAnswered])) // every answer has a first token
			is.True(measures.CachedTokens > 0 && measures.CachedTokens < measures.PromptTokens)
			is.True(measures.RecomputedTokens >= 0 && measures.CachedTokens+measures.RecomputedTokens <= measures.PromptTokens)
			is.True(measures.Goodput > 0 && measures.Busy > 0 && measures.Busy <= 1)
		})
	}
}

// Guards against nondeterministic runs and against an unused seed.
func TestSameSeedSameTable(t *testing.T) {
	is := is.New(t)
	table := func(seed uint64) string {
		scenarios, err := ScenariosByName([]string{"muldenring-crash", "parking-event-gaps"})
		is.NoErr(err)
		for index := range scenarios {
			scenarios[index] = shortened(scenarios[index], 5*time.Second)
		}
		policies, err := PoliciesByName([]string{"prefix-hash", "predictive", "oracle"})
		is.NoErr(err)
		runs, err := Execute(Plan{Scenarios: scenarios, Policies: policies, Seeds: []uint64{seed}, Parallel: 3})
		is.NoErr(err)
		var out bytes.Buffer
		is.NoErr(WriteTable(&out, Summarise(runs)))
		is.NoErr(WriteJSON(&out, Summarise(runs)))
		return out.String()
	}
	first := table(7)
	is.Equal(first, table(7))
	is.True(first != table(8))
}

// Tokens of attempts lost in a crash must count as discarded; without a fault none
// are.
func TestLostAttemptsCountAsDiscarded(t *testing.T) {
	is := is.New(t)
	runs := execute(t, []string{"muldenring-crash", "muldenring-steady"}, []string{"round-robin"}, 8*time.Second)
	is.True(runs[0].Measures.DiscardedTokens > 0)
	is.Equal(runs[1].Measures.DiscardedTokens, int64(0))
	is.True(runs[1].Measures.RecomputedTokens > 0) // round robin scatters prefixes
}

func TestRefusedArguments(t *testing.T) {
	is := is.New(t)
	_, err := ScenariosByName([]string{"nowhere"})
	is.True(fault.Is(err, fault.BadRequest))
	_, err = PoliciesByName([]string{"random"})
	is.True(fault.Is(err, fault.BadRequest))
	_, err = Execute(Plan{})
	is.True(fault.Is(err, fault.BadRequest))
	for _, source := range []string{"{", "name: x", "name: x\ndeployment: y\nrate: 1\ncacheBlocks: 1\nduration: 1s\neventLoss: 2",
		"name: x\ndeployment: y\nrate: 1\ncacheBlocks: 1\nduration: 1s\nfaults: [{kind: flood}]"} {
		_, err = ParseScenario([]byte(source))
		is.True(fault.Is(err, fault.InvalidSettings))
	}
}

func TestSpreadAndPlots(t *testing.T) {
	is := is.New(t)
	is.Equal(spreadOf([]float64{3, 1, 2}), Spread{2, 1, 3})
	is.Equal(spreadOf([]float64{4, 1}), Spread{2.5, 1, 4})
	directory := filepath.Join(t.TempDir(), "plots")
	is.NoErr(WritePlots(directory, []Row{{Scenario: "s", Policy: "p", HitRate: Spread{0.5, 0.4, 0.6}}}))
	content, err := os.ReadFile(filepath.Join(directory, "s-hit-rate.png"))
	is.NoErr(err)
	is.True(bytes.HasPrefix(content, []byte("\x89PNG")))
}
