package router

import (
	"github.com/fieldpond/fieldpond/internal/claim"
	"github.com/fieldpond/fieldpond/internal/dispatch"
	"github.com/fieldpond/fieldpond/internal/fleet"
	"github.com/fieldpond/fieldpond/internal/membership"
	"github.com/fieldpond/fieldpond/internal/peer"
	"github.com/fieldpond/fieldpond/internal/ring"
	"github.com/fieldpond/fieldpond/internal/telemetry"
)

//go:generate go run ./gen

// MetricsReference returns the reference page of every metric of a router.
func MetricsReference() []byte {
	// Metrics read the router's components only when they are collected.
	described := &Router{telemetry: telemetry.New()}
	described.registerMetrics()
	return described.telemetry.Reference()
}

// registerMetrics registers the metrics of all components.
func (r *Router) registerMetrics() {
	r.registerPlacement()
	r.registerCacheBeliefs()
	r.registerDirectory()
	r.registerApplications()
	r.registerDispatch()
	r.registerQuarantine()
	r.registerClaims()
	r.registerSweep()
	r.registerMembership()
	r.registerFleet()
	r.registerPeers()
	r.registerControl()
}

// rings returns the counters of the rings between the components. Rings may share
// a name; /metrics sums those.
func (r *Router) rings() []func() ring.Counters {
	rings := append(r.placementRunner.Rings(), r.appPoller.Rings()...)
	rings = append(rings, r.directoryMessages.messages.Counters, r.quarantines.calls.Counters)
	rings = append(rings, r.control.Rings()...)
	rings = append(rings, eachRing(r.syncer.Rings)...)
	return append(rings, eachRing(func() []ring.Counters { return r.members.Counters().Rings })...)
}

// eachRing splits a reading of several rings into one reading per ring. The order
// of the rings must be fixed.
func eachRing(read func() []ring.Counters) []func() ring.Counters {
	var rings []func() ring.Counters
	for index := range read() {
		rings = append(rings, func() ring.Counters { return read()[index] })
	}
	return rings
}

func (r *Router) registerDispatch() {
	group := telemetry.NewGroup(r.telemetry, func() (*dispatch.Counters, bool) { return &r.dispatch.Counters, true })
	group.Counter("stream_events_crossed_total", "Events of another request, attempt, incarnation or stream; dropped.", func(c *dispatch.Counters) uint64 { return c.Misrouted.Load() })
	group.Counter("stream_events_late_total", "Events of an attempt that was over; dropped.", func(c *dispatch.Counters) uint64 { return c.StaleAttempt.Load() })
	group.Counter("stream_events_repeated_total", "Events that had been taken before; dropped.", func(c *dispatch.Counters) uint64 { return c.Duplicate.Load() })
	group.Counter("stream_gaps_total", "Breaks because an event of a stream was missing.", func(c *dispatch.Counters) uint64 { return c.Gaps.Load() })
	group.Counter("stream_stalls_total", "Breaks because no event came in time.", func(c *dispatch.Counters) uint64 { return c.Stalls.Load() })
	group.Counter("stream_resumes_total", "Streams resumed on the same incarnation.", func(c *dispatch.Counters) uint64 { return c.Resumes.Load() })
	group.Counter("streams_continued_total", "Streams continued on another engine after text was emitted.", func(c *dispatch.Counters) uint64 { return c.Continued.Load() })
	group.Counter("streams_regenerated_total", "Streams begun anew before any text was emitted.", func(c *dispatch.Counters) uint64 { return c.Regenerated.Load() })
	group.Counter("streams_cancelled_total", "Generations cancelled at their engine.", func(c *dispatch.Counters) uint64 { return c.Cancelled.Load() })
	group.Counter("attempts_total", "Attempts sent to engines.", func(c *dispatch.Counters) uint64 { return c.Attempts.Load() })
	group.Counter("retries_total", "Attempts after the first of a request.", func(c *dispatch.Counters) uint64 { return c.Retries.Load() })
	group.Counter("retries_refused_total", "Retries not made because the budget was used up.", func(c *dispatch.Counters) uint64 { return c.BudgetRefused.Load() })
	group.Counter("claims_attached_total", "Repeats that waited for the running first sending.", func(c *dispatch.Counters) uint64 { return c.Attached.Load() })
	group.Counter("answers_retained_total", "Repeats answered with the retained answer.", func(c *dispatch.Counters) uint64 { return c.Retained.Load() })
	group.Counter("answers_unsaved_total", "Answers of claimed requests that could not be retained.", func(c *dispatch.Counters) uint64 { return c.Unsaved.Load() })
	group.Register()
}

func (r *Router) registerQuarantine() {
	group := telemetry.NewGroup(r.telemetry, func() (quarantineCounts, bool) { return r.quarantines.counts(), true })
	group.Gauge("quarantined_requests", "Requests that are held, since engines crashed while they ran them.", func(c quarantineCounts) int { return c.quarantined })
	group.Gauge("crash_suspects", "Requests that ran on an engine as it crashed, and were not answered since.", func(c quarantineCounts) int { return c.suspects })
	group.Register()
}

