package statechart

import (
	"fmt"
	"sync"
)

// Reason is why an event was rejected.
type Reason string

const (
	// ReasonTerminal means that the instance is in a terminal state.
	ReasonTerminal Reason = "terminal"
	// ReasonForbidden means that the state's forbid list contains the event.
	ReasonForbidden Reason = "forbidden"
	// ReasonGuard means that no guard of the event's transitions is allowed.
	ReasonGuard Reason = "guard"
	// ReasonUnknown means that the chart has no such event.
	ReasonUnknown Reason = "unknown"
)

// EventError is the error of a rejected event. The state is unchanged.
type EventError struct {
	Chart  string
	State  State
	Event  Event
	Reason Reason
}

// Error implements error.
func (e *EventError) Error() string {
	return fmt.Sprintf("state chart %s: event %s rejected in state %s (%s)", e.Chart, e.Event, e.State, e.Reason)
}

// Observer is notified of every event fired. Its methods run under the lock of
// the instance: they must not call it and must return quickly.
type Observer interface {
	// Transition reports a transition; from and to may be equal.
	Transition(chart string, from State, event Event, to State)
	// Ignored reports an event that the state ignores.
	Ignored(chart string, state State, event Event)
	// Rejected reports an event that was rejected with an EventError.
	Rejected(chart string, state State, event Event, reason Reason)
}

// Option configures an instance.
type Option func(*Instance)

// Allow allows transitions with the guard for the lifetime of the instance. By
// default they are not taken.
func Allow(guard Guard) Option {
	return func(i *Instance) { i.allowed = append(i.allowed, guard) }
}

// Observe sets the observer.
func Observe(observer Observer) Option {
	return func(i *Instance) { i.observer = observer }
}

// Instance is one run of a chart, safe for concurrent use.
type Instance struct {
	chart      *Chart
	allowed    []Guard
	observer   Observer
	mutex      sync.Mutex
	state      State
	rejections uint64
}

// State returns the current state.
func (i *Instance) State() State {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.state
}

// Terminal returns whether the instance is in a terminal state.
func (i *Instance) Terminal() bool { return i.chart.Terminal(i.State()) }

// Rejections returns the number of rejected events.
func (i *Instance) Rejections() uint64 {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.rejections
}

// Fire applies the event and returns the state after it. The error is an
// *EventError; the state is then unchanged.
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
