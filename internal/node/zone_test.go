package node

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/admission"
	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/flood"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/region"
	"github.com/fieldpond/fieldpond/internal/store"
	"github.com/fieldpond/fieldpond/internal/upstream"
	"github.com/fieldpond/fieldpond/internal/wait"
)

// zone is a group of routers of one or more zones with one store, in virtual time. Pulls are
// direct calls, held for as long as a Server would.
type zone struct {
	store *fakeStore
	// publicationTable is the table for publications of routers that start.
	publicationTable store.Table
	// beforeStart, if set, is called with each router before it runs.
	beforeStart func(ctx context.Context, running *zoneRouter)

	// regions are the regions of the routers' zones.
	regions region.Map
	// zones are all zones, as the routers' settings tell them; it may be nil.
	zones []ident.Zone
	// routerTable is the table for the rows of routers that start, if it is set.
	routerTable store.Table
	// wholeListTime, if set, is how long the store takes to return a list, whose changes are
	// then read.
	wholeListTime time.Duration
	// slowLink is whether routers that start have a slow link.
	slowLink bool

	mu      sync.Mutex
	routers map[ident.Node]*zoneRouter
	// partitioned reports whether two zones do not reach each other; nil means that all do.
	partitioned func(a, b ident.Zone) bool
}

// zoneSharers fits the timing of a zone's routers: a count each 5s, and state of 1.4s at most.
var zoneSharers = admission.SharersConfig{Window: 10 * time.Second, Lag: 6400 * time.Millisecond}

type zoneRouter struct {
	zone     *zone
	node     ident.Node
	follower *follower
	stop     context.CancelFunc
	// reads counts the calls of this router to the store, watches those that wait for
	// changes.
	reads, watches int
	// wholeLists counts its reads of the whole list, served the pulls that it answered.
	wholeLists, served int
	// A cutOff router does not reach the store, a dead one answers no pull.
	cutOff, dead bool
}

// unknownEpochs are those of a store whose answers tell no epoch.
type unknownEpochs struct{}

func (unknownEpochs) Epoch() uint64         { return 0 }
func (unknownEpochs) First() (uint64, bool) { return 0, false }
func (unknownEpochs) ObserveFirst(uint64)   {}

func newZone() *zone {
	z := &zone{store: newFakeStore(), routers: map[ident.Node]*zoneRouter{}}
	z.publicationTable = z.store
	z.store.reading.Revision = 1
	z.store.records = []backend.Record{{Instance: "a", Service: "s", Revision: 1}}
	return z
}

// start starts a router; its zone is "z" and what follows the dash in its name, if there is
// one.
func (z *zone) start(ctx context.Context, node ident.Node) *zoneRouter {
	_, suffix, _ := strings.Cut(string(node), "-")
	running := &zoneRouter{zone: z, node: node}
	ctx, running.stop = context.WithCancel(ctx)
	chain := newChainGuard(upstream.Config{Stagger: 700 * time.Millisecond, StaleAfter: 1400 * time.Millisecond, Regions: z.regions})
	running.follower = &follower{
		source:       running,
		flood:        flood.NewRouter(xxhash.Sum64String(string(node))),
		zones:        z.zones,
		replica:      newReplica(node, &catalog.Holder{}, backend.NewRegistry(backend.Config{}), z.store.Decode, zoneSharers),
		publications: &publicationStore{table: z.publicationTable, timeout: time.Second},
		routerList: &routerList{
			table: z.store, timeout: time.Second, node: node, zone: ident.Zone("z" + suffix),
			addr: netip.MustParseAddrPort("10.0.0.1:1"), incarnation: fmt.Sprint(time.Now()),
			zones: z.zones, down: chain.down, slowLink: z.slowLink,
		},
		recipients: &recipients{node: node},
		client:     running,
		chain:      chain,
		onLost:     func(string) {},
		onPulled:   func(string) {}, onWatched: func(string) {},
		startedAt: time.Now(),
		config: FollowConfig{
			ConfigurationInterval: 700 * time.Millisecond, BackendInterval: 500 * time.Millisecond,
			ReadTimeout: time.Second, RetryPause: 100 * time.Millisecond, RouterListInterval: 5 * time.Second,
		},
	}
	if z.routerTable != nil {
		running.follower.routerList.table = z.routerTable
		running.follower.routerList.epochs = optionalEpochs{unknownEpochs{}}
		go running.follower.maintainRow(ctx)
	}
	if z.wholeListTime > 0 {
		running.follower.feed = running
	}
	z.mu.Lock()
	z.routers[node] = running
	z.mu.Unlock()
	if z.beforeStart != nil {
		z.beforeStart(ctx, running)
	}
	go running.follower.followConfiguration(ctx)
	go running.follower.followBackends(ctx)
	go running.follower.followPeers(ctx)
	go running.follower.watchPublications(ctx)
	go running.follower.markPublications(ctx)
	go running.follower.countRouters(ctx, func() bool { return false })
	return running
}

func (z *zone) changeRouter(node ident.Node, change func(*zoneRouter)) {
	z.mu.Lock()
	defer z.mu.Unlock()
	change(z.routers[node])
}

// kill ends a router without a shutdown.
func (z *zone) kill(node ident.Node) {
	z.changeRouter(node, func(r *zoneRouter) {
		r.dead = true
		r.stop()
	})
}

