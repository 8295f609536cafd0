package statechart

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"
)

// Definition is a chart as written in its file.
type Definition struct {
	// Name of the chart; the file is charts/<name>.yaml.
	Name string `yaml:"name"`
	// Doc describes the chart.
	Doc string `yaml:"doc"`
	// Initial is the state of a new instance.
	Initial State `yaml:"initial"`
	// Guards lists the guards that transitions may use.
	Guards []Guard           `yaml:"guards"`
	Events []EventDefinition `yaml:"events"`
	States []StateDefinition `yaml:"states"`
	// Transitions lists the transitions; of several with the same from and
	// event, the first with an allowed guard is taken.
	Transitions []Transition `yaml:"transitions"`
}

// EventDefinition is one event of a chart.
type EventDefinition struct {
	Name Event  `yaml:"name"`
	Doc  string `yaml:"doc"`
}

// StateDefinition is one state of a chart.
type StateDefinition struct {
	Name     State  `yaml:"name"`
	Doc      string `yaml:"doc"`
	Terminal bool   `yaml:"terminal"`
	// Ignore lists events without effect in this state.
	Ignore []Event `yaml:"ignore"`
	// Forbid lists events that must not be fired in this state.
	Forbid []Event `yaml:"forbid"`
}

// Transition is one transition of a chart.
type Transition struct {
	From  []State `yaml:"from"`
	Event Event   `yaml:"event"`
	To    State   `yaml:"to"`
	// Guard must be allowed for the transition; empty means always.
	Guard Guard `yaml:"guard"`
}

// Parse decodes and checks a chart. The error lists all problems.
func Parse(source []byte) (*Chart, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(source))
	decoder.KnownFields(true)
	var definition Definition
	if err := decoder.Decode(&definition); err != nil {
		return nil, errors.Wrap(err, "decoding YAML")
	}
	chart := &Chart{
		definition:  definition,
		states:      map[State]StateDefinition{},
		transitions: map[key][]Transition{},
		forbidden:   map[key]bool{},
		ignored:     map[key]bool{},
	}
	checker := &checker{chart: chart}
	checker.check()
	if len(checker.problems) > 0 {
		return nil, errors.Errorf("state chart %q: %s", definition.Name, strings.Join(checker.problems, "; "))
	}
	return chart, nil
}

type checker struct {
	chart    *Chart
	problems []string
}

func (c *checker) addProblem(format string, arguments ...any) {
	c.problems = append(c.problems, fmt.Sprintf(format, arguments...))
}

func (c *checker) check() {
	c.indexStates()
	c.indexTransitions()
	for _, state := range c.chart.definition.States {
		c.checkComplete(state)
	}
	c.checkReachable()
}

func (c *checker) hasEvent(event Event) bool {
	return slices.ContainsFunc(c.chart.definition.Events, func(e EventDefinition) bool { return e.Name == event })
}

func (c *checker) indexStates() {
	definition := c.chart.definition
	for _, state := range definition.States {
		if _, duplicate := c.chart.states[state.Name]; duplicate {
			c.addProblem("state %q is declared twice", state.Name)
		}
		c.chart.states[state.Name] = state
		c.indexList(state, state.Ignore, c.chart.ignored)
		c.indexList(state, state.Forbid, c.chart.forbidden)
	}
	if _, known := c.chart.states[definition.Initial]; !known {
		c.addProblem("unknown initial state %q", definition.Initial)
	}
}

func (c *checker) indexList(state StateDefinition, events []Event, index map[key]bool) {
	for _, event := range events {
		if !c.hasEvent(event) {
			c.addProblem("state %q lists unknown event %q", state.Name, event)
		}
		index[key{state.Name, event}] = true
	}
}

func (c *checker) indexTransitions() {
	for _, transition := range c.chart.definition.Transitions {
		if !c.hasEvent(transition.Event) {
			c.addProblem("transition on unknown event %q", transition.Event)
		}
		if _, known := c.chart.states[transition.To]; !known {
			c.addProblem("transition on %q to unknown state %q", transition.Event, transition.To)
		}
		if transition.Guard != "" && !slices.Contains(c.chart.definition.Guards, transition.Guard) {
			c.addProblem("transition on %q has unknown guard %q", transition.Event, transition.Guard)
		}
		for _, from := range transition.From {
			c.indexTransition(from, transition)
		}
	}
}

func (c *checker) indexTransition(from State, transition Transition) {
	state, known := c.chart.states[from]
	if !known {
		c.addProblem("transition on %q from unknown state %q", transition.Event, from)
	}
	if state.Terminal {
		c.addProblem("terminal state %q has an exit on %q", from, transition.Event)
	}
	at := key{from, transition.Event}
	for _, earlier := range c.chart.transitions[at] {
		if earlier.Guard == "" || earlier.Guard == transition.Guard {
			c.addProblem("transition from %q on %q can never be taken", from, transition.Event)
		}
	}
	c.chart.transitions[at] = append(c.chart.transitions[at], transition)
}

// checkComplete checks that a non-terminal state declares each event exactly once.
func (c *checker) checkComplete(state StateDefinition) {
	if state.Terminal {
		if len(state.Ignore)+len(state.Forbid) > 0 {
			c.addProblem("terminal state %q lists events", state.Name)
		}
		return
	}
	for _, event := range c.chart.definition.Events {
		at := key{state.Name, event.Name}
		declarations := 0
		for _, declared := range []bool{len(c.chart.transitions[at]) > 0, c.chart.ignored[at], c.chart.forbidden[at]} {
			if declared {
				declarations++
			}
		}
		if declarations == 0 {
			c.addProblem("state %q does not handle event %q", state.Name, event.Name)
		}
		if declarations > 1 {
			c.addProblem("state %q handles event %q in more than one way", state.Name, event.Name)
		}
	}
}

func (c *checker) checkReachable() {
	reached := map[State]bool{c.chart.definition.Initial: true}
	for changed := true; changed; {
		changed = false
		for _, transition := range c.chart.definition.Transitions {
			from := slices.ContainsFunc(transition.From, func(state State) bool { return reached[state] })
			if from && !reached[transition.To] {
				reached[transition.To] = true
				changed = true
			}
		}
	}
	for _, state := range c.chart.definition.States {
		if !reached[state.Name] {
			c.addProblem("state %q cannot be reached", state.Name)
		}
	}
}