func (r *Router) registerClaims() {
	group := telemetry.NewGroup(r.telemetry, func() (claim.Counters, bool) { return r.claims.Counters(), true })
	group.Counter("claims_granted_total", "Claims won by this router.", func(c claim.Counters) uint64 { return c.Granted })
	group.Counter("claims_shown_total", "Claims that stood already: a repeat, or another router's.", func(c claim.Counters) uint64 { return c.AlreadyClaimed })
	group.Counter("claims_refused_total", "Claims without an answer of the table in time; their requests did not run.", func(c claim.Counters) uint64 { return c.Refused })
	group.Counter("claims_released_total", "Claims given up after they may have reached the table.", func(c claim.Counters) uint64 { return c.Released })
	group.Counter("claim_outcomes_dropped_total", "Outcomes not recorded because too many waited for the table.", func(c claim.Counters) uint64 { return c.Dropped })
	group.Counter("claim_transactions_total", "Transactions sent to the table for claims and outcomes.", func(c claim.Counters) uint64 { return c.Transactions })
	group.Counter("claim_transactions_unsettled_total", "Transactions for claims and outcomes without an answer of the table.", func(c claim.Counters) uint64 { return c.Unsettled })
	group.Gauge("claims_waiting", "Claims queued or in flight now.", func(c claim.Counters) int { return c.Waiting })
	group.Gauge("claim_outcomes_waiting", "Outcomes queued or in flight now.", func(c claim.Counters) int { return c.Background })
	group.Register()
}

func (r *Router) registerMembership() {
	group := telemetry.NewGroup(r.telemetry, func() (membership.Counters, bool) { return r.members.Counters(), true })
	group.Counter("gossip_sent_bytes_total", "Bytes of gossip datagrams sent, without headers of the network.", func(c membership.Counters) uint64 { return c.BytesSent })
	group.Counter("gossip_received_bytes_total", "Bytes of gossip datagrams received, without headers of the network.", func(c membership.Counters) uint64 { return c.BytesReceived })
	group.Counter("gossip_sent_datagrams_total", "Gossip datagrams sent.", func(c membership.Counters) uint64 { return c.DatagramsSent })
	group.Counter("gossip_received_datagrams_total", "Gossip datagrams received.", func(c membership.Counters) uint64 { return c.DatagramsReceived })
	group.Counter("gossip_refused_total", "Gossip datagrams refused: not authentic, too old or malformed.", func(c membership.Counters) uint64 { return c.Refused })
	group.Counter("gossip_unsent_total", "Gossip datagrams that could not be sent.", func(c membership.Counters) uint64 { return c.Unsent })
	group.Labelled(telemetry.KindGauge, "members", "Routers by state as this router sees them, itself included.", "state", func(membership.Counters) map[string]float64 {
		states := make(map[string]float64)
		for _, state := range []membership.State{membership.Alive, membership.Suspect, membership.Leaving, membership.Dead} {
			states[state.String()] = 0
		}
		for _, member := range r.view().Members {
			states[member.State.String()]++
		}
		return states
	})
	group.Register()
}

func (r *Router) registerFleet() {
	group := telemetry.NewGroup(r.telemetry, func() (fleet.AdopterCounters, bool) { return r.syncer.Counters(), true })
	group.Gauge("fleet_version", "Fleet version in force here; 0 is none yet.", func(fleet.AdopterCounters) int { return int(r.syncer.CurrentRef().Version) })
	group.Gauge("fleet_versions_behind", "Fleet versions between the one in force here and the newest heard of.", func(fleet.AdopterCounters) int {
		return max(0, int(r.members.Head().Version)-int(r.syncer.CurrentRef().Version))
	})
	group.Counter("fleet_adopted_total", "Fleet files put in force.", func(c fleet.AdopterCounters) uint64 { return c.Adopted })
	group.Counter("fleet_disputed_total", "Fleet files heard of that contradict another of the same version.", func(c fleet.AdopterCounters) uint64 { return c.Disputed })
	group.Counter("fleet_table_behind_total", "Reads of the table that showed an older version than the one in force.", func(c fleet.AdopterCounters) uint64 { return c.TableBehind })
	group.Counter("fleet_bad_bodies_total", "Fleet files that did not match their digest or failed their checks.", func(c fleet.AdopterCounters) uint64 { return c.BadBodies })
	group.Register()
}

func (r *Router) registerPeers() {
	group := telemetry.NewGroup(r.telemetry, func() (peer.ServerCounters, bool) { return r.peerServer.Counters(), true })
	group.Counter("peer_calls_answered_total", "Authentic calls of other routers.", func(c peer.ServerCounters) uint64 { return c.Answered })
	group.Counter("peer_calls_refused_total", "Calls that were not authentic, or malformed.", func(c peer.ServerCounters) uint64 { return c.Refused })
	group.Register()
}
