// Package faultplan declares the schedule of faults of the stand-ins: a YAML
// file with a seed and a list of faults, each with a start time, a duration, a
// target, a kind and typed parameters.
//
//	seed: 7
//	faults:
//	  - {at: 10s, duration: 5s, target: engine-1, kind: crash}
//	  - {at: 20s, duration: 30s, target: "engine-*", kind: event_loss, parameters: {probability: 0.2}}
//
// Each stand-in ignores the kinds that it doesn't implement.
package faultplan

import (
	"bytes"
	"io"
	"os"
	"path"
	"sort"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"

	"github.com/fieldpond/fieldpond/internal/fault"
)

// Kind names a kind of fault.
type Kind string

// Kinds of faults of engines and applications.
const (
	// Crash ends the incarnation; after the duration a new one with an empty
	// cache starts at the same address.
	Crash Kind = "crash"
	// Stall stops all progress; connections stay open.
	Stall Kind = "stall"
	// Cut closes the open stream connections at its start and, if Events is
	// set, each later one after that many events.
	Cut Kind = "cut"
	// EventLoss drops cache events with Probability.
	EventLoss Kind = "event_loss"
	// EventDelay publishes cache events after Delay.
	EventDelay Kind = "event_delay"
	// LoadLag delays the contents of load reports by Delay.
	LoadLag Kind = "load_lag"
	// DuplicateChunks sends every chunk twice.
	DuplicateChunks Kind = "duplicate_chunks"
	// SwapChunks sends chunks in swapped pairs.
	SwapChunks Kind = "swap_chunks"
	// LoseEnd closes the stream instead of sending its end event.
	LoseEnd Kind = "lose_end"
	// Slow multiplies all durations by Factor, or adds Delay to each response.
	Slow Kind = "slow"
	// RefuseFull refuses all new requests as if the queue were full.
	RefuseFull Kind = "refuse_full"
	// Drain makes the back end advertise that it is draining.
	Drain Kind = "leave"
)

// Kinds of faults of the platform, in addition to Slow.
const (
	// Outage sends no responses.
	Outage Kind = "outage"
	// LoseAnswer closes the connection after the operation took effect, with
	// Probability (default 1).
	LoseAnswer Kind = "lose_answer"
	// Rate changes the rate limit to Rate a second.
	Rate Kind = "rate"
)

// AnyTarget is the target of a fault that affects every stand-in.
const AnyTarget = "*"

// Parameters are the parameters of a fault; the comment of each kind names
// those it uses.
type Parameters struct {
	// Probability is from 0 to 1.
	Probability float64 `yaml:"probability" json:"probability,omitempty"`
	// Delay is a duration, such as "250ms".
	Delay Duration `yaml:"delay" json:"delay,omitempty"`
	// Factor multiplies durations; at least 1.
	Factor float64 `yaml:"factor" json:"factor,omitempty"`
	// Rate is in operations per second.
	Rate float64 `yaml:"rate" json:"rate,omitempty"`
	// Events is a number of stream events.
	Events int `yaml:"events" json:"events,omitempty"`
}

// Fault is one entry of the schedule.
type Fault struct {
	// At is the time from the start of the stand-in to that of the fault.
	At Duration `yaml:"at" json:"at"`
	// Duration is the fault's length; zero means until the end of the run.
	Duration Duration `yaml:"duration" json:"duration"`
	// Target is a stand-in's name or a pattern such as "engine-*".
	Target     string     `yaml:"target" json:"target"`
	Kind       Kind       `yaml:"kind" json:"kind"`
	Parameters Parameters `yaml:"parameters" json:"parameters"`
}

// Plan is a fault schedule. It is not safe for concurrent changes.
type Plan struct {
	// Seed seeds all random choices of the stand-ins; zero means the flag's seed.
	Seed   int64   `yaml:"seed" json:"seed"`
	Faults []Fault `yaml:"faults" json:"faults"`
}

// Load reads and validates a plan file.
func Load(file string) (*Plan, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, fault.Wrap(err, fault.InvalidSettings, "fault plan %q cannot be read", file).
			WithRemedy("give the path of a readable fault plan file")
	}
	return Parse(content)
}

// Parse decodes and validates a plan. Unknown fields are errors.
func Parse(content []byte) (*Plan, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	plan := &Plan{}
	if err := decoder.Decode(plan); err != nil && !errors.Is(err, io.EOF) {
		return nil, invalid(err, "the fault plan is not valid YAML or does not match the schema")
	}
	for index := range plan.Faults {
		if err := plan.Faults[index].Validate(); err != nil {
			return nil, invalid(err, "fault %d of the plan is invalid", index+1)
		}
	}
	return plan, nil
}

func invalid(cause error, format string, arguments ...any) error {
	return fault.Wrap(cause, fault.InvalidSettings, format, arguments...).
		WithRemedy("correct the fault plan as described by the cause; package faultplan documents the schema")
}

// Validate checks that the required fields are set and all values in range.
func (f Fault) Validate() error {
	switch {
	case f.Kind == "":
		return errors.New("kind is empty")
	case f.Target == "":
		return errors.New("target is empty; use \"*\" for all")
	case f.At < 0 || f.Duration < 0 || f.Parameters.Delay < 0:
		return errors.New("at, duration and delay must not be negative")
	case !(f.Parameters.Probability >= 0 && f.Parameters.Probability <= 1):
		return errors.New("probability must be from 0 to 1")
	case f.Parameters.Factor != 0 && !(f.Parameters.Factor >= 1):
		return errors.New("factor must be at least 1")
	case !(f.Parameters.Rate >= 0) || f.Parameters.Events < 0:
		return errors.New("rate and events must not be negative")
	}
	_, err := path.Match(f.Target, "")
	return errors.Wrap(err, "target pattern")
}

// Add adds a fault, such as one injected at run time.
func (p *Plan) Add(added Fault) { p.Faults = append(p.Faults, added) }

// Prune removes the faults that have ended at elapsed.
func (p *Plan) Prune(elapsed time.Duration) {
	kept := p.Faults[:0]
	for _, entry := range p.Faults {
		if entry.Duration == 0 || elapsed < entry.end() {
			kept = append(kept, entry)
		}
	}
	p.Faults = kept
}

// Active returns the active fault of the kind for the target at elapsed; of
// several, the one that started last.
func (p *Plan) Active(target string, kind Kind, elapsed time.Duration) (Fault, bool) {
	var found Fault
	active := false
	for _, entry := range p.Faults {
		if entry.Kind != kind || !entry.activeAt(elapsed) || !entry.matches(target) {
			continue
		}
		if !active || entry.At >= found.At {
			found, active = entry, true
		}
	}
	return found, active
}

// TransitionTimes returns the sorted start and end times of the target's
// faults, at which a virtual-time driver must wake.
func (p *Plan) TransitionTimes(target string) []time.Duration {
	var edges []time.Duration
	for _, entry := range p.Faults {
		if !entry.matches(target) {
			continue
		}
		edges = append(edges, time.Duration(entry.At))
		if entry.Duration > 0 {
			edges = append(edges, entry.end())
		}
	}
	sort.Slice(edges, func(i, j int) bool { return edges[i] < edges[j] })
	return edges
}

func (f Fault) end() time.Duration { return time.Duration(f.At + f.Duration) }

func (f Fault) activeAt(elapsed time.Duration) bool {
	return elapsed >= time.Duration(f.At) && (f.Duration == 0 || elapsed < f.end())
}

func (f Fault) matches(target string) bool {
	matched, err := path.Match(f.Target, target)
	return err == nil && matched
}
