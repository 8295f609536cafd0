package forward

import (
	"context"
	"net/netip"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/mechanism"
	"github.com/fieldpond/fieldpond/internal/promptcache"
	"github.com/fieldpond/fieldpond/internal/quarantine"
	"github.com/fieldpond/fieldpond/internal/quota"
)

var (
	// errBackendSilent cancels an attempt that received nothing in time.
	errBackendSilent = errors.New("no answer arrived in time")
	// errDeadline cancels the attempt of a request whose deadline has passed.
	errDeadline = errors.New("the deadline of the request has passed")
)

// run is the state of one request until its final answer.
type run struct {
	forwarder     *Forwarder
	request       *Request
	sink          Sink
	view          catalog.View
	route         *catalog.Route
	service       ident.Service
	tenant        *catalog.Tenant
	authenticated bool
	deadline      time.Time

	// attempts counts all attempts, executions those that may have run the request.
	attempts, executions int
	// noRetryReason is why the request is not retried.
	noRetryReason string
	// executionUnknown is true once an attempt ended without proof whether the request ran.
	executionUnknown bool
	excluded         []ident.Incarnation
	// refusedOn are the connections on which the request was refused. It must not be sent there again: a
	// second copy of the refusal would pass for the answer.
	refusedOn []uint64
	// full are back ends to which all connections allowed were in use since the last wait, fullSince
	// is when that happened first.
	full      []ident.Incarnation
	fullSince time.Time
	// counted is true once the request was counted by Releases.
	counted bool
	// grant allows the next attempt if the tenant has a limit; it is nil before it is
	// granted, and once a back end may have run the request.
	grant *quota.Grant
	// backendGrant allows the next attempt at one back end, if that has a limit; it is nil
	// once the request may have reached it.
	backendGrant *backendGrant
	// avoidRecentBackoff keeps the current attempt from back ends that have recently backed off.
	avoidRecentBackoff bool
	// limitDenials counts the limited back ends that granted the current attempt nothing.
	limitDenials int
	// quarantineSubject identifies the request to the quarantine, see subject.
	quarantineSubject *quarantine.Subject
	// onTrial is true while the request is quarantined and has the grant of a trial.
	onTrial bool
	// headSent is true once the head of an answer was passed on.
	headSent bool
	events   int
	// lastEventID is the id of the last event passed on, at first of the last that the client has.
	lastEventID     string
	lastEventNumber int64
	hasLastEvent    bool
	// unnumbered is whether an event without an id was passed on: nothing tells another back end where to
	// go on.
	unnumbered atomic.Bool
	streamOrigin
}

// prepare sets the deadline of the request and the event that it resumes after.
func (r *run) prepare(now time.Time) {
	timeout := r.request.ClientTimeout
	if timeout <= 0 {
		timeout = defaultClientTimeout
	}
	if r.route.Timeout > 0 && r.route.Timeout < timeout {
		timeout = r.route.Timeout
	}
	r.deadline = r.request.ReceivedAt.Add(timeout)
	if r.deadline.Before(now) {
		r.deadline = now
	}
	r.lastEventID = r.request.LastEventID
	if number, err := strconv.ParseInt(r.lastEventID, 10, 64); err == nil {
		r.lastEventNumber, r.hasLastEvent = number, true
	}
}

