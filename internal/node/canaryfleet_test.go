package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/fxamacker/cbor/v2"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/canary"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/lease"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
	"github.com/fieldpond/fieldpond/internal/upstream"
	"github.com/fieldpond/fieldpond/internal/wait"
)

const (
	oldRelease = ident.Release("v1")
	newRelease = ident.Release("v2")
	// guardedWork is the time in which a sound back end answers.
	guardedWork = 40 * time.Millisecond
	// guardedPause is the time between two requests at one router.
	guardedPause = 20 * time.Millisecond
)

var guardedBounds = canary.Bounds{Share: 0.1, Slack: 50, Rollback: 5 * time.Second}

// guardedFleet is a zone of routers that move a service to another release, in virtual
// time. Datagrams take a millisecond.
type guardedFleet struct {
	*zone
	t *testing.T

	mu      sync.Mutex
	lives   map[ident.Node]*guardedRouter
	started int
	holders map[ident.Node]uint64
	// cut routers send and get no datagrams.
	cut map[ident.Node]bool
	// loses says how writes of states go wrong: each takes the first one.
	loses []writeFault
	// blind is the time until which states cannot be read.
	blind time.Time
	// failing is the part of the target's answers that are failures, slow how many times
	// as long it takes.
	failing, slow float64
	// pause is the time between two requests at one router.
	pause time.Duration

	orderedAt time.Time
	told      []toldState
	arrivals  []arrival
	badAt     []time.Time
	open      map[ident.Release]map[ident.Node]int
	refused   int
}

// writeFault is what goes wrong with a write of a state.
type writeFault uint8

const (
	// answerLost is a write that is done, and not answered.
	answerLost writeFault = iota + 1
	// callLost is one that is not done, and not answered.
	callLost
	// doneLater is one that is done two seconds later if its condition still holds.
	doneLater
)

// toldState is a state that the operator was told.
type toldState struct {
	at    time.Time
	state canary.State
}

// arrival is a request that reached a back end.
type arrival struct {
	at      time.Time
	node    ident.Node
	release ident.Release
}

// guardedRouter is one life of a router of the fleet.
type guardedRouter struct {
	fleet    *guardedFleet
	node     ident.Node
	addr     netip.AddrPort
	canaries *canaries
	backends *backend.Registry
	random   *rand.Rand
}

// newGuardedFleet starts routers r0, r1, ..., of which the first holds the lease, with four
// back ends of the old release.
func newGuardedFleet(t *testing.T, routers int) *guardedFleet {
	t.Helper()
	f := &guardedFleet{
		zone: newZone(), t: t, lives: map[ident.Node]*guardedRouter{}, holders: map[ident.Node]uint64{"r0": 1}, pause: guardedPause,
		cut: map[ident.Node]bool{}, slow: 1,
		open: map[ident.Release]map[ident.Node]int{oldRelease: {}, newRelease: {}, "v3": {}},
	}
	f.beforeStart = f.prepare
	f.list(oldRelease)
	for index := range routers {
		f.start(t.Context(), ident.Node(fmt.Sprint("r", index)))
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	return f
}

// list lists four back ends of each of some releases.
func (f *guardedFleet) list(releases ...ident.Release) {
	f.store.change(func() { f.store.records = recordsOf(releases...) })
}

// unlist drops the back ends of a release.
func (f *guardedFleet) unlist(release ident.Release) {
	f.store.change(func() {
		f.store.records = slices.DeleteFunc(slices.Clone(f.store.records), func(record backend.Record) bool {
			return record.Release == release
		})
	})
}

// recordsOf returns four back ends of each of some releases.
func recordsOf(releases ...ident.Release) []backend.Record {
	var records []backend.Record
	for _, release := range releases {
		for index := range 4 {
			records = append(records, backend.Record{
				Instance: ident.Incarnation(fmt.Sprint(release, "-", index)), Service: "s", Release: release, Slots: 8, Revision: 1,
			})
		}
	}
	return records
}

// pullOfNothing asks for all that a router knows.
func pullOfNothing() *upstream.Pull { return &upstream.Pull{} }

// recordEvents returns how often an event was logged since.
func recordEvents(t *testing.T) func(event string) int {
	t.Helper()
	kept := memory.New()
	log.SetHandler(kept)
	t.Cleanup(func() { log.SetHandler(log.HandlerFunc(func(*log.Entry) error { return nil })) })
	return func(event string) int {
		count := 0
		for _, entry := range kept.Entries {
			if entry.Message == event {
				count++
			}
		}
		return count
	}
}

// prepare sets up the canaries of a life of a router, and its clients.
func (f *guardedFleet) prepare(ctx context.Context, running *zoneRouter) {
	follower := running.follower
	f.mu.Lock()
	f.started++
	number := f.started
	f.mu.Unlock()
	life := &guardedRouter{
		fleet: f, node: running.node, addr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(number)),
		backends: follower.replica.backends, random: rand.New(rand.NewPCG(uint64(number), 5)),
	}
	follower.routerList.addr = life.addr
	states := &rolloutStates{table: blindTable{f.store, f}, writer: f, timeout: time.Second}
	life.canaries = newCanaries(guardedBounds, &canaries{
		self: life.addr, peers: follower.recipients.others, refresh: follower.readRouters, lease: life,
		backends: life.backends, states: states, metrics: newMetrics(func() reading { return reading{} }),
		send: life.send,
	})
	follower.states, follower.replica.canaries = states, life.canaries
	f.mu.Lock()
	f.lives[running.node] = life
	f.mu.Unlock()
	go life.canaries.run(ctx)
	go life.clients(ctx)
}

