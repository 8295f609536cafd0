package node

import (
	"bytes"
	"fmt"
	"strings"
)

// EventDescription describes one event of a node's log.
type EventDescription struct {
	Name    string
	Fields  []string
	Meaning string
}

// The fields that every event about a request has, and those of an attempt.
var (
	requestFields = []string{"request", "elapsed_ms", "route", "config_version", "config_age_ms"}
	attemptFields = []string{"attempt", "instance", "record_revision", "home", "distance", "predicted_ms", "candidates", "limits_used_up", "resting", "leaving", "elsewhere_for", "weights", "release", "releases"}
	// Those of decisions of the budget of repeats.
	retryFields = []string{"request", "elapsed_ms", "service", "window_requests", "window_repeats", "slack", "sharers"}
	// Those of events about rollouts, and about the writing of their states.
	rolloutFields = []string{"service", "target", "order"}
	stateFields   = []string{"service", "phase", "version"}
)

func appendFields(fields []string, more ...string) []string {
	return append(append([]string(nil), fields...), more...)
}

// Events returns every event of a node's log.
func Events() []EventDescription {
	return append(events(), backendAndStoreEvents()...)
}

// backendAndStoreEvents are those about limits of back ends and returns of the store.
func backendAndStoreEvents() []EventDescription {
	return []EventDescription{
		{"backend_limit", appendFields(requestFields, append(attemptFields, "limited", "rate", "rate_before")...), "An answer names another limit of its back end than was known here, or none any more (limited); rate and rate_before are requests a second, of all routers together."},
		{"limit_denied", appendFields(requestFields, append(attemptFields, "rate", "after_ms")...), "The back end was the best for the request, and its limit (rate, requests a second) is used up: the request goes elsewhere, and this router asks for none there for after_ms."},
		{"backend_limit_unreadable", []string{"instance", "limit"}, "An answer names a limit of its back end that is no number of requests; what was known before holds on."},
		{"backend_limit_reported", []string{"instance", "limited", "rate", "rate_before"}, "The report of a back end names another limit than was known here."},
		{"backend_limit_told", []string{"instance", "limited", "rate", "age_ms"}, "Another router told of a limit of a back end, or of its end; age_ms: since an answer last confirmed it."},
		{"backend_leaving", appendFields(requestFields, append(attemptFields, "by")...), "A back end was heard to be about to end, by a report, an answer to an order or another router (by), or by an answer to the request that is named; it is logged once for each life, and it gets no more requests."},
		{"backend_leaving_unreadable", []string{"instance", "leaving"}, "An answer says neither that its back end leaves nor that it stays, but something else; it counts as not said."},
		{"backend_rest", appendFields(requestFields, append(attemptFields, "by", "rest_ms")...), "A back end refused the request that is named, or a report or an order (by), and wants nothing from this router for rest_ms."},
		{"backend_rest_unreadable", []string{"instance", "rest"}, "A refusal asks for a rest of its back end that is no number of seconds; it counts as not asked for."},
		{"rejoined", []string{"revision", "peers", "routers"}, "The store came back from an older copy, and this router's row is there (again)."},
		{"router_row_not_written_again", []string{"cause"}, "The store came back from an older copy, and this router's row could not be looked for, or written; it is tried again."},
		{"store_came_back_older", []string{"era", "before"}, "The store came back from an older copy: versions are given out again, and what was written last may be lost."},
		{"store_epoch_seen", []string{"epoch"}, "This router, or a peer, saw that the store came back from an older copy; epoch counts that."},
		{"store_epochs_counted_from", []string{"first", "before"}, "Another router counts the returns of the store from an earlier era on."},
		{"store_era_unreadable", []string{"era"}, "An answer of the store names no number as its era; it counts as of the newest."},
	}
}