// run makes attempts until one of them gives the final answer.
func (r *run) run(ctx context.Context) {
	timed, cancel := context.WithTimeoutCause(ctx, clock.Until(r.deadline), errDeadline)
	defer cancel()
	if refusal := r.charge(timed); refusal != nil {
		r.finish(ctx, refusal)
		return
	}
	for {
		choice, backendAttempt, refusal := r.nextBackend(timed)
		if refusal != nil {
			r.releaseGrant()
			r.finish(ctx, refusal)
			return
		}
		if r.clientGone(timed) {
			r.abandonAttempt(&choice, backendAttempt)
			return
		}
		r.attempts++
		done, failure := r.attempt(timed, choice, backendAttempt)
		if done {
			return
		}
		if failure.outcome == backend.Abandoned && timed.Err() == nil {
			// Writing to the client failed.
			r.abortClient(failure.cause)
			return
		}
		if failure.notSent {
			r.releaseBackendGrant()
		}
		r.backendGrant = nil
		if failure.connectionLimit && r.mayAwaitConnection(choice.Instance) {
			continue
		}
		if failure.ran != fault.RanNo {
			r.grant = nil
		}
		if failure.outcome != backend.Unreachable && failure.outcome != backend.Withdrawn {
			// A trial is one delivery to a back end, even to one that refuses. The quarantine is
			// then checked again.
			r.onTrial = false
		}
		if timed.Err() != nil || !r.mayRetry(failure) || !r.chargeRetry(timed) {
			r.releaseGrant()
			r.finish(ctx, r.finalFault(failure))
			failure.free()
			return
		}
		failure.free()
	}
}

// nextBackend chooses the back end for the next attempt, if the request may be sent.
func (r *run) nextBackend(ctx context.Context) (backend.Choice, *backend.Attempt, *fault.Fault) {
	if refusal := r.checkQuarantine(ctx, clock.Now()); refusal != nil {
		return backend.Choice{}, nil, refusal
	}
	choice, backendAttempt, refusal := r.place(ctx)
	if refusal != nil {
		return choice, backendAttempt, refusal
	}
	now := clock.Sync()
	// The process may have been frozen while the request waited for a grant.
	refusal = r.confirmKey(now)
	if refusal == nil {
		refusal = r.checkQuarantine(ctx, now)
	}
	if refusal != nil {
		r.declinePlacement(now, &choice, backendAttempt)
		return backend.Choice{}, nil, refusal
	}
	return choice, backendAttempt, nil
}

// mayRetry reports whether the request may be sent again, and spends a retry of
// the budget if needed.
func (r *run) mayRetry(failed *failure) bool {
	if r.attempts >= maxTotalAttempts {
		r.noRetryReason = "it has reached the maximum number of attempts"
		return false
	}
	if failed.ran != fault.RanNo && !r.route.Retryable() {
		r.noRetryReason = "it may not run twice"
		return false
	}
	if failed.ran != fault.RanNo && r.executions >= max(r.route.MaxAttempts, 1) {
		r.noRetryReason = "its route allows it to run on no more back ends"
		return false
	}
	if r.unnumbered.Load() {
		r.noRetryReason = "an event without an id was passed on"
		return false
	}
	if failed.outcome == backend.Broken && r.suspected() {
		r.noRetryReason = "back ends crashed under a part of its prompt"
		return false
	}
	switch failed.outcome {
	case backend.Unreachable, backend.Withdrawn:
		return true
	case backend.Silent:
		// It was cancelled only after its retry was granted.
		return true
	}
	r.noRetryReason = "no retry is left in the budget"
	return r.forwarder.allowRetry(r.request, r.service)
}

// finalFault returns the fault that ends the request.
func (r *run) finalFault(failed *failure) *fault.Fault {
	if failed.reply != nil && !r.headSent {
		r.sendBuffered(failed.reply)
		return nil
	}
	switch {
	case r.executionUnknown && !r.route.Retryable():
		return fault.New(fault.OutcomeUnknown, "the back end's answer was lost: %v; %s", failed.cause, r.noRetryReason).WithRan(fault.RanUnknown)
	case r.executionUnknown:
		return fault.New(fault.BackendLost, "no back end gave a complete answer: %v; %s", failed.cause, r.noRetryReason).WithRan(fault.RanUnknown)
	default:
		return fault.New(fault.BackendRefused, "the back ends refused the request, and %s", r.noRetryReason).
			WithRetryAfter(r.retryAfter(clock.Now()))
	}
}

