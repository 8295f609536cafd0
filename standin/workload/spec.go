// Package workload generates synthetic traffic for load tests and simulations:
// requests of several tenants with nested prompts that change over time.
//
// It is deterministic: a Spec and a seed give the same arrivals on every run.
// The generator uses no clock and no I/O.
package workload

import (
	"bytes"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// Spec is a load schedule in the form of its YAML file.
type Spec struct {
	// Name is the workload's name, part of every idempotency key.
	Name string `yaml:"name"`
	// Rate is the mean arrivals per second outside floods.
	Rate float64 `yaml:"rate"`
	// Arrivals is "poisson" or "uniform".
	Arrivals string `yaml:"arrivals"`
	// Duration is the length of the load.
	Duration time.Duration `yaml:"duration"`
	// Vocabulary is the word list of the texts: "dispatch" or "parking".
	Vocabulary string `yaml:"vocabulary"`
	// Tenants share the arrivals in proportion to their weights.
	Tenants []Tenant `yaml:"tenants"`
	// Layers are the nested parts of the prompts, outermost first.
	Layers []Layer `yaml:"layers"`
	// Classes are the kinds of model requests.
	Classes []Class `yaml:"classes"`
	// Calls are the kinds of application requests.
	Calls []Call `yaml:"calls"`
	// Events change the load during the run.
	Events []LoadEvent `yaml:"events"`
}

// Tenant is one source of requests.
type Tenant struct {
	Name   ident.Tenant `yaml:"name"`
	Weight float64      `yaml:"weight"`
}

// Layer is one part of the prompts. Its text differs for each tenant and, if
// it has variants, for each variant of its own and of the layers before it.
type Layer struct {
	Name string `yaml:"name"`
	// Tokens is the size of the text, or the maximum size of one that changes.
	Tokens int `yaml:"tokens"`
	// Variants are parallel texts, such as one per region; empty means one.
	Variants []Variant `yaml:"variants"`
	// ChangeEvery is the mean time between changes of a text; zero means that
	// it never changes.
	ChangeEvery time.Duration `yaml:"changeEvery"`
	// EntryTokens is the size of an entry of a text that changes.
	EntryTokens int `yaml:"entryTokens"`
	// AppendShare is the share of changes that append an entry; the others
	// replace one anywhere in the text.
	AppendShare float64 `yaml:"appendShare"`
}

// Variant is one of several parallel texts of a layer.
type Variant struct {
	Name   string  `yaml:"name"`
	Weight float64 `yaml:"weight"`
}

// Class is one kind of model request.
type Class struct {
	Name    ident.Class   `yaml:"name"`
	Service ident.Service `yaml:"service"`
	Weight  float64       `yaml:"weight"`
	// Layers names the layers of the prompt, outermost first.
	Layers []string `yaml:"layers"`
	// TailTokens is the size of the request's own text at the end.
	TailTokens int `yaml:"tailTokens"`
	// MinTokens and MaxTokens are the range of max_tokens in the requests.
	MinTokens int `yaml:"minTokens"`
	MaxTokens int `yaml:"maxTokens"`
	// Plain sends the prompt to /v1/completions instead of as a chat.
	Plain bool `yaml:"plain"`
}

// Call is one kind of application request.
type Call struct {
	Service ident.Service `yaml:"service"`
	Class   ident.Class   `yaml:"class"`
	Method  string        `yaml:"method"`
	Path    string        `yaml:"path"`
	Weight  float64       `yaml:"weight"`
	// Retryable calls are safe to retry and have no idempotency key.
	Retryable bool `yaml:"repeatable"`
	// RetryShare is the share of calls that send the tenant's last call of this
	// kind again with its key, like a client that retries.
	RetryShare float64 `yaml:"repeatShare"`
}

// Kinds of LoadEvent.
const (
	// EventFlood multiplies the arrivals of one class.
	EventFlood = "flood"
	// EventShift replaces the text of one variant of a layer for every tenant
	// and multiplies its requests.
	EventShift = "shift"
)

// LoadEvent is a change of the load during an interval.
type LoadEvent struct {
	// Kind is "flood" or "shift".
	Kind string        `yaml:"kind"`
	At   time.Duration `yaml:"at"`
	For  time.Duration `yaml:"for"`
	// Factor multiplies the weight of the class or the variant.
	Factor float64 `yaml:"factor"`
	// Class is the class of a flood.
	Class ident.Class `yaml:"class"`
	// Layer and Variant identify the text of a shift.
	Layer   string `yaml:"layer"`
	Variant string `yaml:"variant"`
}

func (e LoadEvent) activeAt(at time.Duration) bool { return at >= e.At && at < e.At+e.For }

// Load reads and validates a load schedule.
func Load(path string) (*Spec, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "reading the load schedule")
	}
	spec, err := Parse(source)
	return spec, errors.Wrapf(err, "load schedule %s", path)
}

