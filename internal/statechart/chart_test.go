package statechart

import (
	"flag"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

func TestGeneratedNamesAreCurrent(t *testing.T) {
	is := is.New(t)
	want, err := GenerateNames()
	is.NoErr(err)
	got, err := os.ReadFile("names_generated.go")
	is.NoErr(err)
	is.Equal(string(got), string(want)) // run go generate ./internal/statechart
}

const twoStates = `
name: test
initial: a
guards: [g]
events: [{name: go}, {name: stay}]
states:
  - {name: a, ignore: [stay]}
  - {name: b, terminal: true}
transitions:
  - {from: [a], event: go, to: b}
`

func TestParseRefuses(t *testing.T) {
	cases := []struct{ name, replace, by, want string }{
		{"unknown key", "initial:", "start: a\ninitial:", "field start not found"},
		{"unknown initial", "initial: a", "initial: x", `unknown initial state "x"`},
		{"unknown target", "to: b", "to: x", `unknown state "x"`},
		{"unknown source", "from: [a]", "from: [a, x]", `from unknown state "x"`},
		{"unknown event", "event: go", "event: x", `unknown event "x"`},
		{"unknown guard", "to: b}", "to: b, guard: x}", `unknown guard "x"`},
		{"unreachable", "to: b", "to: a", `state "b" cannot be reached`},
		{"terminal with exit", "from: [a]", "from: [a, b]", `terminal state "b" has an exit`},
		{"event unhandled", ", ignore: [stay]", "", `state "a" does not handle event "stay"`},
		{"handled twice", "[stay]", "[stay, go]", `in more than one way`},
		{"never taken", "to: b}", "to: b}\n  - {from: [a], event: go, to: a}", "can never be taken"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse([]byte(strings.Replace(twoStates, test.replace, test.by, 1)))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), test.want))
		})
	}
}

// Fires random events at every chart. Guards against undeclared events, events
// accepted after a terminal state and an executed request reported as not run.
func TestExploration(t *testing.T) {
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) {
			chart, err := Load(name)
			is.New(t).NoErr(err)
			rapid.Check(t, func(t *rapid.T) { explore(t, chart) })
		})
	}
}

func explore(t *rapid.T, chart *Chart) {
	repeatable := rapid.Bool().Draw(t, "repeatable")
	instance := chart.New()
	if repeatable {
		instance = chart.New(Allow(RequestGuardRepeatable))
	}
	sent, uncertain, terminals := 0, false, 0
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		event := drawEvent(t, chart, instance.State())
		before, ended := instance.State(), instance.Terminal()
		after, err := instance.Fire(event)
		var refused *EventError
		if errors.As(err, &refused) {
			if refused.Reason == ReasonUnknown || after != before || ended != (refused.Reason == ReasonTerminal) {
				t.Fatalf("event %s in %s: %v", event, before, err)
			}
			continue
		}
		if ended {
			t.Fatalf("event %s accepted in terminal state %s", event, before)
		}
		if instance.Terminal() {
			terminals++
		}
		if event == RequestEventAttemptSent {
			if uncertain && !repeatable {
				t.Fatalf("second attempt after one with unknown outcome")
			}
			sent++
		}
		uncertain = uncertain || event == RequestEventAttemptLost || event == RequestEventStreamStarted
		if after == RequestStateRefusedNotRun && (uncertain || before == RequestStateDispatched) {
			t.Fatalf("%d attempts, one with unknown outcome, reported as not run", sent)
		}
	}
	if terminals > 1 {
		t.Fatalf("%d terminal states reached", terminals)
	}
}

// drawEvent prefers events that lead to non-terminal states, so that deep states
// are reached, and sometimes draws any event.
func drawEvent(t *rapid.T, chart *Chart, state State) Event {
	var all, nonTerminal []Event
	for _, event := range chart.definition.Events {
		all = append(all, event.Name)
		for _, transition := range chart.transitions[key{state, event.Name}] {
			if !chart.Terminal(transition.To) {
				nonTerminal = append(nonTerminal, event.Name)
			}
		}
	}
	if len(nonTerminal) > 0 && rapid.IntRange(0, 9).Draw(t, "kind") > 2 {
		return rapid.SampledFrom(nonTerminal).Draw(t, "non-terminal event")
	}
	return rapid.SampledFrom(all).Draw(t, "any event")
}

// TestMain fixes the seed, so that every run draws the same events.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

type countingObserver struct{ transitions, ignored, rejected int }

func (o *countingObserver) Transition(string, State, Event, State) { o.transitions++ }
func (o *countingObserver) Ignored(string, State, Event)           { o.ignored++ }
func (o *countingObserver) Rejected(string, State, Event, Reason)  { o.rejected++ }

func TestClaimedRequestRunsOnce(t *testing.T) {
	is := is.New(t)
	chart, err := Load(RequestChart)
	is.NoErr(err)
	observer := &countingObserver{}
	instance := chart.New(Observe(observer))
	fire := func(events ...Event) error {
		var last error
		for _, event := range events {
			_, last = instance.Fire(event)
		}
		return last
	}
	is.NoErr(fire(RequestEventCheckPassed, RequestEventAdmitted))
	var refused *EventError
	is.True(errors.As(fire(RequestEventAttemptSent), &refused)) // no claim yet
	is.Equal(refused.Reason, ReasonGuard)
	is.NoErr(fire(RequestEventClaimWon, RequestEventAttemptSent, RequestEventAttemptLost, RequestEventAttemptRefused))
	is.True(fire(RequestEventAttemptSent) != nil) // outcome unknown: must not be sent again
	is.NoErr(fire(RequestEventGaveUp))
	is.Equal(instance.State(), RequestStateOutcomeUnknown)
	is.Equal(*observer, countingObserver{transitions: 6, ignored: 1, rejected: 2})
	is.Equal(instance.Rejections(), uint64(2))
	is.True(slices.Contains(Names(), RouterChart))
}