// Held implements holding.
func (r *guardedRouter) Held() (lease.Grant, error) {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	fence := r.fleet.holders[r.node]
	if fence == 0 {
		return lease.Grant{}, lease.ErrNotHeld
	}
	return lease.Grant{Fence: fence}, nil
}

// hold passes the lease on.
func (f *guardedFleet) hold(node ident.Node, fence uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holders = map[ident.Node]uint64{node: fence}
}

// send sends a datagram as it would pass through a socket.
func (r *guardedRouter) send(to netip.AddrPort, told datagram) {
	encoded, err := cbor.Marshal(told)
	if err != nil || len(encoded) > maxDatagramBytes {
		r.fleet.t.Errorf("a datagram of %d bytes: %v", len(encoded), err)
		return
	}
	time.AfterFunc(time.Millisecond, func() {
		if receiver := r.fleet.receiver(r.node, to); receiver != nil {
			arriving := &notifier{recipients: &recipients{}, backends: receiver.backends, canaries: receiver.canaries}
			arriving.receive(r.addr, encoded)
		}
	})
}

// receiver returns the router at an address, or nil if nothing passes to it.
func (f *guardedFleet) receiver(from ident.Node, to netip.AddrPort) *guardedRouter {
	f.zone.mu.Lock()
	defer f.zone.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	for node, life := range f.lives {
		if life.addr == to && !f.cut[node] && !f.cut[from] && !f.routers[node].dead && !f.routers[from].dead {
			return life
		}
	}
	return nil
}

// clients sends requests until ctx ends.
func (r *guardedRouter) clients(ctx context.Context) {
	for ctx.Err() == nil {
		r.request(ctx)
		r.fleet.mu.Lock()
		pause := r.fleet.pause
		r.fleet.mu.Unlock()
		wait.For(ctx, pause/2+time.Duration(r.random.Int64N(int64(pause))))
	}
}

// request sends one request as a forwarder does.
func (r *guardedRouter) request(ctx context.Context) {
	now := time.Now()
	query := backend.Query{Service: "s", SpreadKey: r.random.Uint64(), Expected: guardedWork}
	ask := canary.ChooseRequest{Service: "s", Route: "route", First: true}
	query.Releases = r.canaries.Choose(now, ask)
	choice, flight, found := r.backends.Pick(now, &query)
	if !found && query.Releases.Only != "" {
		r.canaries.Declined("s")
		ask.First = false
		query.Releases = r.canaries.Choose(now, ask)
		choice, flight, found = r.backends.Pick(now, &query)
	}
	if !found {
		r.fleet.refuse()
		return
	}
	if !r.canaries.StillAllowed("s", &query.Releases, choice.Release) {
		flight.End(now, backend.Abandoned)
		if query.Releases.Only != "" {
			r.canaries.Declined("s")
		}
		r.request(ctx)
		return
	}
	run := r.canaries.Sent(now, "s", choice.Record)
	sample := canary.Sample{Route: "route", Outcome: canary.Answered, Elapsed: guardedWork, Predicted: choice.PredictedUncached}
	bad := r.fleet.arrive(r.node, choice.Release, r.random.Float64())
	if choice.Release == newRelease {
		sample.Elapsed = time.Duration(r.fleet.slow * float64(guardedWork))
	}
	outcome := backend.Answered
	if bad {
		sample.Outcome, outcome = canary.Failed, backend.Failed
	}
	go func() {
		select {
		case <-ctx.Done():
		case <-time.After(sample.Elapsed):
		}
		r.fleet.depart(r.node, choice.Release, bad)
		flight.ObserveBytes(time.Now())
		flight.End(time.Now(), outcome)
		r.canaries.Ended(time.Now(), run, sample)
	}()
}

