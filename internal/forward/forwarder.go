package forward

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fieldpond/fieldpond/internal/admission"
	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/mechanism"
	"github.com/fieldpond/fieldpond/internal/memory"
	"github.com/fieldpond/fieldpond/internal/promptcache"
	"github.com/fieldpond/fieldpond/internal/region"
)

// Config bounds what a Forwarder does. Zero fields take the defaults.
type Config struct {
	// Freshness bounds how long an unconfirmed configuration is acted on.
	Freshness catalog.Freshness
	// VersionGrace is how long after the publication of a version of a model's weights
	// requests may still start on an older one. Default: 7s.
	VersionGrace time.Duration
	// Retries bounds the retries of each service.
	Retries admission.WindowConfig
	// Slack is the number of retries that all routers together may make for each
	// service in a window without any request; it may be a fraction. Default: 0.
	Slack float64
	// Regions maps zones to regions. Default: all zones are in one region.
	Regions region.Map
	// Disabled lists the disabled mechanisms. Default: none.
	Disabled mechanism.Disabled
	// HeldAnswerBytes limits the memory of what is held of all answers until it is passed on: answers that
	// are read whole and events of streams, beside the first 4 KiB of each. Default: 32 MiB.
	HeldAnswerBytes int64
	// RetryAfter is the default Retry-After of refusals. Default: 300ms.
	RetryAfter time.Duration
}

const (
	// defaultHeldAnswerBytes is the default of Config.HeldAnswerBytes.
	defaultHeldAnswerBytes = 32 << 20

	defaultVersionGrace = 7 * time.Second
	// assumedRouters is the number of routers assumed while it is not known.
	assumedRouters = 100
	// spareRouterTenths is the allowance, in tenths, for routers that start between two counts.
	spareRouterTenths = 1
	defaultRetryAfter = 300 * time.Millisecond
	// defaultClientTimeout is assumed for clients that state no timeout.
	defaultClientTimeout = 30 * time.Second
	// maxTotalAttempts bounds all attempts of a request, including refused and unsent ones.
	maxTotalAttempts = 4
)

func (c Config) withDefaults() Config {
	c.VersionGrace = cmp.Or(c.VersionGrace, defaultVersionGrace)
	c.RetryAfter = cmp.Or(c.RetryAfter, defaultRetryAfter)
	c.HeldAnswerBytes = cmp.Or(c.HeldAnswerBytes, defaultHeldAnswerBytes)
	return c
}

// Dependencies are the collaborators of a Forwarder; all are required unless noted.
type Dependencies struct {
	Holder   *catalog.Holder
	Backends *backend.Registry
	Caller   Caller
	// Routers returns the number of routers that share system-wide bounds, 0 if it is
	// not known.
	Routers func() int
	// Sharers returns the number of routers that share the retry slack of a window, 0
	// while this one has no share.
	Sharers func() int
	// Caches indexes the contents of prompt cache stores.
	Caches *promptcache.Index
	// Quotas enforces the limits of tenants; it may be nil if none has one.
	Quotas Quotas
	// Releases restricts the releases that attempts may go to; it may be nil if there are
	// no guarded rollouts.
	Releases Releases
	// Limits enforces the limits that back ends advertise; it may be nil.
	Limits BackendLimits
	// Notifier notifies other routers about back ends; it may be nil.
	Notifier BackendNotifier
	// Quarantine withholds requests that crash back ends; it may be nil.
	Quarantine Quarantine
	// Streams knows at which releases streams began; nil leaves streams to any release.
	Streams Streams
	// Record receives each decision about a request. It must not block.
	Record func(Step)
}

// Forwarder runs requests. It is safe for concurrent use.
type Forwarder struct {
	Dependencies
	config   Config
	splitter *catalog.Splitter
	recent   *recentPrompts
	// startedAt is when this Forwarder was created.
	startedAt time.Time
	held      *memory.Budget
	// waiting counts the requests that wait for a configuration.
	waiting atomic.Int64

	mutex   sync.Mutex
	budgets map[ident.Service]*admission.WindowBudget
}

// New returns a Forwarder.
func New(config Config, dependencies Dependencies) *Forwarder {
	config = config.withDefaults()
	return &Forwarder{
		Dependencies: dependencies,
		config:       config,
		held:         memory.NewBudget(config.HeldAnswerBytes),
		splitter:     catalog.NewSplitter(),
		recent:       newRecentPrompts(),
		startedAt:    clock.Now(),
		budgets:      make(map[ident.Service]*admission.WindowBudget),
	}
}

// Forward runs one request to its final answer. The end of ctx means that the
// client is gone.
func (f *Forwarder) Forward(ctx context.Context, request *Request, sink Sink) {
	f.awaitConfiguration(ctx, request)
	clock.Sync()
	f.awaitConfirmation(ctx, request)
	f.awaitNextRead(ctx)
	run, refusal := f.admit(request)
	if refusal != nil {
		f.recordRefusal(request, refusal)
		sink.Refuse(refusal)
		return
	}
	run.sink = sink
	if refusal := run.findOrigin(ctx); refusal != nil {
		run.finish(ctx, refusal)
		return
	}
	run.run(ctx)
}

