package node

import (
	"fmt"
	"io"
	stdlog "log"
	"math"

	"github.com/apex/log"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/eventlog"
	"github.com/fieldpond/fieldpond/internal/forward"
)

// discardLog drops log lines of net/http about connections that clients aborted.
var discardLog = stdlog.New(io.Discard, "", 0)

// stepRecorder returns a function that counts and logs each decision about a request.
func stepRecorder(counters *metrics) func(forward.Step) {
	return func(step forward.Step) {
		counters.countStep(&step)
		logStep(&step)
	}
}

// logStep logs one decision about a request.
func logStep(step *forward.Step) {
	fields := log.Fields{"request": eventlog.ID(step.Request), "elapsed_ms": step.Elapsed.Milliseconds()}
	addStreamFields(fields, step)
	addConfigurationFields(fields, step)
	if step.Choice.Instance != "" {
		fields["attempt"] = step.Attempt
		fields["instance"] = step.Choice.Instance
		fields["record_revision"] = step.Choice.Revision
		fields["home"] = step.Choice.Home
		fields["distance"] = step.Choice.Distance.String()
		fields["predicted_ms"] = step.Choice.Predicted.Milliseconds()
		fields["candidates"] = step.Choice.Candidates
		if step.Choice.LimitSkips > 0 {
			fields["limits_used_up"] = step.Choice.LimitSkips
		}
		addSkipFields(fields, &step.Choice)
		if step.Choice.Version > 0 {
			fields["weights"] = step.Choice.Version
		}
		if releases := &step.Choice.Releases; releases.Restricted() {
			fields["releases"] = describeReleases(releases)
		}
	}
	if step.Outcome != 0 {
		fields["outcome"] = step.Outcome.String()
	}
	if step.Outcome == backend.Broken {
		fields["fingerprint"] = step.Fingerprint.String()
		addPromptFields(fields, step)
	}
	addCarrierFields(fields, step)
	if step.Status != 0 {
		fields["status"] = step.Status
	}
	if step.Events != 0 {
		fields["events"] = step.Events
	}
	if retry := &step.Retry; retry.Service != "" {
		fields["service"] = retry.Service
		fields["window_requests"], fields["window_repeats"] = retry.Requests, retry.Retries
		fields["slack"], fields["sharers"] = math.Round(retry.Slack*100)/100, retry.Sharers
	}
	addAdvertisedFields(fields, step)
	if step.Fault != nil {
		fields["fault"] = step.Fault.Kind
		fields["detail"] = step.Fault.Detail
		fields["ran"] = step.Fault.Ran
	}
	if step.Cause != nil {
		fields["cause"] = step.Cause.Error()
	}
	log.WithFields(fields).Info(string(step.Kind))
}

// addConfigurationFields adds the route and the configuration by which a request is handled.
func addConfigurationFields(fields log.Fields, step *forward.Step) {
	if step.Route != "" {
		fields["route"] = step.Route
	}
	if step.ConfigurationVersion != 0 {
		fields["config_version"] = step.ConfigurationVersion
		fields["config_age_ms"] = step.ConfigurationAge.Milliseconds()
	}
	if step.Unconfirmed != "" {
		fields["unconfirmed"] = step.Unconfirmed
	}
}

// addCarrierFields adds the connection that the answer of an attempt arrived on.
func addCarrierFields(fields log.Fields, step *forward.Step) {
	if step.Through.IsValid() {
		fields["through"] = step.Through.String()
	}
	if step.Carrier.Connection != 0 {
		fields["connection"], fields["exchange"] = step.Carrier.Connection, step.Carrier.Exchange
	}
	if step.Carrier.Skipped > 0 {
		fields["skipped_answers"] = step.Carrier.Skipped
	}
	if step.Unframed {
		fields["unframed"] = true
	}
}

// maxLoggedParts is the number of parts of a prompt in one log line.
const maxLoggedParts = 16

// addPromptFields adds the caller of a request and the ids of the shared parts of its prompt.
func addPromptFields(fields log.Fields, step *forward.Step) {
	if step.Tenant != "" {
		fields["tenant"] = step.Tenant
	}
	var parts []string
	for _, part := range step.SharedParts[:min(len(step.SharedParts), maxLoggedParts)] {
		parts = append(parts, eventlog.ID(part.ID))
	}
	if len(parts) > 0 {
		fields["parts"] = parts
	}
}

// addStreamFields adds which stream a request continues, after which event, and the release of the
// back end of an attempt.
func addStreamFields(fields log.Fields, step *forward.Step) {
	if step.Resumes != "" {
		fields["resumes"] = eventlog.ID(step.Resumes)
	}
	if step.Kind == forward.StepSent && step.LastEvent != "" {
		fields["after_event"] = eventlog.ID(step.LastEvent)
	}
	if step.Choice.Release != "" {
		fields["release"] = step.Choice.Release
	}
}

// addAdvertisedFields adds what a back end advertised.
func addAdvertisedFields(fields log.Fields, step *forward.Step) {
	switch step.Kind {
	case forward.StepBackendLimit:
		fields["limited"], fields["rate"], fields["rate_before"] = step.Limit.Limited, step.Limit.Rate, step.Limit.PreviousRate
	case forward.StepLimitDenied:
		fields["after_ms"], fields["rate"] = step.SkippedFor.Milliseconds(), step.Choice.Limit.Rate
	case forward.StepBackendDraining:
		fields["by"] = backend.SourceAnswer
	case forward.StepBackendBackoff:
		fields["by"], fields["rest_ms"] = backend.SourceAnswer, step.Backoff.Milliseconds()
	case forward.StepBackendsBrittle:
		fields["service"], fields["refusals"] = step.Choice.Service, step.MaxRefusals
	}
}

// addSkipFields adds how many back ends were skipped as backing off or draining, and why a
// faster one was, if any.
func addSkipFields(fields log.Fields, choice *backend.Choice) {
	if choice.BackoffSkips > 0 {
		fields["resting"] = choice.BackoffSkips
	}
	if choice.DrainingSkips > 0 {
		fields["leaving"] = choice.DrainingSkips
	}
	if choice.FasterSkip != backend.SkipNone {
		fields["elsewhere_for"] = choice.FasterSkip
	}
}

// describeReleases describes the releases that an attempt was allowed to go to.
func describeReleases(releases *backend.Releases) string {
	switch {
	case releases.Only == "":
		return fmt.Sprintf("all but %v", releases.Excluded)
	case releases.MaxBackends > 0:
		return fmt.Sprintf("only %s, %d of its back ends", releases.Only, releases.MaxBackends)
	default:
		return fmt.Sprintf("only %s", releases.Only)
	}
}
