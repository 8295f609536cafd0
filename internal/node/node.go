package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"github.com/fieldpond/fieldpond/internal/admission"
	"github.com/fieldpond/fieldpond/internal/answer"
	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/canary"
	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/flood"
	"github.com/fieldpond/fieldpond/internal/forward"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/inbound"
	"github.com/fieldpond/fieldpond/internal/lease"
	"github.com/fieldpond/fieldpond/internal/mechanism"
	"github.com/fieldpond/fieldpond/internal/quarantine"
	"github.com/fieldpond/fieldpond/internal/quarantine/guard"
	"github.com/fieldpond/fieldpond/internal/quota"
	"github.com/fieldpond/fieldpond/internal/region"
	"github.com/fieldpond/fieldpond/internal/rollout"
	"github.com/fieldpond/fieldpond/internal/store"
	"github.com/fieldpond/fieldpond/internal/upstream"
	"github.com/fieldpond/fieldpond/internal/wait"
)

// Config is the configuration of one node.
type Config struct {
	Node ident.Node
	Zone ident.Zone
	// Regions maps zones to regions; the zero Map means that there is one region.
	Regions region.Map
	// FrontAddress receives client requests, ReadyAddress the readiness checks of load
	// balancers; both are host:port.
	FrontAddress, ReadyAddress string
	ReadyPath                  string
	// MetricsAddress (host:port) and MetricsPath are where metrics are served; an empty
	// address disables them.
	MetricsAddress, MetricsPath string
	// SlowLink is whether this router's link is too slow to read the store for others while there
	// are routers with faster ones.
	SlowLink bool
	// PeerAddr is where other routers pull the shared state.
	PeerAddr netip.AddrPort
	// DrainServeTime is backend.Config.DrainServeTime.
	DrainServeTime time.Duration
	Follow         FollowConfig
	Forward        forward.Config
	// Disabled are the mechanisms that are switched off.
	Disabled mechanism.Disabled
	Lease    lease.Config
	Rollout  rollout.ControllerConfig
	// Canary bounds the requests to a release on trial; the zero value disables canary
	// rollouts.
	Canary canary.Bounds
	// Clients bounds the connections of clients; its Limits are set by the node.
	Clients inbound.Config
	// Quota bounds by how much tenants may exceed their limits.
	Quota quota.Bounds
	// GracePeriod is the time from the request to stop until the process is killed.
	GracePeriod time.Duration
	// ShutdownDelay is how long a stopping node still accepts new connections, until load
	// balancers have removed it.
	ShutdownDelay time.Duration
}

// Ports are the external dependencies of a node.
type Ports struct {
	Source Source
	// Feed may be nil: the instance list is always read whole then, by Source.
	Feed BackendFeed
	// Table's row versions increase with every transaction, across all keys.
	Table   store.Table
	Caller  forward.Caller
	Engines rollout.Engines
	// OnAdvertised sets a function that is called with what back ends advertise in answers
	// to reports and orders; it may be nil.
	OnAdvertised func(observer backend.AdvertisedFunc)
	// Detours may be nil: all connections to back ends are direct then.
	Detours *DetourPorts
	// Caches may be nil: the content of stores of prompt caches is unknown then.
	Caches CacheReader
	// Epochs may be nil if the store is never restored from an older copy.
	Epochs Epochs
	// Rollouts writes the states of rollouts; it may be nil if Config.Canary is not set.
	Rollouts RolloutStore
	// Front returns the handler of client requests. closing reports whether connections are
	// to be closed after their answer; clients bounds the bodies.
	Front func(forwarder *forward.Forwarder, holder *catalog.Holder, closing func() bool, clients *inbound.Clients) http.Handler
	// Loops run until the node has stopped.
	Loops []func(ctx context.Context)
	// LinesDropped returns the number of log lines dropped; it may be nil.
	LinesDropped func() uint64
	// SilentConnections returns how many connections of the other ports were found silent;
	// it may be nil.
	SilentConnections func() uint64
	// TooLargeAnswers returns how many answers on the connections of the other ports exceeded a limit;
	// it may be nil.
	TooLargeAnswers func() uint64
	// MalformedAnswers returns how many answers on the connections of the other ports were none of HTTP/1, by
	// what was wrong, each in a map of its own; it may be nil.
	MalformedAnswers func() []map[answer.Cause]uint64
}

// rolloutLease is the name of the lease under which one node sends orders to engines.
const rolloutLease = "rollout"

