package router

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/admission"
	"github.com/fieldpond/fieldpond/internal/api"
	"github.com/fieldpond/fieldpond/internal/claim"
	"github.com/fieldpond/fieldpond/internal/control"
	"github.com/fieldpond/fieldpond/internal/dispatch"
	"github.com/fieldpond/fieldpond/internal/endpoint"
	"github.com/fieldpond/fieldpond/internal/engine"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/fleet"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/membership"
	"github.com/fieldpond/fieldpond/internal/peer"
	"github.com/fieldpond/fieldpond/internal/placement"
	"github.com/fieldpond/fieldpond/internal/prefix/beliefs"
	"github.com/fieldpond/fieldpond/internal/prefix/directory"
	"github.com/fieldpond/fieldpond/internal/quarantine/guard"
	"github.com/fieldpond/fieldpond/internal/resume"
	"github.com/fieldpond/fieldpond/internal/routing"
	"github.com/fieldpond/fieldpond/internal/settings"
	"github.com/fieldpond/fieldpond/internal/statechart"
	"github.com/fieldpond/fieldpond/internal/store"
	"github.com/fieldpond/fieldpond/internal/telemetry"
)

const (
	// pollTick is the time between checks for due load reports.
	pollTick = 50 * time.Millisecond
	// pollsPerTick bounds the load reports requested in one pollTick.
	pollsPerTick = 8
	// pollWorkers is the number of goroutines that read load reports.
	pollWorkers = 8
	// pollTimeout bounds one read of a load report.
	pollTimeout = time.Second
	// pollRing is the capacity of the rings between placement and its poller.
	pollRing = 1024
	// maxPeerBytes bounds the body of a call between routers; the largest fleet
	// file fits.
	maxPeerBytes = 64 << 20
)

// Router is one router process.
type Router struct {
	settings        *settings.Settings
	telemetry       *telemetry.Registry
	lifecycle       *statechart.Instance
	platform        *store.HTTPClient
	engines         *engine.HTTPClient
	members         *membership.Node
	peers           *peer.Client
	peerServer      *peer.Server
	syncer          *fleet.Syncer
	claims          *claim.Manager
	sweeper         *claim.Sweeper
	control         *control.Controller
	placementRunner *placement.Runner
	placer          *placer
	apps            *applicationPlacer
	appPoller       *endpoint.Poller
	poller          *endpoint.Poller
	streams         *streamReaders
	// directoryMessages sends directory messages to other routers.
	directoryMessages *directorySender
	// quarantines rejects requests that crash engines.
	quarantines *quarantines
	dispatch    *dispatch.Dispatcher
	api         *api.Server
	background  sync.WaitGroup
}

// Run runs a router until ctx ends, then stops it gracefully: it accepts no new
// requests and finishes open ones. It returns a *fault.Fault if the router could
// not start or the stop exceeded its grace period.
func Run(ctx context.Context, configured *settings.Settings) error {
	router, err := build(configured)
	if err != nil {
		return err
	}
	return router.run(ctx)
}

// build creates the components without starting them or opening sockets.
func build(configured *settings.Settings) (*Router, error) {
	r := &Router{settings: configured, telemetry: telemetry.New()}
	chart, err := statechart.Load("router")
	if err != nil {
		return nil, errors.Wrap(err, "loading the router chart")
	}
	r.lifecycle = chart.New(statechart.Observe(r.telemetry.ChartObserver()))
	r.platform, err = store.NewHTTPClient(configured.Platform, store.Options{
		RequestsPerSecond: configured.Table.RequestsPerSecond,
		Burst:             max(1, int(configured.Table.RequestsPerSecond)),
	})
	if err != nil {
		return nil, err
	}
	r.engines = engine.NewHTTPClient(engine.Options{})
	r.peers, err = peer.NewClient(configured.Key().Reveal(), maxPeerBytes)
	if err != nil {
		return nil, err
	}
	r.syncer = fleet.NewSyncer(fleet.SyncerOptions{
		Self:  ident.Node(configured.Node),
		Zone:  ident.Zone(configured.Zone),
		Table: r.platform,
		Peers: peerFetcher{r.peers},
		View:  r.view,
	})
	r.claims = claim.NewManager(r.platform, ident.Node(configured.Node), claim.Config{
		Timeout:               configured.Table.ClaimTimeout,
		TransactionsPerSecond: configured.Table.RequestsPerSecond,
		CommitTimeout:         configured.Table.Timeout,
	})
	r.sweeper = r.newSweeper()
	r.control = control.New(control.Options{
		Node:    ident.Node(configured.Node),
		Table:   r.platform,
		Engines: r.engines,
		View:    r.view,
		Fleet:   r.syncer.Current,
		Config: control.Config{
			LoadsPerSecond:  configured.Control.LoadsPerSecond,
			MaxLoadsPerZone: configured.Control.MaxLoadsPerZone,
		},
	})
	r.quarantines = newQuarantines(
		guard.Config{Table: r.platform, Timeout: configured.Table.Timeout},
		r.engines, r.peers, ident.Node(configured.Node), r.view,
	)
	if err := r.buildPlacement(); err != nil {
		return nil, err
	}
	return r, r.buildDispatch()
}

