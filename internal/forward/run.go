package forward

import (
	"context"
	"net/netip"
	"strconv"
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
	// errSilent ends an attempt from which nothing came in time.
	errSilent = errors.New("nothing came in time")
	// errTimeUp ends an attempt whose request has used its time.
	errTimeUp = errors.New("the time of the request is over")
)

// run is one request on its way to its final answer.
type run struct {
	forwarder *Forwarder
	request   *Request
	sink      Sink
	view      catalog.View
	route     *catalog.Route
	service   ident.Service
	tenant    *catalog.Tenant
	keyed     bool
	// endsAt is when the request is given up.
	endsAt time.Time

	// sends counts all sendings, ran the engines that may have run the request.
	sends, ran int
	// noRepeat says why the request is not sent once more.
	noRepeat string
	// unproven is true once an attempt was sent whose fate no answer has told.
	unproven bool
	excluded []ident.Incarnation
	// asked is true once the request was counted for its service.
	asked bool
	// grant allows the next attempt, if the tenant has a limit; it is nil before it was
	// granted, and once a back end may have run the request.
	grant *quota.Grant
	// permit allows the next attempt at one back end, if that names a limit; it is nil once
	// the request may have reached it.
	permit *permit
	// avoidDoubted keeps the present attempt from back ends that may refuse again.
	avoidDoubted bool
	// claims counts the back ends with limits that the present attempt was denied.
	claims int
	// named tells the request apart from others, onTrial says that it was held, and a trial
	// was granted.
	named   *quarantine.Subject
	onTrial bool
	// begun is true once the head of an answer was passed on.
	begun  bool
	events int
	// lastEvent is the id of the last event passed on, or what the client has.
	lastEvent string
	lastID    int64
	hasLast   bool
}

// plan fixes the time of the request.
func (r *run) plan(now time.Time) {
	wait := r.request.ClientTimeout
	if wait <= 0 {
		wait = defaultWait
	}
	if r.route.Timeout > 0 && r.route.Timeout < wait {
		wait = r.route.Timeout
	}
	r.endsAt = r.request.ReceivedAt.Add(wait)
	if r.endsAt.Before(now) {
		r.endsAt = now
	}
	r.lastEvent = r.request.LastEventID
	if number, err := strconv.ParseInt(r.lastEvent, 10, 64); err == nil {
		r.lastID, r.hasLast = number, true
	}
}

// run makes attempts until one of them gives the final answer.
func (r *run) run(ctx context.Context) {
	timed, cancel := context.WithTimeoutCause(ctx, clock.Until(r.endsAt), errTimeUp)
	defer cancel()
	if refusal := r.charge(timed); refusal != nil {
		r.finish(ctx, refusal)
		return
	}
	for {
		choice, flight, refusal := r.next(timed)
		if refusal != nil {
			r.giveBack()
			r.finish(ctx, refusal)
			return
		}
		if r.clientLeft(timed) {
			r.abandon(&choice, flight)
			return
		}
		r.sends++
		done, failure := r.attempt(timed, choice, flight)
		if done {
			return
		}
		if failure.outcome == backend.Abandoned && timed.Err() == nil {
			// The client does not take what was written.
			r.leave(failure.cause)
			return
		}
		if failure.unsent {
			r.returnPermit()
		}
		r.permit = nil
		if failure.ran != fault.RanNo {
			r.grant = nil
		}
		if failure.outcome != backend.Unreachable && failure.outcome != backend.Withdrawn {
			// A trial reaches one back end, also one that refuses: what is bounded is how often
			// the request arrives. It is judged again then.
			r.onTrial = false
		}
		if timed.Err() != nil || !r.mayRepeat(failure) || !r.chargeRepeat(timed) {
			r.giveBack()
			r.finish(ctx, r.final(failure))
			return
		}
	}
}

// next chooses the back end for the next attempt, if the request may be sent.
func (r *run) next(ctx context.Context) (backend.Choice, *backend.Attempt, *fault.Fault) {
	if refusal := r.quarantined(ctx, clock.Now()); refusal != nil {
		return backend.Choice{}, nil, refusal
	}
	choice, flight, refusal := r.place(ctx)
	if refusal != nil {
		return choice, flight, refusal
	}
	now := clock.Sync()
	// The process may have stood still while the request waited for a grant.
	refusal = r.confirm(now)
	if refusal == nil {
		refusal = r.quarantined(ctx, now)
	}
	if refusal != nil {
		r.decline(now, &choice, flight)
		return backend.Choice{}, nil, refusal
	}
	return choice, flight, nil
}

// failure is what an attempt came to that gave no final answer.
type failure struct {
	// ran says whether the back end may have run the request, unsent that it never got it.
	ran     fault.Ran
	unsent  bool
	outcome backend.Outcome
	cause   error
	// newVersion says that the back end refused because of its version, and is
	// now believed to have a newer one.
	newVersion bool
	// reply is an answer of the back end that may be passed on when nothing
	// better comes; its body is open.
	reply *bufferedReply
}

