package router

import (
	"context"
	"strconv"
	"time"

	"github.com/fieldpond/fieldpond/internal/placement"
	"github.com/fieldpond/fieldpond/internal/status"
	"github.com/fieldpond/fieldpond/internal/telemetry"
)

// readPlacement reads the placement runner within statusTimeout.
func (r *Router) readPlacement() (placement.State, bool) {
	bounded, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	state, err := r.placementRunner.State(bounded)
	return state, err == nil
}

func (r *Router) registerPlacement() {
	group := telemetry.NewGroup(r.telemetry, r.readPlacement)
	group.Counter("placement_placed_total", "Attempts given an engine.", func(p placement.State) uint64 { return p.Decisions.Placed })
	group.Counter("placement_held_total", "Decisions to let a request wait.", func(p placement.State) uint64 { return p.Decisions.Held })
	group.Counter("placement_refused_total", "Requests given up before any attempt of theirs was placed, or between two.", func(p placement.State) uint64 { return p.Decisions.Refused })
	group.Gauge("placement_in_flight", "Attempts on an engine now.", func(p placement.State) int { return p.InFlight })
	group.Labelled(telemetry.KindGauge, "queue_waiting", "Requests waiting for a place now, by priority; 0 is the most urgent.", "priority", func(p placement.State) map[string]float64 {
		waiting := map[string]float64{"0": 0}
		for priority, count := range p.Waiting {
			waiting[strconv.Itoa(priority)] = float64(count)
		}
		return waiting
	})
	group.Counter("admission_offered_total", "Requests offered to the queue.", func(p placement.State) uint64 { return p.Queue.Offered })
	group.Counter("admission_dispatched_total", "Requests that left the queue for an engine.", func(p placement.State) uint64 { return p.Queue.Dispatched })
	group.Counter("admission_aged_total", "Dispatches out of turn for the starvation bound.", func(p placement.State) uint64 { return p.Queue.Aged })
	group.Counter("admission_withdrawn_total", "Requests whose caller left while they waited.", func(p placement.State) uint64 { return p.Queue.Removed })
	group.Labelled(telemetry.KindCounter, "admission_refused_total",
		"Requests refused by the queue: full, hopeless (predicted wait above the hold time), displaced by another, expired, or rejected for want of an engine.", "reason", refusedByQueue)
	group.Labelled(telemetry.KindGauge, "engines", "Engines of the fleet file by state as this router sees them: alive, leaving or dead.", "state", enginesByState)
	group.Register()
}

func refusedByQueue(p placement.State) map[string]float64 {
	return map[string]float64{
		"full": float64(p.Queue.Full), "hopeless": float64(p.Queue.HoldTooShort), "displaced": float64(p.Queue.Displaced),
		"expired": float64(p.Queue.Expired), "rejected": float64(p.Queue.Rejected),
	}
}

func enginesByState(p placement.State) map[string]float64 {
	states := backendStates{"alive": 0, "leaving": 0, "dead": 0}
	for _, endpoint := range p.Endpoints {
		states.count(endpoint.Alive, endpoint.Draining)
	}
	return states
}

// backendStates counts back ends by state.
type backendStates map[string]float64

func (s backendStates) count(alive, draining bool) {
	switch {
	case !alive:
		s["dead"]++
	case draining:
		s["leaving"]++
	default:
		s["alive"]++
	}
}

func (r *Router) registerApplications() {
	group := telemetry.NewGroup(r.telemetry, func() ([]status.Application, bool) { return r.apps.status(time.Now()), true })
	group.Labelled(telemetry.KindGauge, "applications", "Applications of the fleet file by state as this router sees them: alive, leaving or dead.", "state", func(applications []status.Application) map[string]float64 {
		states := backendStates{"alive": 0, "leaving": 0, "dead": 0}
		for _, application := range applications {
			states.count(application.Alive, application.Draining)
		}
		return states
	})
	group.Gauge("application_calls_in_flight", "Requests of this router on applications now.", func(applications []status.Application) int {
		calls := 0
		for _, application := range applications {
			calls += application.OwnInFlight
		}
		return calls
	})
	group.Register()
}

func (r *Router) registerCacheBeliefs() {
	group := telemetry.NewGroup(r.telemetry, r.readPlacement)
	group.Counter("prompt_tokens_total", "Prompt tokens of answered attempts.", func(p placement.State) uint64 { return p.Decisions.PromptTokens })
	group.Counter("believed_cached_tokens_total", "Prompt tokens of answered attempts that were believed cached when the engine was chosen.", func(p placement.State) uint64 { return p.Decisions.CreditedTokens })
	group.Counter("cached_tokens_total", "Prompt tokens of answered attempts that the engine found cached.", func(p placement.State) uint64 { return p.Decisions.CachedTokens })
	group.Counter("beliefs_high_total", "Answered attempts that found fewer tokens cached than believed, by more than one block.", func(p placement.State) uint64 { return p.Decisions.BeliefHigh })
	group.Counter("beliefs_low_total", "Answered attempts that found more tokens cached than believed, by more than one block.", func(p placement.State) uint64 { return p.Decisions.BeliefLow })
	group.Counter("beliefs_right_total", "Answered attempts that found as many tokens cached as believed, within one block.", func(p placement.State) uint64 { return p.Decisions.BeliefRight })
	group.Gauge("belief_blocks", "Cache blocks remembered now.", func(p placement.State) int { return p.Beliefs.Blocks })
	group.Counter("belief_blocks_evicted_total", "Cache blocks forgotten for lack of room in the router.", func(p placement.State) uint64 { return p.Beliefs.Evicted })
	group.Counter("cache_event_gaps_total", "Gaps in the sequences of cache events.", func(p placement.State) uint64 { return p.Beliefs.Gaps })
	group.Counter("cache_events_stale_total", "Observations of an incarnation that is no longer the engine's; dropped.", func(p placement.State) uint64 { return p.Beliefs.Stale })
	group.Counter("beliefs_dropped_total", "Times that all beliefs about an engine were dropped: new incarnation, weights or death.", func(p placement.State) uint64 { return p.Beliefs.Dropped })
	group.Register()
}

func (r *Router) registerDirectory() {
	group := telemetry.NewGroup(r.telemetry, r.readPlacement)
	group.Counter("placement_parked_total", "Requests that waited for an answer of the prefix directory.", func(p placement.State) uint64 { return p.Decisions.Parked })
	group.Counter("directory_lookups_total", "Prefixes looked up in the directory.", func(p placement.State) uint64 { return p.Directory.Lookups })
	group.Counter("directory_remote_lookups_total", "Lookups that asked another router.", func(p placement.State) uint64 { return p.Directory.RemoteLookups })
	group.Counter("directory_reports_total", "Reports of cached prefixes sent to their owners.", func(p placement.State) uint64 { return p.Directory.Reports })
	group.Counter("directory_malformed_total", "Directory messages ignored because of their form.", func(p placement.State) uint64 { return p.Directory.Malformed })
	group.Counter("directory_misdirected_total", "Directory messages for a part that this router does not own.", func(p placement.State) uint64 { return p.Directory.Misdirected })
	group.Counter("directory_overflow_total", "Directory entries forgotten for lack of room.", func(p placement.State) uint64 { return p.Directory.Overflow })
	group.Gauge("directory_roots", "Prefixes that this router holds for the directory now.", func(p placement.State) int { return p.Directory.Roots })
	group.Register()
}