// Node is one router process.
type Node struct {
	config   Config
	ports    Ports
	holder   *catalog.Holder
	backends *backend.Registry
	lease    *lease.Elector
	metrics  *metrics
	follower *follower
	quotas   *quotas
	// quarantines withholds requests under which back ends crash.
	quarantines *quarantines
	// notifier is nil before the node runs, or without a PeerAddr.
	notifier atomic.Pointer[notifier]
	canaries *canaries
	limits   *backendLimits
	updates  *backendUpdates
	// streams is nil if streams may go on at any release.
	streams *streams
	// engines sends reports and orders.
	engines *engineCalls
	peers   *upstream.Client
	clients *inbound.Clients
	// detours is nil if connections to back ends are all direct.
	detours  *detours
	stopping atomic.Bool
}

// New returns a node that has not started.
func New(config Config, ports Ports) *Node {
	n := &Node{
		config: config,
		ports:  ports,
		holder: &catalog.Holder{},
		backends: backend.NewRegistry(backend.Config{
			Zone: config.Zone, Regions: config.Regions, Disabled: config.Disabled, DrainServeTime: config.DrainServeTime,
			AwaitPastReleases: config.Disabled.Enabled(mechanism.StreamAffinity),
		}),
		peers: upstream.NewClient(),
		lease: lease.NewElector(ports.Table, config.Lease, rolloutLease, config.Node),
	}
	config.Clients.Limits = n.clientLimits
	n.clients = inbound.New(config.Clients)
	n.metrics = newMetrics(n.readGauges)
	n.engines = &engineCalls{engines: ports.Engines, backends: n.backends}
	n.follower = n.newFollower()
	n.quotas = n.newQuotas()
	n.limits = newBackendLimits(config.PeerAddr, n.backends, n.follower.sharingRouters, n.metrics)
	n.follower.onJoined = func(self upstream.Peer, peers []upstream.Peer) {
		n.quotas.setRouters(self, peers)
		n.limits.setRouters(self, peers)
	}
	n.updates = newBackendUpdates(n.backends, n.limits, n.follower.sharingRouters)
	n.follower.replica.updates = n.updates
	if ports.OnAdvertised != nil {
		ports.OnAdvertised(n.updates.observeAdvertised)
	}
	n.detours = n.newDetours()
	n.quarantines = n.newQuarantines()
	n.follower.guard, n.follower.replica.guard = n.quarantines.Guard, n.quarantines.Guard
	n.setUpCanaries()
	n.setUpStreams()
	return n
}

// setUpCanaries sets up canary rollouts, if they are enabled.
func (n *Node) setUpCanaries() {
	if !n.config.Canary.Enabled() || n.ports.Rollouts == nil {
		return
	}
	states := &rolloutStates{table: n.ports.Table, writer: n.ports.Rollouts, timeout: n.config.Follow.ReadTimeout}
	n.canaries = newCanaries(n.config.Canary, &canaries{
		self: n.config.PeerAddr, peers: n.follower.recipients.others, refreshPeers: n.follower.readRouters,
		lease: n.lease, backends: n.backends, states: states, metrics: n.metrics,
		send: func(netip.AddrPort, datagram) {},
	})
	n.follower.states, n.follower.replica.canaries = states, n.canaries
}

// sharers configures how the slack of retries is divided. The lag is the time until a new
// router is counted everywhere: the next count, and the greatest age of pulled state.
func (c *Config) sharers() admission.SharersConfig {
	return admission.SharersConfig{
		Window: c.Forward.Retries.Window, Lag: c.Follow.RouterListInterval + c.Follow.Chain.StaleAfter,
	}
}

func (n *Node) newFollower() *follower {
	follow := n.config.Follow
	epochs := optionalEpochs{port: n.ports.Epochs}
	replica := newReplica(n.config.Node, n.holder, n.backends, n.ports.Source.Decode, n.config.sharers())
	replica.epochs = epochs
	chain := newChainGuard(follow.Chain)
	zones := n.config.Regions.Zones()
	return &follower{
		epochs:       epochs,
		zones:        zones,
		flood:        flood.NewRouter(rand.Uint64()),
		source:       n.ports.Source,
		feed:         n.ports.Feed,
		replica:      replica,
		config:       follow,
		publications: &publicationStore{table: n.ports.Table, timeout: follow.ReadTimeout},
		kept:         &configurationKeeper{table: n.ports.Table, timeout: follow.ReadTimeout / 2},
		routerList: &routerList{
			table: n.ports.Table, timeout: follow.ReadTimeout / 2,
			node: n.config.Node, zone: n.config.Zone, addr: n.config.PeerAddr, incarnation: ident.NewUniqueID(), slowLink: n.config.SlowLink, epochs: epochs,
			zones: zones, down: chain.down,
		},
		recipients: &recipients{node: n.config.Node, zone: n.config.Zone, regions: n.config.Regions},
		client:     n.peers,
		chain:      chain,
		onLost:     func(name string) { n.metrics.dependencies.WithLabelValues(name).Inc() },
		onPulled:   func(result string) { n.metrics.pulls.WithLabelValues(result).Inc() },
		onWatched:  func(result string) { n.metrics.watches.WithLabelValues(result).Inc() },
		reads: unconfirmedReads{
			onRead: func(reason catalog.UnconfirmedReason) { n.metrics.unconfirmed.WithLabelValues(string(reason)).Inc() },
		},
		startedAt: clock.Now(),
	}
}