// mayRepeat reports whether the request may be sent once more, and takes the
// repeat out of the budget.
func (r *run) mayRepeat(failed *failure) bool {
	if r.sends >= maxSends {
		r.noRepeat = "it was sent as often as any request may be"
		return false
	}
	if failed.ran != fault.RanNo && !r.route.Repeatable() {
		r.noRepeat = "it may not run twice"
		return false
	}
	if failed.ran != fault.RanNo && r.ran >= max(r.route.MaxAttempts, 1) {
		r.noRepeat = "it may have run on as many back ends as its route allows"
		return false
	}
	switch failed.outcome {
	case backend.Unreachable, backend.Withdrawn:
		return true
	case backend.Silent:
		// It was given up only after its repeat was granted.
		return true
	}
	r.noRepeat = "no repeat is left in the budget"
	return r.forwarder.allowRepeat(r.request, r.service)
}

// final returns the fault that ends the request.
func (r *run) final(failed *failure) *fault.Fault {
	if failed.reply != nil && !r.begun {
		r.pass(failed.reply)
		return nil
	}
	switch {
	case r.unproven && !r.route.Repeatable():
		return fault.New(fault.OutcomeUnknown, "the back end's answer was lost: %v; %s", failed.cause, r.noRepeat).WithRan(fault.RanUnknown)
	case r.unproven:
		return fault.New(fault.BackendLost, "no back end gave a whole answer: %v; %s", failed.cause, r.noRepeat).WithRan(fault.RanUnknown)
	default:
		return fault.New(fault.BackendRefused, "the back ends refused the request, and %s", r.noRepeat).
			WithRetryAfter(r.comeBack(clock.Now()))
	}
}

// finish gives the client the final answer of the router's own.
func (r *run) finish(ctx context.Context, refusal *fault.Fault) {
	if refusal == nil {
		return
	}
	if ctx.Err() != nil {
		r.note(StepClientGone, func(step *Step) { step.Cause = ctx.Err() })
		r.sink.Abort()
		return
	}
	if r.begun {
		r.note(StepBroken, func(step *Step) { step.Fault = refusal })
		r.sink.Abort()
		return
	}
	if !clock.Now().Before(r.endsAt) && r.unproven {
		refusal = fault.New(fault.Timeout, "the time of the request is over").WithRan(fault.RanUnknown)
	}
	r.note(StepRefused, func(step *Step) { step.Fault = refusal })
	r.sink.Refuse(refusal)
}

func (r *run) note(kind StepKind, fill func(*Step)) {
	r.forwarder.record(r.request, kind, func(step *Step) {
		step.Route = r.route.Name
		step.ConfigurationVersion = r.view.Snapshot.Version
		step.ConfigurationAge = r.view.Age(clock.Now())
		step.Attempt = r.sends
		step.Events = r.events
		fill(step)
	})
}

// overloadedBy reports whether the request is refused rather than sent to the best
// back end there is.
func (r *run) overloadedBy(choice *backend.Choice, now time.Time) bool {
	return r.sends == 0 && r.request.Prompt != nil && r.forwarder.config.Disabled.On(mechanism.EarlyRefusal) &&
		choice.Overloaded(r.endsAt.Sub(now))
}

// overloaded is the fault of a request that would wait for too long. Its client is to
// come back when the engine that is free first would have begun with it.
func (r *run) overloaded(best *backend.Choice, now time.Time) *fault.Fault {
	return fault.New(
		fault.Overloaded, "engines answer late (congestion %.1f); the best would begin after %v of the %v left",
		best.Congestion, best.Wait().Round(time.Millisecond), r.endsAt.Sub(now).Round(time.Millisecond),
	).WithRetryAfter(max(r.forwarder.config.RetryAfter, best.Wait()))
}

// unplaced is the fault of a request for which no back end is left.
func (r *run) unplaced() *fault.Fault {
	if r.unproven {
		return fault.New(fault.BackendLost, "the answer was lost and no other back end is left").WithRan(fault.RanUnknown)
	}
	return fault.New(fault.NoPermittedEngine, "no back end can take the request now").
		WithRetryAfter(r.comeBack(clock.Now()))
}

// confirm checks right before each attempt that the configuration the request
// runs under may still be acted on.
func (r *run) confirm(now time.Time) *fault.Fault {
	if !r.keyed {
		return nil
	}
	view := r.forwarder.Holder.View()
	if view.Age(now) > r.forwarder.config.Freshness.Keyed || view.Snapshot.Tenant(r.request.Key) == nil {
		return r.forwarder.notReady("the API key could not be confirmed any more")
	}
	return nil
}

// usualWork is taken as the time of a request that runs no model, as a part of
// its route's target.
const usualWork = 4