// recordRefusal records a refusal by admit. Those due to the age of the configuration name its
// version, its age and why it is not confirmed.
func (f *Forwarder) recordRefusal(request *Request, refusal *fault.Fault) {
	view := f.Holder.View()
	f.record(request, StepRefused, func(step *Step) {
		step.Fault = refusal
		if refusal.Kind != fault.NotReady || view.Snapshot == nil {
			return
		}
		step.ConfigurationVersion, step.ConfigurationAge = view.Snapshot.Version, view.Age(clock.Now())
		step.Unconfirmed = view.Unconfirmed.Reason
	})
}

// admit finds the route and tenant of a request. It returns a fault if this
// router's configuration has none.
func (f *Forwarder) admit(request *Request) (*run, *fault.Fault) {
	now := clock.Sync()
	view := f.Holder.View()
	if view.Snapshot == nil {
		return nil, f.notReady("no configuration is known yet")
	}
	route := view.Snapshot.Match(request.Host, request.Path)
	if route == nil {
		return nil, f.denied(now, view, view.Snapshot.KnowsRoutes(), fault.UnknownRoute, "no route has this host and path")
	}
	run := &run{forwarder: f, request: request, view: view, route: route}
	if view.Snapshot.Authenticates() && !route.Public {
		run.tenant = view.Snapshot.Tenant(request.Key)
		if run.tenant == nil {
			return nil, f.denied(now, view, view.Snapshot.KnowsKeys(), fault.Unauthorized, "the API key is not known")
		}
		run.authenticated = true
	}
	if run.authenticated && view.Age(now) > f.config.Freshness.Keyed {
		return nil, f.notReady("the configuration could not be confirmed for too long")
	}
	service, found := f.splitter.Next(route)
	if !found {
		return nil, f.notReady("the route has no service")
	}
	run.service = service
	run.prepare(now)
	f.withBudget(service, func(budget *admission.WindowBudget) { budget.RecordRequest(now) })
	return run, nil
}

// denied returns a fault of the kind, or a temporary one if this router's
// configuration may be outdated or lacks some of them.
func (f *Forwarder) denied(now time.Time, view catalog.View, complete bool, kind fault.Kind, detail string) *fault.Fault {
	if !complete || view.Age(now) > f.config.Freshness.Denial {
		return f.notReady("this router cannot confirm that " + detail)
	}
	return fault.New(kind, "%s", detail)
}

func (f *Forwarder) notReady(detail string) *fault.Fault {
	return fault.New(fault.NotReady, "%s", detail).WithRetryAfter(f.config.RetryAfter)
}

// hasSpareRetries reports whether a service has retries left for attempts that are likely to be
// refused.
func (f *Forwarder) hasSpareRetries(service ident.Service) (spare bool) {
	retry := f.retryState(service)
	f.withBudget(service, func(budget *admission.WindowBudget) { spare = budget.SpareForTrials(clock.Now(), retry.Slack) })
	return spare
}

// retryState returns this router's share of the retry slack of a service.
func (f *Forwarder) retryState(service ident.Service) RetryState {
	retry := RetryState{Service: service}
	if sharers := f.Sharers(); sharers > 0 {
		retry.Sharers = withSpareRouters(sharers)
		retry.Slack = f.config.Slack / float64(retry.Sharers)
	}
	return retry
}

// allowRetry spends one retry of the service's budget and reports whether it had one.
func (f *Forwarder) allowRetry(request *Request, service ident.Service) bool {
	allowed := false
	retry := f.retryState(service)
	f.withBudget(service, func(budget *admission.WindowBudget) {
		now := clock.Now()
		allowed = budget.Allow(now, retry.Slack)
		retry.Requests, retry.Retries = budget.Counts(now)
	})
	kind := StepRetryDenied
	if allowed {
		kind = StepRetryGranted
	}
	f.record(request, kind, func(step *Step) { step.Retry = retry })
	return allowed
}

// sharingRouters returns the number of routers that share the back ends.
func (f *Forwarder) sharingRouters() int {
	if routers := f.Routers(); routers > 0 {
		return routers
	}
	return assumedRouters
}

// ConnectionShare returns how many of the connections that a back end takes from all routers one of them
// may open.
func ConnectionShare(all, routers int) int { return max(all/withSpareRouters(routers), 1) }

// withSpareRouters returns the number of routers, plus an allowance for new ones, by which
// a system-wide bound is divided.
func withSpareRouters(routers int) int {
	if routers <= 0 {
		return assumedRouters
	}
	return routers + (spareRouterTenths*routers+9)/10
}

func (f *Forwarder) withBudget(service ident.Service, use func(*admission.WindowBudget)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	budget := f.budgets[service]
	if budget == nil {
		budget = admission.NewWindowBudget(f.config.Retries, f.startedAt)
		f.budgets[service] = budget
	}
	use(budget)
}