func (n *Node) newQuarantines() *quarantines {
	return &quarantines{engines: n.engines, backends: n.backends, Guard: guard.New(guard.Config{
		Table: n.ports.Table, Timeout: n.config.Follow.ReadTimeout, Backends: n.backends, MaintainsRows: n.follower.readsForOthers,
		Send: func(evidence []quarantine.Evidence) {
			if socket := n.notifier.Load(); socket != nil {
				socket.sendCrashEvidence(evidence)
			}
		},
		OnTrial:       func(result string) { n.metrics.trials.WithLabelValues(result).Inc() },
		OnCheck:       func(result string) { n.metrics.crashChecks.WithLabelValues(result).Inc() },
		OnPartCleared: n.metrics.partsCleared.Inc,
	})}
}

func (n *Node) newQuotas() *quotas {
	cfg := quota.Config{Self: n.config.PeerAddr, Bounds: n.config.Quota}
	cfg.Standalone = !n.config.PeerAddr.IsValid() || !n.config.Disabled.Enabled(mechanism.SharedQuotas)
	return newQuotas(cfg, &quotas{
		name: "tenants", send: func(quota.Envelope) {}, routers: n.follower.sharingRouters,
		limited: func() bool {
			snapshot := n.holder.View().Snapshot
			return snapshot != nil && snapshot.HasTenantLimits()
		},
		onResult: n.metrics.countTenantReservation,
	})
}

// backendLimits returns the limits of back ends, nil if they are disabled.
func (n *Node) backendLimits() forward.BackendLimits {
	if !n.config.Disabled.Enabled(mechanism.BackendLimits) {
		return nil
	}
	return n.limits
}

// Run runs the node until ctx ends, then stops it: the node turns unready, serves for
// ShutdownDelay, and finishes the open requests.
func (n *Node) Run(ctx context.Context) error {
	servers := n.servers()
	if err := servers.listen(); err != nil {
		return err
	}
	log.WithFields(log.Fields{"zone": n.config.Zone, "front": n.config.FrontAddress}).Info("started")
	socket, err := n.listenNotifications()
	if err != nil {
		servers.close()
		return err
	}
	if socket != nil {
		n.connect(socket)
	}
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	var loops sync.WaitGroup
	for _, loop := range append(n.loops(socket), servers.sweep) {
		loops.Go(func() { loop(work) })
	}
	group, failed := errgroup.WithContext(ctx)
	for _, server := range servers {
		group.Go(server.serve)
	}
	<-failed.Done()
	n.stop(servers)
	stopWork()
	loops.Wait()
	log.Info("stopped")
	return group.Wait()
}

// loops returns the functions that run as long as the node, each in a goroutine.
func (n *Node) loops(socket *notifier) []func(context.Context) {
	config := n.config.Rollout
	config.OnOrder = func(order *rollout.Order, result rollout.Result) {
		n.metrics.countOrder(result)
		logOrder(order, result)
	}
	config.OnSuspectVersion = func(suspect rollout.SuspectVersion) {
		n.metrics.suspectVersions.WithLabelValues(string(suspect.Model)).Inc()
		log.WithFields(log.Fields{"model": suspect.Model, "version": suspect.Version, "ended": suspect.Crashed}).Warn("version_doubted")
	}
	if socket != nil && n.config.Disabled.Enabled(mechanism.Notifications) {
		config.Notifier = socket
	}
	controller := rollout.NewController(config, n.lease, n.engines, n.holder, n.backends)
	follower := n.follower
	loops := []func(context.Context){
		follower.followConfiguration, follower.keepConfiguration, follower.confirmByChanges, follower.followBackends, follower.followPeers, follower.watchPublications, follower.markPublications, follower.maintainRow,
		func(ctx context.Context) { follower.countRouters(ctx, n.holdsLease) }, n.contend, n.lease.Run, controller.Run, n.quotas.run, n.limits.run,
		n.quarantines.Run, logSuspensions, follower.pauses.run,
	}
	if socket != nil {
		loops = append(loops, socket.listen)
	}
	if socket != nil && n.config.Disabled.Enabled(mechanism.SharedHealth) {
		watcher := &healthWatcher{
			node: n.config.Node, zone: n.config.Zone, checkers: follower.checkers, engines: n.engines,
			backends: n.backends, holder: n.holder, notify: socket.notifyHealth,
		}
		loops = append(loops, watcher.run)
	}
	if n.streams != nil {
		loops = append(loops, n.streams.run, n.streams.keepRows)
	}
	if n.canaries != nil {
		loops = append(loops, n.canaries.run)
	}
	if n.detours != nil {
		loops = append(loops, n.detours.run)
	}
	if n.ports.Caches != nil && n.config.Disabled.Enabled(mechanism.CacheIndex) {
		caches := &cacheFollower{reads: follower.chain.leadsRegion, reader: n.ports.Caches, index: follower.replica.caches, holder: n.holder}
		loops = append(loops, caches.run)
	}
	if n.config.Regions.HasMultiple() {
		loops = append(loops, n.logLostRegions)
	}
	return append(loops, n.ports.Loops...)
}

