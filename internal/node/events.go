package node

import (
	"bytes"
	"fmt"
	"slices"
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
	requestFields = []string{"request", "resumes", "elapsed_ms", "route", "config_version", "config_age_ms"}
	attemptFields = []string{"attempt", "instance", "record_revision", "home", "distance", "predicted_ms", "candidates", "limits_used_up", "resting", "leaving", "elsewhere_for", "weights", "release", "releases"}
	// Those of decisions of the retry budget.
	retryFields = []string{"request", "elapsed_ms", "service", "window_requests", "window_repeats", "slack", "sharers"}
	// Those of events about rollouts, and about writes of their states.
	rolloutFields = []string{"service", "target", "order"}
	stateFields   = []string{"service", "phase", "version"}
)

func appendFields(fields []string, more ...string) []string {
	return append(append([]string(nil), fields...), more...)
}

// Events returns every event of a node's log.
func Events() []EventDescription {
	return slices.Concat(events(), configurationEvents(), backendAndStoreEvents())
}

// configurationEvents are the events about the configuration and the rows that it is read with.
func configurationEvents() []EventDescription {
	return []EventDescription{
		{"configuration_adopted", []string{"version", "routes", "revision", "read_ms", "origin"}, "A newer configuration is in force here; origin is the router that read it from the store."},
		{"configuration_row_outdated", []string{"version", "known", "revision", "confirmed"}, "The configuration's row holds another configuration than the newest, since the store applied an older write late. The known one stays in force. If the store has forgotten what the row held in between (confirmed is false), it is confirmed after a wait, see configuration_gap_skipped."},
		{"configuration_not_confirmed", []string{"reason", "cause", "version", "age_ms", "row_version", "row_revision", "reads"}, "Reads of this router do not confirm the configuration in force, which has this version and was confirmed age_ms ago; logged at the first such read and every few seconds after. The reason is read_failed, row_missing, row_unreadable, history_not_read, history_gone or revision_returned; row_version and row_revision are what the row holds, reads is the number of such reads in a row."},
		{"configuration_recalled", []string{"version", "known"}, "A newer configuration than the operator's row holds was found in the rows in which routers keep the newest that they have adopted, and is in force: the store applied an older write late."},
		{"configuration_not_kept", []string{"version", "cause"}, "The configuration could not be written to the rows in which routers keep the newest; that is retried."},
		{"kept_configuration_not_read", []string{"cause"}, "These rows could not be read or decoded; the operator's row is used as it is."},
		{"configuration_confirmed_by_changes", []string{"version"}, "Reads of the configuration's row fail or do not end, and requests for changes are answered: they confirm the configuration meanwhile."},
		{"configuration_gap_skipped", []string{"version", "row_version", "from", "to", "reason", "gap_ms"}, "Answered reads did not confirm the configuration in force for gap_ms, for this reason, and do now: what its row held between the revisions from and to stays unknown. A configuration that was written and overwritten in between is not in force here; if there was one, write it again under a higher version."},
		{"rows_partly_unreadable", []string{"fields"}, "Some fields of rows in an answer of the store cannot be decoded; these rows are left out or have no value."},
		{"configuration_partly_unreadable", []string{"version", "count", "problems"}, "Some fields of a configuration that is in force cannot be decoded; problems names the first of them. Routes without a readable host or path, and tenants without readable keys, are left out; requests that match nothing else get 503 in place of 404 or 401."},
		{"configuration_unreadable", []string{"revision", "cause"}, "A content that the configuration's row held cannot be decoded, and is skipped."},
		{"configuration_confirmed_again", []string{"version", "reads"}, "A read confirms the configuration again, after this number of reads that did not."},
		{"configuration_not_packed", []string{"cause"}, "The configuration cannot be compressed, and is sent to peers as it is."},
	}
}

