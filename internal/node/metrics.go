package node

//go:generate go run ./gen

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/exchange"
	"github.com/fieldpond/fieldpond/internal/forward"
	"github.com/fieldpond/fieldpond/internal/inbound"
	"github.com/fieldpond/fieldpond/internal/quarantine"
	"github.com/fieldpond/fieldpond/internal/quota"
	"github.com/fieldpond/fieldpond/internal/rollout"
	"github.com/fieldpond/fieldpond/internal/telemetry"
)

const metricsHeader = `# Metrics of a router on the users' platform

Generated from the code by "go generate ./internal/node".

A router serves these in the Prometheus text form on the port and path that
deploy/system.toml names. Counters start at zero with each process. No label
holds a key, a request identifier, or text of a prompt or an answer.
docs/OPERATIONS.md says which of them to watch, and what to do.

| Metric | Kind | Labels | Meaning |
|---|---|---|---|
`

// answerBuckets are the bounds of edge_answer_seconds.
var answerBuckets = []float64{0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8}

// metrics are the counters of one node.
type metrics struct {
	registry        *telemetry.Registry
	requests        *prometheus.CounterVec
	attempts        *prometheus.CounterVec
	distances       *prometheus.CounterVec
	refusals        *prometheus.CounterVec
	answerTime      *prometheus.HistogramVec
	orders          *prometheus.CounterVec
	suspectVersions *prometheus.CounterVec
	dependencies    *prometheus.CounterVec
	unconfirmed     *prometheus.CounterVec
	pulls           *prometheus.CounterVec
	watches         *prometheus.CounterVec
	retries         *prometheus.CounterVec
	// Amounts of reservations on the limits of tenants, by result.
	tenantGranted, tenantDenied, tenantUnconfirmed *prometheus.CounterVec
	limitReservations                              *prometheus.CounterVec
	attemptsElsewhere                              *prometheus.CounterVec
	// Checks whether back ends crashed, and requests for trials, by result.
	crashChecks, trials *prometheus.CounterVec
	partsCleared        prometheus.Counter
	relaysBroken        prometheus.Counter

	releaseAttempts, rolloutPhases *prometheus.CounterVec
	// Records sent of the releases at which streams began, and streams taken up by result of the
	// search.
	streamRecords prometheus.Counter
	streamsFound  *prometheus.CounterVec
}

// gaugeValues is the state of a node at one moment.
type gaugeValues struct {
	configurationVersion uint64
	configurationAge     time.Duration
	// configurationProblems is the number of fields that could not be decoded.
	configurationProblems int
	backends, inFlight    int
	limitedBackends       int
	drainingBackends      int
	backingOffBackends    int
	leaseHeld             bool
	readsStore            bool
	leaf                  bool
	children              int
	listAge               time.Duration
	routers, sharers      int
	quotaMembers          int
	limitMembers          int
	unreachableRegions    int
	backendsLost          bool
	relayed               int
	detours               uint64
	linesDropped          uint64
	silentConnections     uint64
	tooLargeAnswers       uint64
	malformedAnswers      map[string]float64
	clients               inbound.Counts
	crashes               quarantine.Counts
	streamRecords         int
	streamRecordsDropped  uint64
}