// events are all others.
func events() []EventDescription {
	return []EventDescription{
		{"started", []string{"zone", "front"}, "The process listens."},
		{"stopping", []string{"in_flight"}, "The process was told to stop; it is unready from now on."},
		{"stop_cut_requests", []string{"in_flight", "cause"}, "The grace period ended with requests open."},
		{"stopped", nil, "The process ends."},
		{"reloaded", nil, "SIGHUP: the settings file is sound; nothing changes."},
		{"reload_refused", []string{"cause"}, "SIGHUP: the settings file is not sound; nothing changes."},
		{"dependency_lost", []string{"dependency", "cause"}, "Reads of a dependency begin to fail."},
		{"dependency_regained", []string{"dependency", "lost_ms"}, "Reads work again."},
		{"machine_was_suspended", []string{"suspended_ms"}, "The machine stood still for this long, which the steady clock did not count; what was known before is as much older."},
		{"configuration_adopted", []string{"version", "routes", "revision", "read_ms", "origin"}, "A newer configuration is in force here; origin is the router that read it from the store."},
		{"configuration_row_outdated", []string{"version", "known", "revision", "confirmed"}, "The row of the configuration holds another one than the newest: the store carried out an older write after it. Known stays in force. It is not confirmed, and ends in unready routers, where the store has forgotten what the row held meanwhile: write a newer configuration."},
		{"backend_changed", []string{"instance", "service", "address", "change", "revision", "models"}, "The list of back ends differs: appeared, draining, gone or reloaded."},
		{"backend_unreadable", []string{"row", "revision", "cause"}, "A row of the list names no back end: another writer left it, or it cannot be read. It is passed over, and logged once."},
		{"connection_silent", []string{"address", "closed"}, "Nothing was acknowledged on a connection any more; closed: resting ones to the same address that were closed with it."},
		{"connections_suspected", []string{"closed"}, "A connection was silent while its address takes new ones; closed: the resting ones to all addresses that were not heard since."},
		{"joined", []string{"revision", "peers", "routers"}, "This router has a row in the store; peers are the routers whose rows are sound."},
		{"router_row_not_removed", []string{"cause"}, "The row could not be removed at the end of a planned stop."},
		{"routers_not_counted", []string{"cause"}, "The routers' rows could not be read."},
		{"state_from_peer", []string{"peer", "address"}, "From now on the shared state is pulled from this peer."},
		{"state_from_store", nil, "No peer supplies the shared state now: this router reads the store."},
		{"pull_failed", []string{"peer", "cause"}, "A pull from a peer brought no sound answer."},
		{"version_named", []string{"model", "version", "met", "age_ms"}, "A version of weights was named; met: it was there at the first look, and nothing tells since when; age_ms: how long ago it may have been named."},
		{"rollout_order_refused", []string{"row", "revision", "cause"}, "An order to move a service to another release cannot be carried out; told once for each revision."},
		{"naming_unreadable", []string{"row", "revision", "cause"}, "A change that names a version cannot be read, and is passed over."},
		{"namings_forgotten", []string{"from", "to", "cause"}, "The store does not tell its changes between two revisions any more, or they are too many for one answer (cause); they are asked for again for a while."},
		{"namings_given_up", []string{"from", "to"}, "The store still has forgotten them: a version whose row was written over then stays unknown."},
		{"version_row_outdated", []string{"model", "version", "known"}, "The row of a model names an older version than is known: an older write was carried out after a newer one. Known stays in force."},
		{"version_recalled", []string{"model", "version", "age_ms"}, "The age of a version was learnt from what other routers kept."},
		{"naming_not_kept", []string{"row", "cause"}, "A naming could not be written; the write is tried again until it succeeds."},
		{"namings_not_marked", []string{"cause"}, "Up to when all versions are known could not be kept; what is named while all routers are away counts as older then."},
		{"naming_mark_unreadable", []string{"cause"}, "A kept mark could not be read; what was named while all routers were away counts as named at their return."},
		{"namings_not_found", []string{"model", "cause"}, "The times of namings could not be read."},
		{"lease is held", []string{"lease", "fence"}, "This router may order from now on."},
		{"lease is not held any more", []string{"lease", "fence"}, "This router may not order any more."},
		{"regions_lost", []string{"lost", "before"}, "The regions whose back ends this router does not reach now, and those that it did not reach before."},
		{"engines_silent", []string{"silent", "answering"}, "The first router of a zone told which of its engines do not answer its checks, and which do again."},
		{"engines_gone", []string{"gone"}, "Requests or checks of this router found other back ends at the addresses of these, which have ended; the other routers are told."},
		{"notice_not_sent", []string{"cause"}, "A notice could not be encoded; the other routers learn of the engines from the list."},
		{"engines_change", []string{"model", "version", "loading", "loaded", "unsettled", "emptying"}, "The holder of the lease told which engines are about to take a version, which have it, which did not say that they take it, and which get no new work before their order."},
		{"backend_crashed", []string{"instance", "requests"}, "A life of a back end has crashed at which attempts of this router broke off: its address refuses connections or another life answers; requests is the number of those that ran there."},
		{"quarantine_began", []string{"fingerprint", "instances", "ages_ms"}, "A request is not sent on any more: these back ends crashed while they ran it, so long ago, and it was not answered in between."},
		{"quarantine_ended", []string{"fingerprint", "cause"}, "A request may be sent again: it was answered, or an operator removed its row."},
		{"quarantine_trial", []string{"fingerprint", "trials"}, "A quarantined request is tried once more; trials counts those of all routers."},
		{"quarantine_not_kept", []string{"fingerprint", "cause"}, "The row of a quarantined request could not be brought up to date; that is tried again."},
		{"quarantine_rows_not_read", []string{"cause"}, "The rows of quarantined requests could not be read; that is tried again."},
		{"quarantine_row_unreadable", []string{"row", "cause"}, "The row of a quarantined request cannot be read, and is passed over."},
		{"quota_leader_changed", []string{"of", "from", "to"}, "Another router grants what tenants with limits may use here, or what a part of the back ends with limits may get from here (of); from and to are addresses, to is this router's own if it reaches no older one."},
		{"version_doubted", []string{"model", "version", "ended"}, "This many engines ended while they loaded a version that no engine has: it is loaded by one engine at a time, with growing pauses, until one has it."},
		{"order", []string{"instance", "model", "version", "fence", "sequence", "result"}, "An order was sent to an engine."},
		{"rollout_ordered", appendFields(rolloutFields, "duration_ms"), "An operator's order to move a service to another release was seen here; order is its revision."},
		{"rollout_decided", appendFields(rolloutFields, "phase", "reason", "ceiling", "fence"), "This router, which holds the lease, has written how the rollout stands; ceiling is the number of requests that may be permitted to the target."},
		{"rollout_phase", appendFields(rolloutFields, "phase", "reason", "requests", "sent"), "This router acts upon another phase of the rollout; requests and sent are its own, of the service and to the target."},
		{"rollout_permit", appendFields(rolloutFields, "permitted"), "This router has a permit of the holder that is young enough, or has lost it and sends nothing to the target."},
		{"rollout_state_unanswered", appendFields(stateFields, "cause"), "A write of the state had no answer: it may have been done, and is read before it is repeated."},
		{"rollout_state_conflict", stateFields, "The state was not written, since another holder wrote it meanwhile."},
		{"rollout_state_not_written", appendFields(stateFields, "cause"), "The state could not be encoded."},
		{"rollout_state_not_read", []string{"service", "cause"}, "The state could not be read for a decision; it is read again."},
		{"rollout_states_not_read", []string{"cause"}, "The states of rollouts could not be read for all routers; they are read again with the configuration."},
		{"rollout_state_unreadable", []string{"row", "cause"}, "The row of a state is malformed; the rollout begins anew."},
		{"sent", appendFields(requestFields, attemptFields...), "An attempt leaves for a back end; predicted_ms is the expected time to its first byte, distance says whether it is in this zone, in this region or in another region."},
		{"attempt_ended", appendFields(requestFields, append(attemptFields, "outcome", "fingerprint", "cause")...), "An attempt is over; fingerprint, of those that broke off, is the same for each try of one request."},
		{"answered", appendFields(requestFields, "status", "events", "cause"), "The whole answer was passed on."},
		{"refused", appendFields(requestFields, "fault", "detail", "ran", "cause"), "The final answer is the router's own; ran says whether the request may have run."},
		{"broken", appendFields(requestFields, "events", "fault", "detail", "ran"), "An answer broke off after a part of it was passed on."},
		{"repeat_granted", retryFields, "The budget of repeats granted one; window_requests earn a share of repeats at this router, window_repeats are those in its window, and sharers have one part of the slack each."},
		{"repeat_denied", retryFields, "The budget of repeats granted none."},
		{"client_gone", appendFields(requestFields, "events", "cause"), "The client left."},
		{"log_lines_dropped", []string{"count"}, "Lines were dropped because the reader is slow."},
	}
}

const eventsHeader = `# Events of a router's log

Generated from the code by "go generate ./internal/node".

Each line is one JSON object with the fields at (time of day, UTC), level, event
and node, and those below. Fields that end in _ms are milliseconds. No field
holds a key, or text of a prompt or an answer.

| Event | Fields | Meaning |
|---|---|---|
`

// EventsReference returns the reference page of the log events.
func EventsReference() []byte {
	var page bytes.Buffer
	page.WriteString(eventsHeader)
	for _, event := range Events() {
		fields := "none"
		if len(event.Fields) > 0 {
			fields = "`" + strings.Join(event.Fields, "`, `") + "`"
		}
		fmt.Fprintf(&page, "| `%s` | %s | %s |\n", event.Name, fields, event.Meaning)
	}
	return page.Bytes()
}