// backendAndStoreEvents are the events about what back ends advertise, and about restores of the store.
func backendAndStoreEvents() []EventDescription {
	return []EventDescription{
		{"backend_limit", appendFields(requestFields, append(attemptFields, "limited", "rate", "rate_before")...), "An answer advertises another limit of its back end than was known, or its end (limited); rate and rate_before are requests a second, of all routers together."},
		{"limit_denied", appendFields(requestFields, append(attemptFields, "rate", "after_ms")...), "The best back end for the request has used up its limit (rate, requests a second): the request goes elsewhere, and this router reserves none there for after_ms."},
		{"backend_limit_unreadable", []string{"instance", "limit"}, "An answer advertises a limit of its back end that is not a number of requests; the known limit stays in force."},
		{"backend_limit_reported", []string{"instance", "limited", "rate", "rate_before"}, "The report of a back end advertises another limit than was known."},
		{"backend_limit_told", []string{"instance", "limited", "rate", "age_ms"}, "Another router reported a limit of a back end, or its end; age_ms is the time since an answer last confirmed it."},
		{"backend_leaving", appendFields(requestFields, append(attemptFields, "by")...), "A back end is draining and gets no more requests, as observed in a report, an answer to an order, from another router (by) or in the answer to the named request; logged once for each incarnation."},
		{"backend_leaving_unreadable", []string{"instance", "leaving"}, "An answer advertises a draining state of its back end that is neither true nor false; it is ignored."},
		{"backend_rest", appendFields(requestFields, append(attemptFields, "by", "rest_ms")...), "A back end refused the named request, a report or an order (by), and asked this router to back off for rest_ms."},
		{"backend_rest_unreadable", []string{"instance", "rest"}, "A refusal asks for a back-off that is not a number of seconds; it is ignored."},
		{"backend_full", []string{"instance", "in_flight", "places", "room_share", "routers"}, "A brittle back end refused a request of this router for want of room; all routers send it less for a time. in_flight are this router's attempts there, places how many it may have from now on, room_share the share of the room that all routers use, routers the number by which that is divided."},
		{"backends_brittle", appendFields(requestFields, append(attemptFields, "service", "refusals")...), "An answer advertises that the back ends of a service are brittle, which was not known; refusals is the number in a second at which one fails."},
		{"router_joined", []string{"router", "counted", "new"}, "A router reported that it has joined, which is in no count of the routers' rows yet; counted is the number of the last count, new how many have joined since."},
		{"routers_counted", []string{"routers", "before", "age_ms"}, "The number of routers is another than was known, as read by this router or another one, age_ms ago."},
		{"backend_brittleness_unreadable", []string{"instance", "refusals"}, "An answer advertises the refusals that its back end bears by something that is not a number; it counts as none."},
		{"backends_not_reached", []string{"address"}, "This router reaches no back end directly any more, while other routers do, and connects through them; the address is the last one lost."},
		{"backends_reached", []string{"address"}, "This router reached a back end directly again, at this address."},
		{"stop_cut_relayed", []string{"relayed"}, "This router stopped and reset connections that it relayed for other routers; relayed is their number."},
		{"streams_not_kept", []string{"cause"}, "The records of the releases at which this router's streams began could not be written to the store: they are lost if all routers end at once."},
		{"releases_not_read", []string{"cause"}, "The row of the releases that services had lately could not be read, or not decoded; that is retried. Until then this router does not take a release for the only one."},
		{"releases_not_kept", []string{"bytes", "cause"}, "That row could not be written, or has too many bytes: releases that leave while no router runs may stay unknown."},
		{"streams_not_read", []string{"cause"}, "The records of streams that earlier routers left in the store could not be read; that is retried a few times."},
		{"streams_unreadable", []string{"row"}, "A row with records of streams cannot be read, and is skipped."},
		{"rejoined", []string{"revision", "peers", "routers", "leaf"}, "The store was restored from an older copy, and this router's row is in it, written again if it was missing."},
		{"router_row_not_written_again", []string{"cause"}, "The store was restored from an older copy, and this router's row could not be read or written; that is retried."},
		{"store_came_back_older", []string{"era", "before"}, "The store was restored from an older copy: revisions are issued again, and the last writes may be lost."},
		{"store_epoch_seen", []string{"epoch"}, "This router or a peer observed that the store was restored from an older copy; epoch counts the restores."},
		{"store_epochs_counted_from", []string{"first", "before"}, "Another router counts the restores of the store from an earlier era."},
		{"store_era_unreadable", []string{"era"}, "The era in an answer of the store is not a number; the answer counts as of the newest era."},
	}
}