func newMetrics(read func() gaugeValues) *metrics {
	registry := telemetry.NewEmpty()
	m := &metrics{
		registry:        registry,
		requests:        registry.Counter("edge_requests_total", "Requests by their end: answered, refused, broken or client_gone.", "end"),
		attempts:        registry.Counter("edge_attempts_total", "Attempts at back ends, by outcome.", "outcome"),
		distances:       registry.Counter("edge_attempt_distances_total", "Attempts at back ends, by their distance: zone, region or other_region.", "distance"),
		refusals:        registry.Counter("edge_refusals_total", "Final answers of the router's own, by kind and by what ran.", "kind", "ran"),
		answerTime:      registry.Histogram("edge_answer_seconds", "Time from the arrival of a request to the end of its answer, in seconds.", answerBuckets, "end"),
		orders:          registry.Counter("edge_orders_total", "Orders to engines, by result.", "result"),
		suspectVersions: registry.Counter("edge_versions_doubted_total", "Versions of weights under which engines ended while they loaded them, by model.", "model"),
		dependencies:    registry.Counter("edge_dependency_lost_total", "Times that reads of a dependency began to fail.", "dependency"),
		unconfirmed:     registry.Counter("edge_configuration_unconfirmed_total", "Reads that did not confirm the configuration in force, by reason: read_failed, row_missing, row_unreadable, history_not_read, history_gone or revision_returned.", "reason"),
		watches:         registry.Counter("edge_naming_watches_total", "Watches of the store for versions of weights that are named, by result: news, quiet, partial, history_gone or failed.", "result"),
		pulls:           registry.Counter("edge_pulls_total", "Pulls of the shared state from other routers, by result.", "result"),
		retries:         registry.Counter("edge_repeats_total", "Repeats that were asked of the budget, by service and verdict: granted or denied.", "service", "verdict"),

		tenantGranted:     registry.Counter("edge_tenant_granted_total", "Requests or tokens of tenants with limits that were granted.", "tenant"),
		tenantDenied:      registry.Counter("edge_tenant_denied_total", "Requests or tokens that were denied, since the tenant had used its limit.", "tenant"),
		tenantUnconfirmed: registry.Counter("edge_tenant_unconfirmed_total", "Requests or tokens for which no router confirmed in time that the tenant is within its limit.", "tenant"),

		attemptsElsewhere: registry.Counter("edge_attempts_elsewhere_total", "Attempts that did not go to the back end that was expected to be the fastest, since that said that it wants rest or leaves, by reason: rest or leaving.", "reason"),
		limitReservations: registry.Counter("edge_limit_claims_total", "Requests that were asked for at back ends with limits, by verdict: granted, denied or unconfirmed.", "verdict"),

		crashChecks:  registry.Counter("edge_crash_checks_total", "Checks of back ends at which attempts broke off, by result: crashed, alive or unknown.", "result"),
		trials:       registry.Counter("edge_quarantine_trials_total", "Questions whether a quarantined request may be tried once more, by result: granted, denied or failed.", "result"),
		partsCleared: registry.Counter("edge_parts_cleared_total", "Parts of prompts against which crashes counted until an answer cleared them.").WithLabelValues(),

		relaysBroken: registry.Counter("edge_relays_broken_total", "Attempts whose connection ended with the router that relayed it, or may have.").WithLabelValues(),

		releaseAttempts: registry.Counter("edge_release_attempts_total", "Attempts at back ends of a service that is being moved to another release, by release and outcome.", "service", "release", "outcome"),
		streamRecords:   registry.Counter("edge_stream_records_sent_total", "Records sent to other routers of the release at which a stream began.").WithLabelValues(),
		streamsFound:    registry.Counter("edge_streams_taken_up_total", "Streams that clients take up again while a service has several releases, by what is known of the release that began them: found, unknown, unanswered (not all routers answered) or conflicting.", "result"),

		rolloutPhases: registry.Counter("edge_rollout_phases_total", "Changes of the phase of a rollout, as this router acts upon it.", "service", "phase"),
	}
	group := telemetry.NewGroup(registry, func() (gaugeValues, bool) { return read(), true })
	group.Gauge("edge_configuration_version", "Version of the configuration in force, 0 for none.", func(r gaugeValues) int { return int(r.configurationVersion) })
	group.Gauge("edge_configuration_age_milliseconds", "Time since the configuration was last confirmed, in milliseconds.", func(r gaugeValues) int { return int(r.configurationAge.Milliseconds()) })
	group.Gauge("edge_configuration_problems", "Fields of the configuration in force that cannot be decoded.", func(r gaugeValues) int { return r.configurationProblems })
	group.Gauge("edge_backends", "Back ends in the list.", func(r gaugeValues) int { return r.backends })
	group.Gauge("edge_backends_limited", "Back ends that name a limit of the requests which they take from all routers together.", func(r gaugeValues) int { return r.limitedBackends })
	group.Gauge("edge_backends_leaving", "Back ends in the list that are about to end, by the list's word, their own or another router's.", func(r gaugeValues) int { return r.drainingBackends })
	group.Gauge("edge_backends_resting", "Back ends that want nothing from this router now.", func(r gaugeValues) int { return r.backingOffBackends })
	group.Gauge("edge_attempts_in_flight", "Attempts under way.", func(r gaugeValues) int { return r.inFlight })
	group.Gauge("edge_lease_held", "1 while this router holds the rollout lease.", func(r gaugeValues) int { return oneIf(r.leaseHeld) })
	group.Gauge("edge_reads_store", "1 while this router reads the store for others.", func(r gaugeValues) int { return oneIf(r.readsStore) })
	group.Gauge("edge_leaf", "1 while this router is a leaf of a large fleet: it pulls from the backbone of its zone, and no router counts on it.", func(r gaugeValues) int { return oneIf(r.leaf) })
	group.Gauge("edge_children", "Routers that pulled the shared state from this one in the last seconds.", func(r gaugeValues) int { return r.children })
	group.Gauge("edge_list_age_milliseconds", "Time since the instance list was last confirmed by the store, or since the start without a list, in milliseconds.", func(r gaugeValues) int { return int(r.listAge.Milliseconds()) })
	group.Gauge("edge_routers", "Routers in all zones, as counted last; 0 for not known.", func(r gaugeValues) int { return r.routers })
	group.Gauge("edge_slack_sharers", "Routers among which the slack of the budget of repeats is divided; 0 while this router has no part of it.", func(r gaugeValues) int { return r.sharers })
	group.Gauge("edge_quota_members", "Routers whose claims on the limits of tenants this router grants.", func(r gaugeValues) int { return r.quotaMembers })
	group.Gauge("edge_limit_members", "Routers whose claims on the limits of back ends this router grants, over the parts of the back ends that it grants for.", func(r gaugeValues) int { return r.limitMembers })
	group.Gauge("edge_quarantined_requests", "Requests that are not sent on, since back ends crashed under them.", func(r gaugeValues) int { return r.crashes.Requests })
	group.Gauge("edge_crash_suspects", "Requests that ran on back ends which crashed, those that are quarantined among them.", func(r gaugeValues) int { return r.crashes.SuspectRequests })
	group.Gauge("edge_quarantined_parts", "Parts of prompts that are not sent on, by tenant and model, since back ends crashed under them.", func(r gaugeValues) int { return r.crashes.Parts })
	group.Gauge("edge_crash_suspect_parts", "Parts of prompts that ran on back ends which crashed, those that are quarantined among them.", func(r gaugeValues) int { return r.crashes.SuspectParts })
	group.Gauge("edge_stream_records", "Streams of which this router keeps at which release they began, while a service has several.", func(r gaugeValues) int { return r.streamRecords })
	group.Counter("edge_stream_records_dropped_total", "Records of streams for which this router had no room.", func(r gaugeValues) uint64 { return r.streamRecordsDropped })
	group.Gauge("edge_client_connections", "Open connections of clients.", func(r gaugeValues) int { return r.clients.Open })
	group.Counter("edge_clients_refused_total", "Connections and bodies of clients turned away because a bound of connections or memory was reached.", func(r gaugeValues) uint64 { return r.clients.Refused })
	group.Counter("edge_client_heads_refused_total", "Requests of clients whose first line and header exceeded their limit, or for which there was no memory beside those of others.", func(r gaugeValues) uint64 { return r.clients.HeadsRefused })
	group.Counter("edge_connections_silent_total", "Connections to back ends, the store, caches and other routers that were found silent: nothing sent on them was acknowledged.", func(r gaugeValues) uint64 { return r.silentConnections })
	group.Counter("edge_answers_too_large_total", "Answers of back ends, the store, caches and other routers whose first line and header exceeded their limit, and whose connections were closed.", func(r gaugeValues) uint64 { return r.tooLargeAnswers })
	group.Labelled(telemetry.KindCounter, "edge_answers_malformed_total", "Answers of back ends, the store, caches and other routers that were none of HTTP/1 and whose connections were closed, by what was wrong: version, status, field_name, field_value, line_end, framing or trailer.", "cause", func(r gaugeValues) map[string]float64 { return r.malformedAnswers })
	group.Gauge("edge_regions_lost", "Other regions whose back ends this router does not reach now.", func(r gaugeValues) int { return r.unreachableRegions })
	group.Gauge("edge_backends_not_reached", "1 while this router reaches no back end directly, and other routers do.", func(r gaugeValues) int { return oneIf(r.backendsLost) })
	group.Counter("edge_detours_total", "Connections to back ends that were opened through another router.", func(r gaugeValues) uint64 { return r.detours })
	group.Gauge("edge_relayed_connections", "Connections to back ends that this router relays for other routers.", func(r gaugeValues) int { return r.relayed })
	group.Counter("edge_log_lines_dropped_total", "Log lines that were not written.", func(r gaugeValues) uint64 { return r.linesDropped })
	group.Register()
	return m
}

