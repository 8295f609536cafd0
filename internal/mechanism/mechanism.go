// Package mechanism names the policies of a router that can be switched off one by
// one, so that what each is worth can be measured.
package mechanism

import (
	"slices"
	"strings"

	"github.com/fieldpond/fieldpond/internal/fault"
)

// Name names a mechanism.
type Name string

// The mechanisms.
const (
	// HomeEngines sends prompts with the same shared part to the same engine.
	HomeEngines Name = "home-engines"
	// CacheStore fetches prompts from stores of kept caches, and saves them there.
	CacheStore Name = "cache-store"
	// CacheIndex reads what the stores of kept caches hold, and saves what is missing.
	CacheIndex Name = "cache-index"
	// SharedSaves saves only prompts that are mostly shared.
	SharedSaves Name = "shared-saves"
	// LongIdle keeps connections whose peers tell no time for longer than a second.
	LongIdle Name = "long-idle"
	// EarlyOrders orders new weights as soon as their version is seen.
	EarlyOrders Name = "early-orders"
	// Notifications tells routers ahead of the list which engines change.
	Notifications Name = "notices"
	// QuiesceFirst has an engine emptied before it is ordered to take new weights.
	QuiesceFirst Name = "empty-first"
	// NewerWeights prefers engines that have the newest weights.
	NewerWeights Name = "newer-weights"
	// PrefillRate learns how fast engines read prompts.
	PrefillRate Name = "reading-rate"
	// EarlyRefusal refuses prompts under overload that would wait for too long.
	EarlyRefusal Name = "early-refusal"
	// LatenessAllowance allows for the usual lateness of a back end before an attempt
	// is given up as silent.
	LatenessAllowance Name = "late-patience"
	// ExpiryGrace keeps entries for a while that lapsed in an outage of the list.
	ExpiryGrace Name = "lapse-grace"
	// SharedHealth lets one router of each zone check its engines for all others.
	SharedHealth Name = "shared-health"
	// SharedQuotas pools the limits of tenants over routers; without it each router
	// grants its equal share of them.
	SharedQuotas Name = "shared-quotas"
	// BackendLimits keeps back ends within the limits that they name; without it routers
	// choose as if there were none.
	BackendLimits Name = "backend-limits"
	// BackendAdvertised keeps requests from back ends that say in their answers that they leave, or
	// want rest; without it routers choose as if they had not.
	BackendAdvertised Name = "backend-words"
	// StartHold lets requests wait a short while for the first configuration of a router
	// that has just started; without it they are refused at once.
	StartHold Name = "start-hold"
)

// All returns every mechanism.
func All() []Name {
	return []Name{
		HomeEngines, CacheStore, CacheIndex, SharedSaves, LongIdle, EarlyOrders, Notifications, QuiesceFirst,
		NewerWeights, PrefillRate,
		EarlyRefusal, LatenessAllowance, ExpiryGrace, SharedHealth, SharedQuotas,
		StartHold, BackendLimits, BackendAdvertised,
	}
}

// Disabled is a set of mechanisms that are switched off; the zero value leaves all on.
type Disabled struct{ names []Name }

// ParseDisabled reads a set from names of mechanisms. Its error names those there are.
func ParseDisabled(names []string) (Disabled, error) {
	var disabled Disabled
	for _, name := range names {
		if !slices.Contains(All(), Name(name)) {
			return Disabled{}, fault.New(fault.InvalidSettings, "there is no mechanism %q; there are %s", name, joinedNames())
		}
		disabled.names = append(disabled.names, Name(name))
	}
	return disabled, nil
}

// Enabled reports whether a mechanism is on.
func (d Disabled) Enabled(name Name) bool { return !slices.Contains(d.names, name) }

// joinedNames returns the names of all mechanisms for a message.
func joinedNames() string {
	var names []string
	for _, name := range All() {
		names = append(names, string(name))
	}
	return strings.Join(names, ", ")
}