// contendInterval is the time between two decisions to contend for the lease.
const contendInterval = 200 * time.Millisecond

// contend lets this router contend for the lease while it is the first of its region (of its
// zone if there is one region), or reads the store in place of a partitioned one: each
// contender costs calls, and a few are enough. A holder keeps contending, so that the lease
// does not change hands needlessly, unless it has reached no back end for a time: orders are sent directly, as
// engines tell holders apart by where orders come from.
func (n *Node) contend(ctx context.Context) {
	wait.Every(ctx, contendInterval, func() {
		n.lease.Contend(!n.stopping.Load() && n.detours.mayOrder() && (n.holdsLease() || n.follower.contends()))
	})
}

func (n *Node) holdsLease() bool {
	_, err := n.lease.Held()
	return err == nil
}

// listenNotifications opens the socket for notifications; it returns nil without a PeerAddr.
func (n *Node) listenNotifications() (*notifier, error) {
	if !n.config.PeerAddr.IsValid() {
		return nil, nil
	}
	socket, err := listenNotifications(n.config.PeerAddr, n.backends, n.follower.recipients)
	if err != nil {
		return nil, err
	}
	socket.flood, socket.floods = n.follower.flood, n.follower.chain.large
	return socket, nil
}

func logOrder(order *rollout.Order, result rollout.Result) {
	log.WithFields(log.Fields{
		"instance": order.Target.Instance, "model": order.Model, "version": order.Version, "fence": order.Fence,
		"sequence": order.Sequence, "result": result.String(),
	}).Info("order")
}

// Ready reports whether the node can serve: it has a configuration that is fresh enough and an
// instance list, has room for clients, and is not stopping.
func (n *Node) Ready() bool {
	view := n.holder.View()
	return !n.stopping.Load() && !n.clients.Full() && view.Snapshot != nil && !n.backends.ListedAt().IsZero() &&
		view.Age(clock.Sync()) <= n.config.Forward.Freshness.Keyed
}

func (n *Node) serveReady(writer http.ResponseWriter, request *http.Request) {
	switch {
	case request.URL.Path != n.config.ReadyPath:
		writer.WriteHeader(http.StatusNotFound)
	case n.Ready():
		writer.WriteHeader(http.StatusOK)
	default:
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

const (
	// closeMargin is the time between the end of requests and the end of the grace period.
	closeMargin = 500 * time.Millisecond
	// removeRowMargin is the part of closeMargin in which the row may be removed; in the rest
	// the process exits.
	removeRowMargin = 350 * time.Millisecond
)

func (n *Node) stop(servers servers) {
	killAt := time.Now().Add(n.config.GracePeriod - closeMargin)
	n.stopping.Store(true)
	n.lease.Contend(false)
	n.follower.advertiseShutdown()
	n.streams.handOver()
	log.WithFields(log.Fields{"in_flight": n.backends.InFlight()}).Info("stopping")
	time.Sleep(n.config.ShutdownDelay)
	ctx, cancel := context.WithDeadline(context.Background(), killAt)
	defer cancel()
	if err := servers[0].Shutdown(ctx); err != nil {
		log.WithFields(log.Fields{"in_flight": n.backends.InFlight(), "cause": err.Error()}).Warn("stop_cut_requests")
	}
	if n.detours != nil {
		n.detours.server.Shutdown(ctx)
	}
	for _, server := range servers {
		_ = server.Close()
	}
	// The row is removed last: global bounds are divided among all routers that may still
	// send, and starting routers count them by their rows.
	removal, cancelRemoval := context.WithDeadline(context.Background(), killAt.Add(removeRowMargin))
	defer cancelRemoval()
	n.follower.routerList.leave(removal)
}