// finish sends the client the router's own final answer; a nil fault means that one was sent.
func (r *run) finish(ctx context.Context, refusal *fault.Fault) {
	if refusal == nil {
		return
	}
	if ctx.Err() != nil {
		r.recordStep(StepClientGone, func(step *Step) { step.Cause = ctx.Err() })
		r.sink.Abort()
		return
	}
	if r.headSent {
		r.recordStep(StepBroken, func(step *Step) { step.Fault = refusal })
		r.sink.Abort()
		return
	}
	if !clock.Now().Before(r.deadline) && r.executionUnknown {
		refusal = fault.New(fault.Timeout, "the deadline of the request has passed").WithRan(fault.RanUnknown)
	}
	r.recordStep(StepRefused, func(step *Step) { step.Fault = refusal })
	r.sink.Refuse(refusal)
}

func (r *run) recordStep(kind StepKind, fill func(*Step)) {
	r.forwarder.record(r.request, kind, func(step *Step) {
		step.Route = r.route.Name
		step.ConfigurationVersion = r.view.Snapshot.Version
		step.ConfigurationAge = r.view.Age(clock.Now())
		step.Attempt = r.attempts
		step.Events = r.events
		step.LastEvent = r.lastEventID
		fill(step)
	})
}

// shouldShed reports whether the request is refused because even the best back end
// is overloaded.
func (r *run) shouldShed(choice *backend.Choice, now time.Time) bool {
	return r.attempts == 0 && r.request.Prompt != nil && r.forwarder.config.Disabled.Enabled(mechanism.EarlyRefusal) &&
		choice.Overloaded(r.deadline.Sub(now))
}

// overloadedFault returns the fault of a request that would wait too long. Its Retry-After
// is the time until the best engine would have started it.
func (r *run) overloadedFault(best *backend.Choice, now time.Time) *fault.Fault {
	return fault.New(
		fault.Overloaded, "engines are overloaded (congestion %.1f); the best would start after %v of the %v left",
		best.Congestion, best.Wait().Round(time.Millisecond), r.deadline.Sub(now).Round(time.Millisecond),
	).WithRetryAfter(max(r.forwarder.config.RetryAfter, best.Wait()))
}

// noBackendFault returns the fault of a request for which no back end is left.
func (r *run) noBackendFault() *fault.Fault {
	if r.executionUnknown {
		return fault.New(fault.BackendLost, "the answer was lost and no other back end is left").WithRan(fault.RanUnknown)
	}
	if r.bound {
		return r.releaseUnavailableFault()
	}
	return fault.New(fault.NoPermittedEngine, "no back end can take the request now").
		WithRetryAfter(r.retryAfter(clock.Now()))
}

// confirmKey checks before each attempt that the request's API key is still valid and
// recently confirmed.
func (r *run) confirmKey(now time.Time) *fault.Fault {
	if !r.authenticated {
		return nil
	}
	view := r.forwarder.Holder.View()
	if view.Age(now) > r.forwarder.config.Freshness.Keyed || view.Snapshot.Tenant(r.request.Key) == nil {
		return r.forwarder.notReady("the API key can no longer be confirmed")
	}
	return nil
}

// expectedWorkDivisor divides a route's target into the expected work of a request that
// runs no model.
const expectedWorkDivisor = 4

func (r *run) query() backend.Query {
	query := backend.Query{
		Service: r.service, Excluded: slices.Concat(r.excluded, r.full), Expected: r.route.Target / expectedWorkDivisor,
		SpreadKey: xxhash.Sum64String(string(r.request.ID)), AvoidRecentBackoff: r.avoidRecentBackoff, Routers: r.forwarder.sharingRouters(),
		Continues: r.bound, Release: r.release, AvoidNewReleases: r.resumable(),
	}
	prompt := r.request.Prompt
	if prompt == nil {
		return query
	}
	query.Model = prompt.Model
	for _, publication := range r.forwarder.Holder.View().Models[prompt.Model].Publications {
		query.Expiries = append(query.Expiries, backend.Expiry{
			Version: publication.Version, At: publication.SeenAt.Add(r.forwarder.config.VersionGrace), Uncertain: publication.SeenAtStart,
		})
	}
	query.SharedTokens, query.OwnTokens = prompt.tokenCounts()
	if key, shared := r.homeKey(); shared {
		query.HomeKey, query.SpreadKey, query.RegionKey = key, key, r.regionKey()
	}
	return query
}

