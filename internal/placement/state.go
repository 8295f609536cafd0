package placement

import (
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/admission"
	"github.com/fieldpond/fieldpond/internal/prefix/beliefs"
	"github.com/fieldpond/fieldpond/internal/prefix/directory"
	"github.com/fieldpond/fieldpond/internal/routing/framework"
)

// State is a snapshot of a core's state for metrics and status.
type State struct {
	// Endpoints are copies of the engines in the order of the registry.
	Endpoints []framework.Endpoint
	// Waiting counts the jobs not placed yet by priority; InFlight those on an
	// engine.
	Waiting  map[int]int
	InFlight int
	// Decisions, Queue and Beliefs are the counters of the components.
	Decisions Counters
	Queue     admission.Counters
	Beliefs   beliefs.Counters
	// Directory is zero while the directory is not used.
	Directory directory.Counters
}

// State returns a snapshot of the core's state.
func (c *Core) State(now time.Time) State {
	state := State{
		Endpoints: slices.Clone(c.registry.Endpoints(now)),
		Waiting:   make(map[int]int),
		InFlight:  len(c.inFlight),
		Decisions: c.Counters,
		Queue:     c.config.Queue.Counters(),
		Beliefs:   c.config.Beliefs.Counters(),
	}
	if c.directory != nil {
		state.Directory = c.directory.Counters()
	}
	for _, job := range c.waiting {
		state.Waiting[job.Request.Priority]++
	}
	return state
}