func (r *run) query() backend.Query {
	query := backend.Query{
		Service: r.service, Excluded: r.excluded, Expected: r.route.Target / usualWork,
		SpreadKey: xxhash.Sum64String(string(r.request.ID)), AvoidRecentBackoff: r.avoidDoubted,
	}
	prompt := r.request.Prompt
	if prompt == nil {
		return query
	}
	query.Model = prompt.Model
	for _, naming := range r.forwarder.Holder.View().Models[prompt.Model].Publications {
		query.Expiries = append(query.Expiries, backend.Expiry{
			Version: naming.Version, At: naming.SeenAt.Add(r.forwarder.config.VersionGrace), Uncertain: naming.SeenAtStart,
		})
	}
	query.SharedTokens, query.OwnTokens = prompt.lengths()
	if key, shared := r.homeKey(); shared {
		query.HomeKey, query.SpreadKey, query.RegionKey = key, key, r.regionKey()
	}
	return query
}

// wall separates the cached prompts of isolated tenants.
func (r *run) wall() string {
	if r.tenant != nil && r.tenant.Isolated {
		return string(r.tenant.Name) + "/"
	}
	return ""
}

// describe builds the attempt for a chosen back end.
func (r *run) describe(choice *backend.Choice) *Attempt {
	attempt := &Attempt{
		Request: r.request, Target: choice.Record, Version: choice.Version,
		Remaining: clock.Until(r.endsAt), LastEventID: r.lastEvent, AckTimeout: r.ackWithin(),
	}
	if r.tenant != nil {
		attempt.Tenant = r.tenant.Name
	}
	if service := r.view.Snapshot.Service(r.service); service != nil && service.MaxConnections > 0 {
		attempt.MaxConnections = max(service.MaxConnections/withSpare(r.forwarder.Routers()), 1)
	}
	if r.request.Prompt == nil {
		return attempt
	}
	attempt.Priority = r.priority()
	attempt.Salt = r.wall() + "v" + strconv.Itoa(choice.Version)
	r.describeCache(attempt, choice.HomeZone)
	return attempt
}

// describeCache names the store of kept prompt caches that the attempt uses.
func (r *run) describeCache(attempt *Attempt, homeZone ident.Zone) {
	key, shared := r.homeKey()
	store := r.view.Snapshot.CacheStore(r.forwarder.config.Regions, homeZone, key)
	if store == nil || !r.forwarder.config.Disabled.On(mechanism.CacheStore) {
		return
	}
	attempt.FetchFrom = store.CacheStore
	if !shared {
		return
	}
	if !r.request.Prompt.mostlyShared() && r.forwarder.config.Disabled.On(mechanism.SharedSaves) {
		return
	}
	parts := r.request.Prompt.Parts
	last := parts[len(parts)-2]
	if r.wantsSave(store.CacheStore, promptcache.Part{Salt: attempt.Salt, ID: last.ID}, last.Tokens) {
		attempt.SaveTo = store.CacheStore
	}
}

// wantsSave reports whether a shared part is to be saved to a store of kept
// prompt caches. A save sends the whole prompt, so that saving what is there
// already drives out other parts.
func (r *run) wantsSave(store netip.AddrPort, part promptcache.Part, tokens int) bool {
	now := clock.Now()
	unseen := !r.forwarder.recent.use(now, part)
	switch r.forwarder.Caches.Holds(now, store, part, tokens) {
	case promptcache.Held:
		return false
	case promptcache.Missing:
		return r.forwarder.Caches.Reserve(now, store, part)
	default:
		return unseen
	}
}

// homeKey names the longest shared part of the prompt, if there is one, apart
// from those of isolated tenants.
func (r *run) homeKey() (key uint64, shared bool) {
	last := len(r.request.Prompt.Parts) - 2
	if last < 0 {
		return 0, false
	}
	return xxhash.Sum64String(r.wall() + r.request.Prompt.Parts[last].ID), true
}

// regionKey draws the region of the prompt's home. Prompts of an isolated tenant that
// begin with the same part lie in one region: nobody else brings that part to another one,
// where it would be read once more. Others are spread by the whole shared part, as what
// they begin with is soon kept everywhere.
func (r *run) regionKey() uint64 {
	if r.wall() == "" {
		return 0
	}
	return xxhash.Sum64String(r.wall() + r.request.Prompt.Parts[0].ID)
}

const (
	// priorityStep leaves room for the route's priority under the tenant's.
	priorityStep = 3
	// leastUrgent is the highest priority number.
	leastUrgent = 9
)

// priority joins the tenant's priority, which goes first, and the route's.
func (r *run) priority() int {
	priority := min(r.route.Priority, priorityStep-1)
	if r.tenant != nil {
		priority += priorityStep * r.tenant.Priority
	}
	return min(priority, leastUrgent)
}