// isolationPrefix returns the prefix that separates an isolated tenant's cached prompts.
func (r *run) isolationPrefix() string {
	if r.tenant != nil && r.tenant.Isolated {
		return string(r.tenant.Name) + "/"
	}
	return ""
}

// newAttempt builds the attempt for a chosen back end.
func (r *run) newAttempt(choice *backend.Choice) *Attempt {
	attempt := &Attempt{
		Request: r.request, Target: choice.Record, Version: choice.Version,
		Remaining: clock.Until(r.deadline), LastEventID: r.lastEventID, AckTimeout: r.ackTimeout(), Avoid: r.refusedOn,
	}
	if r.tenant != nil {
		attempt.Tenant = r.tenant.Name
	}
	if service := r.view.Snapshot.Service(r.service); service != nil && service.MaxConnections > 0 {
		attempt.MaxConnections = ConnectionShare(service.MaxConnections, r.forwarder.Routers())
	}
	if r.request.Prompt == nil {
		return attempt
	}
	attempt.Priority = r.priority()
	attempt.Salt = r.isolationPrefix() + "v" + strconv.Itoa(choice.Version)
	r.setCacheStores(attempt, choice.HomeZone)
	return attempt
}

// setCacheStores sets the prompt cache store that the attempt uses.
func (r *run) setCacheStores(attempt *Attempt, homeZone ident.Zone) {
	key, shared := r.homeKey()
	store := r.view.Snapshot.CacheStore(r.forwarder.config.Regions, homeZone, key)
	if store == nil || !r.forwarder.config.Disabled.Enabled(mechanism.CacheStore) {
		return
	}
	attempt.FetchFrom = store.CacheStore
	if !shared {
		return
	}
	if !r.request.Prompt.mostlyShared() && r.forwarder.config.Disabled.Enabled(mechanism.SharedSaves) {
		return
	}
	parts := r.request.Prompt.Parts
	last := parts[len(parts)-2]
	if r.shouldSave(store.CacheStore, promptcache.Part{Salt: attempt.Salt, ID: last.ID}, last.Tokens) {
		attempt.SaveTo = store.CacheStore
	}
}

// shouldSave reports whether a shared part is to be saved to a prompt cache store.
// A save sends the whole prompt, so that a needless one evicts other parts.
func (r *run) shouldSave(store netip.AddrPort, part promptcache.Part, tokens int) bool {
	now := clock.Now()
	unseen := !r.forwarder.recent.use(now, part)
	switch r.forwarder.Caches.Holds(now, store, part, tokens) {
	case promptcache.Held:
		return false
	case promptcache.Missing:
		return r.forwarder.Caches.ReserveSave(now, store, part)
	default:
		return unseen
	}
}

// homeKey returns the hash of the prompt's longest shared part, if there is one;
// isolated tenants have their own.
func (r *run) homeKey() (key uint64, shared bool) {
	last := len(r.request.Prompt.Parts) - 2
	if last < 0 {
		return 0, false
	}
	return xxhash.Sum64String(r.isolationPrefix() + r.request.Prompt.Parts[last].ID), true
}

// regionKey returns the hash that selects the region of the prompt's home, 0 for that of
// homeKey. An isolated tenant's prompts with the same first part share a region, as that
// part is cached nowhere else; that of other prompts is soon cached in all regions.
func (r *run) regionKey() uint64 {
	if r.isolationPrefix() == "" {
		return 0
	}
	return xxhash.Sum64String(r.isolationPrefix() + r.request.Prompt.Parts[0].ID)
}

const (
	// priorityStep is the number of route priorities per tenant priority.
	priorityStep = 3
	// lowestPriority is the least urgent one, which has the highest number.
	lowestPriority = 9
)

// priority combines the tenant's priority, which has precedence, with the route's.
func (r *run) priority() int {
	priority := min(r.route.Priority, priorityStep-1)
	if r.tenant != nil {
		priority += priorityStep * r.tenant.Priority
	}
	return min(priority, lowestPriority)
}
