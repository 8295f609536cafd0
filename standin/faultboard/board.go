// Package faultboard holds the faults injected into a stand-in and draws from a
// seeded source which of them apply to a request.
package faultboard

import (
	"cmp"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/fieldpond/fieldpond/internal/fault"
)

// AllServices is the Service of a fault that applies to every service.
const AllServices = "all"

// Path is the board's HTTP path: POST injects a Fault, DELETE clears all.
const Path = "/rehearsal/faults"

const maxFaultBytes = 4 << 10

// Fault is one injected fault.
type Fault struct {
	// Service is the affected service; empty means AllServices.
	Service string `json:"service,omitempty"`
	Kind    string `json:"kind"`
	// DurationMillis is the time until the fault ends.
	DurationMillis int64 `json:"duration_millis"`
	// DelayMillis is the delay, for kinds that delay.
	DelayMillis int64 `json:"delay_millis,omitempty"`
	// Probability is the chance that a request is affected. Default: 1.
	Probability float64 `json:"probability,omitempty"`
	// OnlyWrites excludes reads.
	OnlyWrites bool `json:"only_writes,omitempty"`
}

// Board holds the active faults. It is safe for concurrent use.
type Board struct {
	mutex    sync.Mutex
	kinds    []string
	services []string
	random   *rand.Rand
	faults   []activeFault
}

type activeFault struct {
	Fault
	until time.Time
}

// New returns an empty board that accepts the given kinds and services.
func New(seed uint64, kinds, services []string) *Board {
	return &Board{kinds: kinds, services: services, random: rand.New(rand.NewPCG(seed, 0))}
}

// Inject activates a fault at now, or returns an error if it is invalid.
func (b *Board) Inject(injected Fault, now time.Time) error {
	if injected.Service == "" {
		injected.Service = AllServices
	}
	injected.Probability = cmp.Or(injected.Probability, 1)
	if !slices.Contains(b.kinds, injected.Kind) {
		return fault.New(fault.BadRequest, "unknown fault kind %q", injected.Kind).WithRemedy("use one of %v", b.kinds)
	}
	if injected.Service != AllServices && !slices.Contains(b.services, injected.Service) {
		return fault.New(fault.BadRequest, "unknown service %q", injected.Service).WithRemedy("use all or one of %v", b.services)
	}
	if injected.DurationMillis <= 0 || injected.DelayMillis < 0 || injected.Probability < 0 || injected.Probability > 1 {
		return fault.New(fault.BadRequest, "duration, delay or probability of the fault is out of range").
			WithRemedy("give duration_millis above 0, delay_millis of 0 or more, probability from 0 to 1")
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	until := now.Add(time.Duration(injected.DurationMillis) * time.Millisecond)
	b.faults = append(b.faults, activeFault{Fault: injected, until: until})
	return nil
}

// Clear removes all faults.
func (b *Board) Clear() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.faults = nil
}

// Drawn holds the faults that apply to one request.
type Drawn struct{ faults []Fault }

// Draw returns the faults that apply to a request to service at now.
func (b *Board) Draw(service string, write bool, now time.Time) Drawn {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.faults = slices.DeleteFunc(b.faults, func(f activeFault) bool { return !now.Before(f.until) })
	var drawn Drawn
	for _, active := range b.faults {
		if active.Service != AllServices && active.Service != service {
			continue
		}
		if active.OnlyWrites && !write {
			continue
		}
		if b.random.Float64() < active.Probability {
			drawn.faults = append(drawn.faults, active.Fault)
		}
	}
	return drawn
}

// Has reports whether a fault of the kind applies.
func (d Drawn) Has(kind string) bool {
	return slices.ContainsFunc(d.faults, func(f Fault) bool { return f.Kind == kind })
}

// Delay returns the longest delay of the kind, or zero.
func (d Drawn) Delay(kind string) time.Duration {
	var longest time.Duration
	for _, drawn := range d.faults {
		if drawn.Kind == kind {
			longest = max(longest, time.Duration(drawn.DelayMillis)*time.Millisecond)
		}
	}
	return longest
}

// Register adds the board's routes.
func (b *Board) Register(router *mux.Router) {
	router.HandleFunc(Path, b.servePost).Methods(http.MethodPost)
	router.HandleFunc(Path, func(w http.ResponseWriter, _ *http.Request) {
		b.Clear()
		w.WriteHeader(http.StatusNoContent)
	}).Methods(http.MethodDelete)
}

func (b *Board) servePost(w http.ResponseWriter, r *http.Request) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultBytes))
	decoder.DisallowUnknownFields()
	var injected Fault
	if err := decoder.Decode(&injected); err != nil {
		http.Error(w, "malformed fault: "+err.Error(), http.StatusBadRequest)
		return
	}
	if err := b.Inject(injected, time.Now()); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