// buildPlacement creates the components that choose engines and applications.
func (r *Router) buildPlacement() error {
	scheduler, err := routing.NewPredictive(routing.Config{})
	if err != nil {
		return err
	}
	cacheBeliefs, err := beliefs.New(beliefs.Config{}, time.Now())
	if err != nil {
		return err
	}
	prefixes, err := directory.New(directory.Config{}, cacheBeliefs)
	if err != nil {
		return err
	}
	home := ident.Zone(r.settings.Zone)
	core := placement.New(placement.Config{
		Scheduler:  scheduler,
		Beliefs:    cacheBeliefs,
		Directory:  prefixes,
		SmallFleet: smallFleet,
		Queue:      admission.NewQueue(admission.Config{}),
		NewLimiter: admission.NewDefaultLimiter,
		Hop:        hopFrom(home),
	})
	r.directoryMessages = newDirectorySender(r.peers, ident.Node(r.settings.Node), r.view)
	r.poller = endpoint.NewPoller(r.engines, pollTimeout, pollRing)
	r.placementRunner = placement.NewRunner(placement.RunnerConfig{
		MaxOpen:       r.settings.Limits.MaxOpenRequests,
		PollInterval:  r.settings.Intervals.LoadPoll,
		PollsPerTick:  pollsPerTick,
		PollTick:      pollTick,
		OnChange:      r.engineChanged,
		OnSnapshotDue: r.requestSnapshot,
		OnMessage:     r.directoryMessages.push,
	}, core, r.poller)
	r.streams = newStreamReaders(r.engines, r.placementRunner)
	r.apps = newApplicationPlacer(r.syncer.Current, home)
	r.apps.onDraining = func(name ident.Application, incarnation ident.Incarnation) {
		r.broadcastDraining(string(name), incarnation)
	}
	r.appPoller = endpoint.NewPoller(r.engines, pollTimeout, pollRing)
	r.placer = &placer{placementRunner: r.placementRunner, transfers: r.engines, current: r.syncer.Current, homeZone: home}
	return nil
}

// buildDispatch creates the components that serve callers.
func (r *Router) buildDispatch() error {
	request, err := statechart.Load("request")
	if err != nil {
		return errors.Wrap(err, "loading the request chart")
	}
	sealer, err := resume.NewSealer(r.settings.Key().Reveal())
	if err != nil {
		return err
	}
	r.dispatch = dispatch.New(dispatch.Config{}, dispatch.Dependencies{
		Engines:           r.engines,
		Placer:            r.placer,
		Budget:            newRetryBudgets(),
		NewChart:          newRequestCharts(request, r.telemetry.ChartObserver()),
		Applications:      r.engines,
		ApplicationPlacer: r.apps,
		Claimer:           r.claims,
		Answers:           answerStore{r.platform},
		Quarantine:        r.quarantines,
	})
	r.api = api.NewServer(api.Config{
		MaxBodyBytes:   r.settings.Limits.MaxBodyBytes,
		MaxHeaderBytes: r.settings.Limits.MaxHeaderBytes,
		Node:           ident.Node(r.settings.Node),
		KeepStream:     r.keepStream,
		OnFault:        r.telemetry.CountRefusal,
	}, catalogs{r.syncer.Current}, &rateLimitedRunner{r.dispatch, newTenantRates(r.syncer.Current)}, sealer, r.state)
	return nil
}