// Parse decodes and validates a load schedule.
func Parse(source []byte) (*Spec, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(source))
	decoder.KnownFields(true)
	var spec Spec
	if err := decoder.Decode(&spec); err != nil {
		return nil, errors.Wrap(err, "decoding YAML")
	}
	if err := spec.check(); err != nil {
		return nil, err
	}
	return &spec, nil
}

func (s *Spec) check() error {
	switch {
	case s.Rate <= 0 || s.Duration <= 0:
		return errors.New("rate and duration must be above zero")
	case s.Arrivals != "poisson" && s.Arrivals != "uniform":
		return errors.Errorf("arrivals %q is neither poisson nor uniform", s.Arrivals)
	case vocabularies[s.Vocabulary] == nil:
		return errors.Errorf("unknown vocabulary %q", s.Vocabulary)
	case len(s.Tenants) == 0 || len(s.Classes)+len(s.Calls) == 0:
		return errors.New("at least one tenant and one class or call are needed")
	}
	for _, layer := range s.Layers {
		if layer.Tokens <= 0 || (layer.ChangeEvery > 0 && layer.EntryTokens <= 0) {
			return errors.Errorf("layer %q: tokens, and entryTokens of a layer that changes, must be above zero", layer.Name)
		}
	}
	if err := s.checkWeights(); err != nil {
		return err
	}
	for _, class := range s.Classes {
		if err := s.checkClass(class); err != nil {
			return err
		}
	}
	for index, event := range s.Events {
		if err := s.checkEvent(event); err != nil {
			return errors.Wrapf(err, "event %d", index+1)
		}
	}
	return nil
}

func (s *Spec) checkWeights() error {
	var weights []float64
	for _, tenant := range s.Tenants {
		weights = append(weights, tenant.Weight)
	}
	for _, class := range s.Classes {
		weights = append(weights, class.Weight)
	}
	for _, call := range s.Calls {
		weights = append(weights, call.Weight)
	}
	for _, layer := range s.Layers {
		for _, variant := range layer.Variants {
			weights = append(weights, variant.Weight)
		}
	}
	if slices.ContainsFunc(weights, func(weight float64) bool { return !(weight > 0) }) {
		return errors.New("every tenant, class, call and variant needs a weight above zero")
	}
	return nil
}

func (s *Spec) checkClass(class Class) error {
	for _, name := range class.Layers {
		if s.layerIndex(name) < 0 {
			return errors.Errorf("class %q: unknown layer %q", class.Name, name)
		}
	}
	if class.MinTokens < 1 || class.MaxTokens < class.MinTokens || class.TailTokens < 1 {
		return errors.Errorf("class %q: tailTokens, minTokens and maxTokens must be above zero and in order", class.Name)
	}
	return nil
}

func (s *Spec) checkEvent(event LoadEvent) error {
	if event.At < 0 || event.For <= 0 || event.Factor < 1 {
		return errors.New("at must not be negative, for above zero, factor at least 1")
	}
	switch event.Kind {
	case EventFlood:
		if !slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Name == event.Class }) {
			return errors.Errorf("unknown class %q", event.Class)
		}
	case EventShift:
		index := s.layerIndex(event.Layer)
		if index < 0 || !slices.ContainsFunc(s.Layers[index].Variants, func(v Variant) bool { return v.Name == event.Variant }) {
			return errors.Errorf("unknown layer %q with variant %q", event.Layer, event.Variant)
		}
	default:
		return errors.Errorf("unknown kind %q", event.Kind)
	}
	return nil
}

func (s *Spec) layerIndex(name string) int {
	return slices.IndexFunc(s.Layers, func(layer Layer) bool { return layer.Name == name })
}