// reads returns and resets the counts of calls to the store.
func (z *zone) reads() (total int, by map[ident.Node]int) {
	z.mu.Lock()
	defer z.mu.Unlock()
	by = map[ident.Node]int{}
	for node, running := range z.routers {
		total += running.reads
		by[node] = running.reads
		running.reads = 0
	}
	return total, by
}

// watches returns and resets the count of calls that waited for changes of the store.
func (z *zone) watches() int {
	z.mu.Lock()
	defer z.mu.Unlock()
	total := 0
	for _, running := range z.routers {
		total += running.watches
		running.watches = 0
	}
	return total
}

func (r *zoneRouter) countRead() error { return r.countCall(&r.reads) }

// countCall counts a call to the store.
func (r *zoneRouter) countCall(count *int) error {
	r.zone.mu.Lock()
	defer r.zone.mu.Unlock()
	*count++
	if r.cutOff {
		return errors.New("store unreachable")
	}
	return nil
}

// Configuration implements Source.
func (r *zoneRouter) Configuration(ctx context.Context) (Reading, error) {
	if err := r.countRead(); err != nil {
		return Reading{}, err
	}
	return r.zone.store.Configuration(ctx)
}

// Decode implements Source.
func (r *zoneRouter) Decode(body []byte) (*catalog.Snapshot, error) { return r.zone.store.Decode(body) }

// Changes implements Source.
func (r *zoneRouter) Changes(ctx context.Context, after uint64, hold time.Duration) (Changes, error) {
	if err := r.countCall(&r.watches); err != nil {
		return Changes{}, err
	}
	return r.zone.store.Changes(ctx, after, hold)
}

// Backends implements Source.
func (r *zoneRouter) Backends(ctx context.Context) ([]backend.Record, error) {
	if err := r.countRead(); err != nil {
		return nil, err
	}
	return r.zone.store.Backends(ctx)
}

// BackendRows implements BackendFeed.
func (r *zoneRouter) BackendRows(ctx context.Context, _ time.Duration, onMore func() error) (BackendRows, error) {
	if err := onMore(); err != nil {
		return BackendRows{}, err
	}
	if err := r.countCall(&r.wholeLists); err != nil {
		return BackendRows{}, err
	}
	wait.For(ctx, r.zone.wholeListTime)
	records, err := r.zone.store.Backends(ctx)
	rows := BackendRows{Revision: 1}
	for _, record := range records {
		rows.Rows = append(rows.Rows, BackendRow{Key: r.KeyOf(record.Instance), Listed: true, Record: record})
	}
	return rows, err
}

// BackendChanges implements BackendFeed.
func (r *zoneRouter) BackendChanges(ctx context.Context, after uint64) (BackendRows, error) {
	if err := r.countRead(); err != nil {
		return BackendRows{}, err
	}
	records, err := r.zone.store.Backends(ctx)
	rows := BackendRows{Revision: after + 1}
	for _, record := range records {
		rows.Rows = append(rows.Rows, BackendRow{Key: r.KeyOf(record.Instance), Listed: true, Record: record})
	}
	return rows, err
}

// KeyOf implements BackendFeed.
func (r *zoneRouter) KeyOf(instance ident.Incarnation) string { return string(instance) }

// Pull implements puller.
func (r *zoneRouter) Pull(ctx context.Context, peer upstream.Peer, pull *upstream.Pull) (*upstream.Update, time.Time, error) {
	r.zone.mu.Lock()
	asked := r.zone.routers[peer.Node]
	dead := asked == nil || asked.dead
	apart := r.zone.partitioned != nil && r.zone.partitioned(pull.From.Zone, peer.Zone)
	r.zone.mu.Unlock()
	if apart {
		wait.For(ctx, 250*time.Millisecond)
		return nil, time.Time{}, errors.New("timed out")
	}
	if dead {
		wait.For(ctx, 10*time.Millisecond)
		return nil, time.Time{}, errors.New("refused")
	}
	askedAt := time.Now()
	_ = asked.countCall(&asked.served)
	asked.follower.observePull(pull.From)
	if !upstream.AwaitConfirmation(ctx, asked.follower.replica, pull) {
		return nil, time.Time{}, ctx.Err()
	}
	now := time.Now()
	update := asked.follower.replica.Update(now, pull)
	update.HeldFor = now.Sub(askedAt)
	return update, askedAt.Add(update.HeldFor), update.Unpack()
}

var _ store.Table = (*fakeStore)(nil)

// version returns the version of the configuration in force at a router, 0 for none.
func (r *zoneRouter) version() uint64 {
	snapshot := r.follower.replica.holder.View().Snapshot
	if snapshot == nil {
		return 0
	}
	return snapshot.Version
}

// startZone starts routers one after the other and waits until their roles are stable.
func startZone(t *testing.T, nodes ...ident.Node) *zone {
	t.Helper()
	z := newZone()
	for _, node := range nodes {
		z.start(t.Context(), node)
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	z.reads()
	return z
}

func (z *zone) writeConfiguration(version uint64) {
	z.store.change(func() {
		z.store.reading.Revision, z.store.snapshot.Version = z.store.reading.Revision+1, version
	})
}

// requireVersion fails unless all live routers have a version of the configuration.
func (z *zone) requireVersion(t *testing.T, version uint64) {
	t.Helper()
	z.mu.Lock()
	defer z.mu.Unlock()
	for node, running := range z.routers {
		if !running.dead && running.version() != version {
			t.Errorf("%s has version %d, not %d", node, running.version(), version)
		}
	}
}