// run opens the sockets, starts the components and stops them in order.
func (r *Router) run(ctx context.Context) error {
	routes, err := r.handler()
	if err != nil {
		return err
	}
	server := r.api.NewHTTPServer()
	server.Handler = routes
	callers, err := listenForCallers(r.settings.Listen, server, r.api.RejectNewRequests)
	if err != nil {
		return err
	}
	backgroundCtx, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	if err := r.startMembership(backgroundCtx); err != nil {
		_ = callers.listener.Close()
		return err
	}
	r.startBackground(backgroundCtx)
	r.placementRunner.SetView(r.view())
	callers.serve()
	log.WithField("listen", callers.listener.Addr().String()).WithField("node", r.settings.Node).Info("router started")

	select {
	case <-ctx.Done():
		err = r.stop(callers)
	case err = <-callers.serveError:
		err = fault.Wrap(err, fault.Internal, "the HTTP listener ended")
	}
	stopBackground()
	r.members.Stop()
	r.background.Wait()
	r.streams.Wait()
	log.Info("router stopped")
	return err
}

// stop stops serving callers once open requests have finished.
func (r *Router) stop(callers *callerServer) error {
	r.fire(statechart.RouterEventStopRequested)
	log.Info("router shutting down")
	r.announceShutdown()
	bounded, cancel := context.WithTimeout(context.Background(), r.settings.StopGrace)
	defer cancel()
	err := callers.stop(bounded)
	r.dispatch.Close()
	if err != nil {
		r.fire(statechart.RouterEventGraceOver)
		return fault.Wrap(err, fault.Timeout, "open requests outlasted the stop grace of %s", r.settings.StopGrace).
			WithRemedy("raise stopGrace above the longest stream")
	}
	r.fire(statechart.RouterEventDrained)
	return nil
}

// announceShutdown announces the stop, so that other routers take over what this
// one owns before it stops.
func (r *Router) announceShutdown() {
	bounded, cancel := context.WithTimeout(context.Background(), membershipTimeout)
	defer cancel()
	if err := r.members.Leave(bounded); err != nil {
		log.WithError(err).Warn("shutdown not announced to the other routers")
	}
}

// startBackground starts the router's goroutines, which end with ctx.
func (r *Router) startBackground(ctx context.Context) {
	r.syncer.OnPrepare(func(compiled *fleet.Compiled) {
		r.placementRunner.Configure(engineTargets(compiled))
		r.apps.configure(compiled)
	})
	r.syncer.OnAdopt(func(compiled *fleet.Compiled) { r.adopt(ctx, compiled) })
	r.poller.Start(ctx, pollWorkers)
	r.appPoller.Start(ctx, pollWorkers)
	r.background.Go(func() { r.placementRunner.Run(ctx) })
	for range directorySenders {
		r.background.Go(func() { r.directoryMessages.run(ctx) })
	}
	for range quarantineSenders {
		r.background.Go(func() { r.quarantines.runCalls(ctx) })
	}
	r.background.Go(func() { r.quarantines.pollPeers(ctx) })
	r.background.Go(func() { r.quarantines.Run(ctx) })
	// In the background: a router starts while the table is down.
	r.background.Go(func() { r.quarantines.Load(ctx, 0) })
	r.background.Go(func() { r.syncer.Run(ctx) })
	r.background.Go(func() { r.claims.Run(ctx) })
	r.background.Go(func() { r.sweeper.Run(ctx) })
	r.background.Go(func() { r.control.Run(ctx) })
	r.background.Go(func() { r.pollApplications(ctx) })
	r.background.Go(func() { r.watchMachines(ctx) })
	r.background.Go(func() { r.watchMembers(ctx) })
	r.background.Go(r.poller.Wait)
	r.background.Go(r.appPoller.Wait)
	r.registerMetrics()
	for _, read := range r.rings() {
		r.telemetry.RegisterRing(read)
	}
}

// adopt applies a fleet file that is now in force; OnPrepare has configured its
// back ends.
func (r *Router) adopt(ctx context.Context, compiled *fleet.Compiled) {
	r.streams.Set(ctx, r.assignedStreams(compiled))
	r.advertiseFleet(ctx, compiled)
	r.fire(statechart.RouterEventReady)
}

// pollApplications reads the load reports of applications until ctx ends.
func (r *Router) pollApplications(ctx context.Context) {
	for ctx.Err() == nil {
		r.apps.poll(r.appPoller, r.settings.Intervals.LoadPoll, pollsPerTick)
		sleep(ctx, pollTick)
	}
}

// fire sends an event to the router's state chart, whose observer counts events
// that it rejects.
func (r *Router) fire(event statechart.Event) { _, _ = r.lifecycle.Fire(event) }

// state returns the state that the API reports.
func (r *Router) state() api.State {
	switch r.lifecycle.State() {
	case statechart.RouterStateServing:
		return api.StateServing
	case statechart.RouterStateStarting:
		return api.StateStarting
	default:
		return api.StateShuttingDown
	}
}