func (f *guardedFleet) refuse() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refused++
}

// arrive notes a request at a back end, and returns whether its answer is bad.
func (f *guardedFleet) arrive(node ident.Node, release ident.Release, chance float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrivals = append(f.arrivals, arrival{time.Now(), node, release})
	f.open[release][node]++
	return release == newRelease && chance < f.failing
}

func (f *guardedFleet) depart(node ident.Node, release ident.Release, bad bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open[release][node]--
	if bad || (release == newRelease && f.slow > 2) {
		f.badAt = append(f.badAt, time.Now())
	}
}

// CommitRollout implements RolloutStore.
func (f *guardedFleet) CommitRollout(
	ctx context.Context, transaction protocol.Transaction, told *canary.State,
) (protocol.TransactionResult, error) {
	f.mu.Lock()
	var wrong writeFault
	if len(f.loses) > 0 {
		wrong, f.loses = f.loses[0], f.loses[1:]
	}
	f.mu.Unlock()
	lost := fault.New(fault.StoreUnavailable, "no answer").WithRan(fault.RanUnknown)
	state := *told
	switch wrong {
	case callLost:
		return protocol.TransactionResult{}, lost
	case doneLater:
		time.AfterFunc(2*time.Second, func() { _, _ = f.commit(context.WithoutCancel(ctx), transaction, state) })
		return protocol.TransactionResult{}, lost
	}
	result, err := f.commit(ctx, transaction, state)
	if wrong == answerLost {
		return protocol.TransactionResult{}, lost
	}
	return result, err
}

// commit writes a state, and carries out what the operator does on a final one.
func (f *guardedFleet) commit(ctx context.Context, transaction protocol.Transaction, state canary.State) (protocol.TransactionResult, error) {
	result, err := f.store.Commit(ctx, transaction)
	if err != nil || !result.Committed {
		return result, err
	}
	f.mu.Lock()
	f.told = append(f.told, toldState{time.Now(), state})
	left := 0
	for node, open := range f.open[oldRelease] {
		// One that is cut off from the holder learns of the switch later than that.
		if !f.cut[node] {
			left += open
		}
	}
	f.mu.Unlock()
	switch state.Phase {
	case canary.Succeeded:
		if left > 0 {
			f.t.Errorf("%d runs on the old release were cut off", left)
		}
		f.list(state.Order.Target)
	case canary.RolledBack:
		time.AfterFunc(3*time.Second, func() { f.unlist(state.Order.Target) })
	}
	return result, nil
}

// blindTable is the store's table, of which states cannot be read for a while.
type blindTable struct {
	*fakeStore
	fleet *guardedFleet
}

func (b blindTable) blind() error {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	if time.Now().Before(b.fleet.blind) {
		return fault.New(fault.StoreUnavailable, "down")
	}
	return nil
}

// Read implements store.Table.
func (b blindTable) Read(ctx context.Context, key string) (protocol.Row, bool, error) {
	if err := b.blind(); err != nil {
		return protocol.Row{}, false, err
	}
	return b.fakeStore.Read(ctx, key)
}

// List implements store.Table.
func (b blindTable) List(ctx context.Context, prefix string, limit int) (protocol.RowList, error) {
	if err := b.blind(); err != nil {
		return protocol.RowList{}, err
	}
	return b.fakeStore.List(ctx, prefix, limit)
}

// order orders the target for a time; its back ends are listed a second later.
func (f *guardedFleet) order(duration time.Duration) {
	f.mu.Lock()
	f.orderedAt = time.Now()
	f.mu.Unlock()
	f.store.change(func() {
		f.store.version++
		f.store.reading.Orders = []canary.Order{{Service: "s", Target: newRelease, Duration: duration, Revision: f.store.version}}
	})
	time.AfterFunc(time.Second, func() { f.list(oldRelease, newRelease) })
}