func oneIf(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

var finalSteps = map[forward.StepKind]bool{
	forward.StepAnswered: true, forward.StepRefused: true, forward.StepBroken: true, forward.StepClientGone: true,
}

func (m *metrics) countStep(step *forward.Step) {
	if step.Kind == forward.StepAttemptEnded {
		m.attempts.WithLabelValues(step.Outcome.String()).Inc()
		m.countRelease(step)
		m.distances.WithLabelValues(step.Choice.Distance.String()).Inc()
		var relay *exchange.RelayError
		if errors.As(step.Cause, &relay) {
			m.relaysBroken.Inc()
		}
	}
	if step.Kind == forward.StepSent && step.Choice.FasterSkip != backend.SkipNone {
		m.attemptsElsewhere.WithLabelValues(string(step.Choice.FasterSkip)).Inc()
	}
	switch step.Kind {
	case forward.StepRetryGranted:
		m.retries.WithLabelValues(string(step.Retry.Service), "granted").Inc()
	case forward.StepRetryDenied:
		m.retries.WithLabelValues(string(step.Retry.Service), "denied").Inc()
	}
	if !finalSteps[step.Kind] {
		return
	}
	m.requests.WithLabelValues(string(step.Kind)).Inc()
	m.answerTime.WithLabelValues(string(step.Kind)).Observe(step.Elapsed.Seconds())
	if step.Fault != nil {
		m.refusals.WithLabelValues(string(step.Fault.Kind), string(step.Fault.Ran)).Inc()
	}
}

// countRelease counts an attempt by the release of its back end while releases are restricted.
func (m *metrics) countRelease(step *forward.Step) {
	if choice := &step.Choice; choice.Releases.Restricted() {
		m.releaseAttempts.WithLabelValues(string(choice.Service), string(choice.Release), step.Outcome.String()).Inc()
	}
}

// countTenantReservation counts the amount of a reservation by its result.
func (m *metrics) countTenantReservation(reservation *quota.Reservation, result quota.Result) {
	counter := m.tenantUnconfirmed
	switch result.(type) {
	case quota.Granted:
		counter = m.tenantGranted
	case quota.Denied:
		counter = m.tenantDenied
	}
	counter.WithLabelValues(string(reservation.Subject)).Add(reservation.Amount)
}

func (m *metrics) countOrder(result rollout.Result) { m.orders.WithLabelValues(result.String()).Inc() }

func (m *metrics) handler() http.Handler { return m.registry.Handler() }

// MetricsReference returns the reference page of a node's metrics.
func MetricsReference() []byte {
	return newMetrics(func() gaugeValues { return gaugeValues{} }).registry.ReferenceWithHeader(metricsHeader)
}
