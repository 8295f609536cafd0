package experiment

import (
	"bytes"
	"embed"
	"path"
	"slices"
	"strings"
	"time"

	"gopkg.in/yaml.v3"

	"github.com/fieldpond/fieldpond/examples"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/fleet"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/standin/workload"
)

//go:embed scenarios/*.yaml
var scenarioFiles embed.FS

const scenarioDirectory = "scenarios"

// Kinds of Fault.
const (
	// FaultCrash crashes an engine; after For it restarts with an empty cache.
	FaultCrash = "crash"
	// FaultZoneLost stops every engine and router of a zone for the time For.
	FaultZoneLost = "zone-lost"
	// FaultRestartRouters restarts every router without its state.
	FaultRestartRouters = "restart-routers"
)

// Fault is a fault during a scenario.
type Fault struct {
	// Kind is "crash", "zone-lost" or "restart-routers".
	Kind string        `yaml:"kind"`
	At   time.Duration `yaml:"at"`
	For  time.Duration `yaml:"for"`
	// Engine is the engine of a crash, Zone the lost zone.
	Engine ident.Engine `yaml:"engine"`
	Zone   ident.Zone   `yaml:"zone"`
}

// Surge adds requests of one tenant to the load schedule.
type Surge struct {
	Tenant ident.Tenant  `yaml:"tenant"`
	At     time.Duration `yaml:"at"`
	For    time.Duration `yaml:"for"`
	// Rate is the number of added arrivals per second.
	Rate float64 `yaml:"rate"`
}

// Focus is the part of a scenario whose tail latency is compared with that of the
// time before.
type Focus struct {
	At  time.Duration `yaml:"at"`
	For time.Duration `yaml:"for"`
}

// Scenario is a situation in which policies are compared.
type Scenario struct {
	// Name of the scenario; its file has the same name.
	Name string `yaml:"name"`
	// Purpose is a sentence on what the scenario shows.
	Purpose string `yaml:"purpose"`
	// Deployment names the example whose fleet and load files are used.
	Deployment string `yaml:"deployment"`
	// Rate replaces the arrivals per second of the load schedule.
	Rate float64 `yaml:"rate"`
	// Duration is the time of arrivals, including Warmup; requests that arrive
	// during the warmup are not measured.
	Duration time.Duration `yaml:"duration"`
	Warmup   time.Duration `yaml:"warmup"`
	// CacheBlocks is the capacity of every engine's block cache.
	CacheBlocks int `yaml:"cacheBlocks"`
	// EventLoss is the probability that a cache event is lost.
	EventLoss float64 `yaml:"eventLoss"`
	// LoadLag is the age of load reports; zero means the engine's default.
	LoadLag time.Duration `yaml:"loadLag"`
	// Protected is the class whose tail latency matters most.
	Protected ident.Class `yaml:"protected"`
	// Events replace those of the load schedule.
	Events []workload.LoadEvent `yaml:"events"`
	Surges []Surge              `yaml:"surges"`
	Faults []Fault              `yaml:"faults"`
	Focus  *Focus               `yaml:"focus"`
}

// Scenarios returns the built-in scenarios, sorted by name.
func Scenarios() ([]Scenario, error) {
	entries, err := scenarioFiles.ReadDir(scenarioDirectory)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "listing the scenarios")
	}
	var all []Scenario
	for _, entry := range entries {
		source, err := scenarioFiles.ReadFile(path.Join(scenarioDirectory, entry.Name()))
		if err != nil {
			return nil, fault.Wrap(err, fault.Internal, "reading the scenario %s", entry.Name())
		}
		scenario, err := ParseScenario(source)
		if err != nil {
			return nil, fault.Wrap(err, fault.InvalidSettings, "scenario %s", entry.Name())
		}
		all = append(all, scenario)
	}
	return all, nil
}

// ScenariosByName returns the named scenarios, or every one for "all".
func ScenariosByName(names []string) ([]Scenario, error) {
	all, err := Scenarios()
	if err != nil || slices.Contains(names, nameOfAll) {
		return all, err
	}
	var known []string
	for _, scenario := range all {
		known = append(known, scenario.Name)
	}
	var chosen []Scenario
	for _, name := range names {
		position := slices.Index(known, name)
		if position < 0 {
			return nil, fault.New(fault.BadRequest, "no scenario is named %q", name).
				WithRemedy("name one of: %s, or all", strings.Join(known, ", "))
		}
		chosen = append(chosen, all[position])
	}
	return chosen, nil
}

// nameOfAll selects every scenario or policy.
const nameOfAll = "all"

// ParseScenario decodes and checks a scenario.
func ParseScenario(source []byte) (Scenario, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(source))
	decoder.KnownFields(true)
	var scenario Scenario
	if err := decoder.Decode(&scenario); err != nil {
		return scenario, fault.Wrap(err, fault.InvalidSettings, "decoding YAML")
	}
	return scenario, scenario.check()
}

func (s *Scenario) check() error {
	switch {
	case s.Name == "" || s.Deployment == "":
		return fault.New(fault.InvalidSettings, "name and deployment must be set")
	case s.Rate <= 0 || s.CacheBlocks <= 0 || s.Warmup < 0 || s.Duration <= s.Warmup:
		return fault.New(fault.InvalidSettings, "rate and cacheBlocks must be above zero and duration above warmup")
	case !(s.EventLoss >= 0 && s.EventLoss <= 1):
		return fault.New(fault.InvalidSettings, "eventLoss must be from 0 to 1")
	}
	for _, given := range s.Faults {
		if !slices.Contains([]string{FaultCrash, FaultZoneLost, FaultRestartRouters}, given.Kind) {
			return fault.New(fault.InvalidSettings, "unknown kind of fault %q", given.Kind)
		}
	}
	return nil
}

// preparedScenario is a scenario with the files of its deployment.
type preparedScenario struct {
	scenario Scenario
	fleet    *fleet.Compiled
	load     *workload.Spec
}

func prepare(scenario Scenario) (*preparedScenario, error) {
	document, problems := readFleet(scenario.Deployment)
	if err := problems.Err(); err != nil {
		return nil, err
	}
	source, err := examples.Files.ReadFile(scenario.Deployment + "/load.yaml")
	if err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, "no example deployment %s", scenario.Deployment)
	}
	spec, err := workload.Parse(source)
	if err != nil {
		return nil, fault.Wrap(err, fault.InvalidSettings, "load schedule of %s", scenario.Deployment)
	}
	spec.Name, spec.Rate, spec.Duration, spec.Events = scenario.Name, scenario.Rate, scenario.Duration, scenario.Events
	return &preparedScenario{scenario, fleet.Compile(document, 1, ""), spec}, nil
}

func readFleet(deployment string) (*fleet.Document, fleet.Problems) {
	source, err := examples.Files.ReadFile(deployment + "/fleet.yaml")
	if err != nil {
		return nil, fleet.Problems{{Severity: fleet.SeverityError, Message: "no example deployment " + deployment}}
	}
	return fleet.Parse(source, deployment+"/fleet.yaml")
}
