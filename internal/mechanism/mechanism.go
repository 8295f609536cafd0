// Package mechanism names the policies of a router that can be disabled one by one, to
// measure the effect of each.
package mechanism

import (
	"slices"
	"strings"

	"github.com/fieldpond/fieldpond/internal/fault"
)

// Name is the name of a mechanism.
type Name string

// The mechanisms.
const (
	// HomeEngines sends prompts with the same shared prefix to the same engine.
	HomeEngines Name = "home-engines"
	// CacheStore loads prompt caches from cache stores, and saves them there.
	CacheStore Name = "cache-store"
	// CacheIndex reads the contents of cache stores, and saves what is missing.
	CacheIndex Name = "cache-index"
	// SharedSaves saves only prompts that other requests can mostly reuse.
	SharedSaves Name = "shared-saves"
	// LongIdle keeps idle connections whose peers state no idle timeout for longer than
	// a second.
	LongIdle Name = "long-idle"
	// EarlyOrders orders engines to load new weights as soon as the version is observed.
	EarlyOrders Name = "early-orders"
	// Notifications notifies routers of changed engines ahead of the instance list.
	Notifications Name = "notices"
	// QuiesceFirst quiesces an engine before it is ordered to load new weights.
	QuiesceFirst Name = "empty-first"
	// NewerWeights prefers engines with the newest weights.
	NewerWeights Name = "newer-weights"
	// PrefillRate estimates the prefill rate of engines.
	PrefillRate Name = "reading-rate"
	// EarlyRefusal refuses prompts that would wait for too long under overload.
	EarlyRefusal Name = "early-refusal"
	// LatenessAllowance adds the usual lateness of a back end to the time until an
	// attempt without an answer is abandoned.
	LatenessAllowance Name = "late-patience"
	// ExpiryGrace keeps entries that expired during an outage of the list for a time.
	ExpiryGrace Name = "lapse-grace"
	// SharedHealth has one router of each zone check its engines for all others.
	SharedHealth Name = "shared-health"
	// SharedQuotas pools the limits of tenants over routers; without it each router
	// grants an equal share of them.
	SharedQuotas Name = "shared-quotas"
	// BackendLimits keeps back ends within the limits that they advertise; without it
	// routers choose as if there were none.
	BackendLimits Name = "backend-limits"
	// BackendAdvertised sends no requests to back ends that advertise a drain or a
	// back-off in their answers; without it routers ignore both.
	BackendAdvertised Name = "backend-words"
	// BrittleRoom bounds what is in flight at back ends that advertise that they fail when they
	// refuse too much.
	BrittleRoom Name = "brittle-room"
	// PeerDetours opens connections to back ends through other routers when they cannot be opened
	// directly.
	PeerDetours Name = "peer-detours"
	// StreamAffinity continues streams only at the release that began them.
	StreamAffinity Name = "stream-affinity"
	// StartHold has requests wait a short time for the first configuration of a router
	// that has just started; without it they are refused at once.
	StartHold Name = "start-hold"
)

// All returns every mechanism.
func All() []Name {
	return []Name{
		HomeEngines, CacheStore, CacheIndex, SharedSaves, LongIdle, EarlyOrders, Notifications, QuiesceFirst,
		NewerWeights, PrefillRate,
		EarlyRefusal, LatenessAllowance, ExpiryGrace, SharedHealth, SharedQuotas,
		BrittleRoom, PeerDetours, StreamAffinity, StartHold, BackendLimits, BackendAdvertised,
	}
}

// Disabled is the set of disabled mechanisms; the zero value leaves all enabled.
type Disabled struct{ names []Name }

// ParseDisabled returns the set with the given names. Its error lists the valid names.
func ParseDisabled(names []string) (Disabled, error) {
	var disabled Disabled
	for _, name := range names {
		if !slices.Contains(All(), Name(name)) {
			return Disabled{}, fault.New(fault.InvalidSettings, "unknown mechanism %q; the mechanisms are %s", name, joinedNames())
		}
		disabled.names = append(disabled.names, Name(name))
	}
	return disabled, nil
}

// Enabled reports whether a mechanism is enabled.
func (d Disabled) Enabled(name Name) bool { return !slices.Contains(d.names, name) }

// joinedNames returns the names of all mechanisms, for a message.
func joinedNames() string {
	var names []string
	for _, name := range All() {
		names = append(names, string(name))
	}
	return strings.Join(names, ", ")
}
