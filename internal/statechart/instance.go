package statechart

import (
	"fmt"
	"sync"
)

// Reason says why an event was not taken.
type Reason string

const (
	// ReasonTerminal means: the instance had already ended.
	ReasonTerminal Reason = "terminal"
	// ReasonForbidden means: the state's forbid list names the event.
	ReasonForbidden Reason = "forbidden"
	// ReasonGuard means: no guard of the event's transitions is fulfilled.
	ReasonGuard Reason = "guard"
	// ReasonUnknown means: the chart has no such event.
	ReasonUnknown Reason = "unknown"
)

// EventError is the error of an event that was not taken. The state is
// unchanged.
type EventError struct {
	Chart  string
	State  State
	Event  Event
	Reason Reason
}

// Error implements error.
func (e *EventError) Error() string {
	return fmt.Sprintf("state chart %s: event %s not taken in state %s (%s)", e.Chart, e.Event, e.State, e.Reason)
}

// Observer is told of every event fired. Its methods must not call the
// instance and must return quickly.
type Observer interface {
	// Transition is told of an event taken; from and to may be equal.
	Transition(chart string, from State, event Event, to State)
	// Ignored is told of an event that the state ignores.
	Ignored(chart string, state State, event Event)
	// Rejected is told of an event that was refused with an EventError.
	Rejected(chart string, state State, event Event, reason Reason)
}

// Option configures an instance.
type Option func(*Instance)

// Allow marks a guard as fulfilled for the life of the instance. Guards that
// are not allowed are not fulfilled.
func Allow(guard Guard) Option {
	return func(i *Instance) { i.allowed = append(i.allowed, guard) }
}

// Observe sets the observer.
func Observe(observer Observer) Option {
	return func(i *Instance) { i.observer = observer }
}

// Instance is one life of a chart, safe for concurrent use.
type Instance struct {
	chart      *Chart
	allowed    []Guard
	observer   Observer
	mutex      sync.Mutex
	state      State
	rejections uint64
}

// State returns the present state.
func (i *Instance) State() State {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.state
}

// Terminal reports whether the instance has ended.
func (i *Instance) Terminal() bool { return i.chart.Terminal(i.State()) }

// Rejections returns how many events were refused with an EventError.
func (i *Instance) Rejections() uint64 {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.rejections
}

// Fire applies the event and returns the state after it. The error is an
// *EventError, and the state is then unchanged.
func (i *Instance) Fire(event Event) (State, error) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	from := i.state
	at := key{from, event}
	if i.chart.ignored[at] {
		if i.observer != nil {
			i.observer.Ignored(i.chart.definition.Name, from, event)
		}
		return from, nil
	}
	for _, transition := range i.chart.transitions[at] {
		if i.guardAllowed(transition.Guard) {
			i.state = transition.To
			if i.observer != nil {
				i.observer.Transition(i.chart.definition.Name, from, event, i.state)
			}
			return i.state, nil
		}
	}
	return from, i.reject(at)
}

func (i *Instance) reject(at key) error {
	reason := ReasonUnknown
	switch {
	case i.chart.states[at.state].Terminal:
		reason = ReasonTerminal
	case i.chart.forbidden[at]:
		reason = ReasonForbidden
	case len(i.chart.transitions[at]) > 0:
		reason = ReasonGuard
	}
	i.rejections++
	if i.observer != nil {
		i.observer.Rejected(i.chart.definition.Name, at.state, at.event, reason)
	}
	return &EventError{Chart: i.chart.definition.Name, State: at.state, Event: at.event, Reason: reason}
}

func (i *Instance) guardAllowed(guard Guard) bool {
	if guard == "" {
		return true
	}
	for _, allowed := range i.allowed {
		if allowed == guard {
			return true
		}
	}
	return false
}
