// Package statechart interprets the state charts of fieldpond.
//
// The charts are embedded from charts/*.yaml and checked when loaded: in every
// non-terminal state, each event either has a transition, or is in the state's
// "ignore" list (it may arrive late and has no effect) or "forbid" list (firing it
// is an error of the caller). Terminal states have no transitions.
package statechart

import (
	"embed"
	"sync"

	"github.com/pkg/errors"
)

//go:generate go run ./gen

//go:embed charts/*.yaml
var chartFiles embed.FS

// State names a state of a chart.
type State string

// Event names an event of a chart.
type Event string

// Guard names a condition of a transition; see Allow.
type Guard string

// Chart is one checked state chart. It is immutable and safe to share.
type Chart struct {
	definition  Definition
	states      map[State]StateDefinition
	transitions map[key][]Transition
	forbidden   map[key]bool
	ignored     map[key]bool
}

type key struct {
	state State
	event Event
}

var (
	loadMutex sync.Mutex
	loaded    = map[string]*Chart{}
)

// Load returns the embedded chart of the given name, for example "request".
func Load(name string) (*Chart, error) {
	loadMutex.Lock()
	defer loadMutex.Unlock()
	if chart, known := loaded[name]; known {
		return chart, nil
	}
	source, err := chartFiles.ReadFile("charts/" + name + ".yaml")
	if err != nil {
		return nil, errors.Wrapf(err, "reading state chart %q", name)
	}
	chart, err := Parse(source)
	if err != nil {
		return nil, errors.Wrapf(err, "loading state chart %q", name)
	}
	loaded[name] = chart
	return chart, nil
}

// Names returns the names of the embedded charts, sorted.
func Names() []string {
	entries, err := chartFiles.ReadDir("charts")
	if err != nil {
		return nil
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name()[:len(entry.Name())-len(".yaml")])
	}
	return names
}

// Definition returns the chart as written in its file. Callers must not modify it.
func (c *Chart) Definition() Definition { return c.definition }

// New returns an instance in the chart's initial state.
func (c *Chart) New(options ...Option) *Instance {
	instance := &Instance{chart: c, state: c.definition.Initial}
	for _, option := range options {
		option(instance)
	}
	return instance
}

// Terminal returns whether the state is a terminal one of this chart.
func (c *Chart) Terminal(state State) bool { return c.states[state].Terminal }