// events are all other events.
func events() []EventDescription {
	return []EventDescription{
		{"started", []string{"zone", "front"}, "The process listens."},
		{"stopping", []string{"in_flight"}, "The process received a request to stop; it is unready from now on."},
		{"stop_cut_requests", []string{"in_flight", "cause"}, "The grace period ended with requests open."},
		{"stopped", nil, "The process ends."},
		{"reloaded", nil, "SIGHUP: the settings file is valid; nothing changes."},
		{"reload_refused", []string{"cause"}, "SIGHUP: the settings file is invalid; nothing changes."},
		{"dependency_lost", []string{"dependency", "cause"}, "Reads of a dependency begin to fail."},
		{"dependency_regained", []string{"dependency", "lost_ms"}, "Reads work again."},
		{"machine_was_suspended", []string{"suspended_ms"}, "The machine was suspended for this long, which the monotonic clock did not count; all state is that much older."},
		{"backends_changed", []string{"appeared", "draining", "gone", "reloaded"}, "The instance list has changed so much that only the numbers of changes are logged."},
		{"list_not_packed", []string{"cause"}, "The instance list cannot be packed, and is sent to peers record by record."},
		{"peers_read", []string{"revision", "peers", "routers", "leaf"}, "This router has read again which routers it may pull from."},
		{"peers_not_read", []string{"cause"}, "This router could not read again which routers it may pull from."},
		{"backend_changed", []string{"instance", "service", "address", "change", "revision", "models"}, "The instance list has changed: appeared, draining, gone or reloaded."},
		{"backend_unreadable", []string{"row", "revision", "cause"}, "A row of the instance list cannot be read, or describes no back end, as another writer left it. It is skipped, and logged once."},
		{"answer_too_large", []string{"address", "limit", "count"}, "The first line and the header of an answer exceeded a limit in bytes or fields, or those of all answers together did, and its connection was closed; limit is that in bytes, count the number of such answers so far. Logged once a second at most."},
		{"answer_malformed", []string{"address", "cause", "count"}, "An answer was none of HTTP/1, and its connection was closed. cause is what was wrong: version, status, field_name, field_value, line_end, framing or trailer; count is the number of such answers with that cause so far. Logged once a second at most."},
		{"connection_silent", []string{"address", "closed"}, "Nothing was acknowledged on a connection any more; closed: idle connections to the same address that were closed with it."},
		{"connections_suspected", []string{"closed"}, "A connection was silent while its address accepts new ones; closed: idle connections to all addresses on which nothing was received since."},
		{"joined", []string{"revision", "peers", "routers", "leaf"}, "This router has a row in the store, or is a leaf of a large fleet; peers are the routers whose rows are readable, in a large fleet those of the backbone."},
		{"router_row_not_removed", []string{"cause"}, "The row could not be removed at the end of a planned stop."},
		{"routers_not_counted", []string{"cause"}, "The routers' rows could not be read."},
		{"state_from_peer", []string{"peer", "address"}, "From now on the shared state is pulled from this peer."},
		{"state_from_store", nil, "No peer supplies the shared state now: this router reads the store."},
		{"pull_failed", []string{"peer", "cause"}, "A pull from a peer failed or returned an invalid answer."},
		{"version_named", []string{"model", "version", "met", "age_ms"}, "A version of weights was published; met: it was there at the first read, and its age is unknown; age_ms is its greatest possible age."},
		{"rollout_order_refused", []string{"row", "revision", "cause"}, "An order to move a service to another release cannot be carried out; logged once for each revision."},
		{"naming_unreadable", []string{"row", "revision", "cause"}, "A change that publishes a version cannot be read, and is skipped."},
		{"changes_partly_read", []string{"after", "to", "read_ms", "cause"}, "An answer of the store with the changes after a revision was slow or broke off: the changes up to revision to are used and the rest is requested again, or, with a cause, nothing of it arrived whole."},
		{"namings_forgotten", []string{"from", "to", "cause"}, "The store has forgotten its changes between two revisions, or they are too many for one answer (cause); the request is retried for a while."},
		{"namings_given_up", []string{"from", "to"}, "The store still does not return them: a version whose row was overwritten during them stays unknown."},
		{"version_row_outdated", []string{"model", "version", "known"}, "The row of a model holds an older version than is known, since the store applied an older write late. The known one stays in force."},
		{"version_recalled", []string{"model", "version", "age_ms"}, "The age of a version was read from what other routers stored."},
		{"naming_not_kept", []string{"row", "cause"}, "A publication could not be stored; the write is retried until it succeeds."},
		{"namings_not_marked", []string{"cause"}, "The time up to which all versions are known could not be stored; a version published while all routers are down will count as older."},
		{"naming_mark_unreadable", []string{"cause"}, "A stored mark could not be read; a version published while all routers were down counts as published at their return."},
		{"namings_not_found", []string{"model", "cause"}, "The times of publications could not be read."},
		{"lease is held", []string{"lease", "fence"}, "This router may send orders from now on."},
		{"lease is not held any more", []string{"lease", "fence"}, "This router may not send orders any more."},
		{"regions_lost", []string{"lost", "before"}, "The regions whose back ends this router does not reach now, and those that it did not reach before."},
		{"engines_silent", []string{"silent", "answering"}, "The first router of a zone reported which of its engines do not answer its checks, and which answer again."},
		{"engines_gone", []string{"gone"}, "Requests or checks of this router found other incarnations at the addresses of these back ends; the other routers are notified."},
		{"notice_not_sent", []string{"cause"}, "A notification could not be encoded; the other routers learn the state of the engines from the list."},
		{"engines_change", []string{"model", "version", "loading", "loaded", "unsettled", "emptying"}, "The holder of the lease reported which engines are about to load a version, which have it, which did not confirm the order, and which are quiescing before it."},
		{"backend_crashed", []string{"instance", "requests"}, "An incarnation of a back end at which attempts of this router broke off has crashed: its address refuses connections or another incarnation answers; requests is the number of requests that ran there."},
		{"quarantine_began", []string{"fingerprint", "instances", "ages_ms"}, "A request is quarantined: these back ends crashed while they ran it, at these ages, and it was not answered in between."},
		{"quarantine_ended", []string{"fingerprint", "cause"}, "A request was released: it was answered, or an operator removed its row."},
		{"quarantine_trial", []string{"fingerprint", "trials"}, "A quarantined request is tried once more; trials counts those of all routers."},
		{"quarantine_not_kept", []string{"fingerprint", "cause"}, "The row of a quarantined request could not be updated; that is retried."},
		{"quarantine_rows_not_read", []string{"cause"}, "The rows of quarantined requests could not be read; that is retried."},
		{"quarantine_row_unreadable", []string{"row", "cause"}, "The row of a quarantined request cannot be read, and is skipped."},
		{"quota_leader_changed", []string{"of", "from", "to"}, "Another router grants reservations on the limits of tenants, or of a part of the back ends (of), to this router; from and to are addresses, to is this router's own if it reaches no older router."},
		{"version_doubted", []string{"model", "version", "ended"}, "This many engines ended while they loaded a version that no engine has: it is loaded by one engine at a time, with growing pauses, until one has it."},
		{"order", []string{"instance", "model", "version", "fence", "sequence", "result"}, "An order was sent to an engine."},
		{"rollout_ordered", appendFields(rolloutFields, "duration_ms"), "An operator's order to move a service to another release was received; order is its revision."},
		{"rollout_decided", appendFields(rolloutFields, "phase", "reason", "ceiling", "fence"), "This router, which holds the lease, has written the state of the rollout; ceiling is the number of requests that may be permitted to the target."},
		{"rollout_phase", appendFields(rolloutFields, "phase", "reason", "requests", "sent"), "This router applies another phase of the rollout; requests and sent are its own, of the service and to the target."},
		{"rollout_permit", appendFields(rolloutFields, "permitted"), "This router has a valid permit of the lease's holder, or has lost it and sends nothing to the target."},
		{"rollout_state_unanswered", appendFields(stateFields, "cause"), "A write of the state was not answered: it may have been applied, and the state is read before the write is retried."},
		{"rollout_state_conflict", stateFields, "The state was not written, since another holder has written it."},
		{"rollout_state_not_written", appendFields(stateFields, "cause"), "The state could not be encoded."},
		{"rollout_state_not_read", []string{"service", "cause"}, "The state could not be read for a decision; that is retried."},
		{"rollout_states_not_read", []string{"cause"}, "The states of rollouts could not be read for all routers; they are read again with the configuration."},
		{"rollout_state_unreadable", []string{"row", "cause"}, "The row of a state is malformed; the rollout starts again."},
		{"sent", appendFields(requestFields, append(attemptFields, "after_event")...), "An attempt is sent to a back end; resumes is the request that brought the first event of the stream that it continues, after_event the last event that the client has; predicted_ms is the expected time to its first byte, distance is whether it is in this zone, in this region or in another region."},
		{"attempt_ended", appendFields(requestFields, append(attemptFields, "outcome", "fingerprint", "through", "connection", "exchange", "skipped_answers", "unframed", "cause")...), "An attempt ended; through is the router that relayed its connection, if one did; connection is the number of the connection at this router that the answer arrived on, exchange its number among those on it, skipped_answers how many answers to other requests came in its place; unframed: the answer ends with its connection; fingerprint, of those that broke off, is the same for each attempt of one request."},
		{"answered", appendFields(requestFields, "status", "events", "cause"), "The whole answer was forwarded."},
		{"refused", appendFields(requestFields, "unconfirmed", "fault", "detail", "ran", "cause"), "The final answer is the router's own; ran is whether the request may have run; unconfirmed is why the last read of this router did not confirm the configuration, as in configuration_not_confirmed."},
		{"broken", appendFields(requestFields, "events", "fault", "detail", "ran"), "An answer broke off after a part of it was forwarded."},
		{"repeat_granted", retryFields, "The retry budget granted a retry; window_requests earn a share of retries at this router, window_repeats are those in its window, and sharers are the routers that divide the slack."},
		{"repeat_denied", retryFields, "The retry budget denied a retry."},
		{"client_head_refused", []string{"client", "reason", "bytes", "count"}, "The first line and the header of a request exceeded the configured limit (reason too_large; bytes were read of it), or those of all requests together their memory (reason memory). The client got 431 or 503 and its connection was closed; count is the number of such requests so far. Logged once a second at most."},
		{"client_gone", appendFields(requestFields, "events", "cause"), "The client disconnected."},
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
