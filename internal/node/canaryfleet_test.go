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
	// answerTime is the time in which a healthy back end answers.
	answerTime = 40 * time.Millisecond
	// requestInterval is the time between two requests at one router.
	requestInterval = 20 * time.Millisecond
)

var canaryBounds = canary.Bounds{Share: 0.1, Slack: 50, Rollback: 5 * time.Second}

// canaryFleet is a group of routers that move a service to another release, in virtual
// time. Datagrams take a millisecond.
type canaryFleet struct {
	*zone
	t *testing.T

	mu            sync.Mutex
	canaryRouters map[ident.Node]*canaryRouter
	starts        int
	holders       map[ident.Node]uint64
	// partitionedNodes are the routers that neither send nor receive datagrams.
	partitionedNodes map[ident.Node]bool
	// writeFaults are the faults of the next writes of states, in order.
	writeFaults           []writeFault
	statesUnreadableUntil time.Time
	// failing is the share of the target's answers that are failures, slow the factor of its
	// answer time.
	failing, slow float64
	// pause is the time between two requests at one router.
	pause time.Duration

	orderedAt time.Time
	reported  []reportedState
	arrivals  []arrival
	badAt     []time.Time
	open      map[ident.Release]map[ident.Node]int
	unserved  int
}

// writeFault is a fault of a write of a state.
type writeFault uint8

const (
	// answerLost is a write that is applied, but not answered.
	answerLost writeFault = iota + 1
	// callLost is one that is neither applied nor answered.
	callLost
	// writtenLater is one that is not answered, and applied two seconds later if its condition
	// still holds.
	writtenLater
)

// reportedState is a state that was reported to the operator.
type reportedState struct {
	at    time.Time
	state canary.State
}

// arrival is a request that reached a back end.
type arrival struct {
	at      time.Time
	node    ident.Node
	release ident.Release
}

// canaryRouter is one incarnation of a router of the fleet.
type canaryRouter struct {
	fleet    *canaryFleet
	node     ident.Node
	addr     netip.AddrPort
	canaries *canaries
	backends *backend.Registry
	random   *rand.Rand
}

// newCanaryFleet starts routers r0, r1, ..., of which r0 holds the lease, with four back ends
// of the old release.
func newCanaryFleet(t *testing.T, routers int) *canaryFleet {
	t.Helper()
	f := &canaryFleet{
		zone: newZone(), t: t, canaryRouters: map[ident.Node]*canaryRouter{}, holders: map[ident.Node]uint64{"r0": 1}, pause: requestInterval,
		partitionedNodes: map[ident.Node]bool{}, slow: 1,
		open: map[ident.Release]map[ident.Node]int{oldRelease: {}, newRelease: {}, "v3": {}},
	}
	f.beforeStart = f.setUpRouter
	f.list(oldRelease)
	for index := range routers {
		f.start(t.Context(), ident.Node(fmt.Sprint("r", index)))
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	return f
}

// list lists four back ends of each release, and no others.
func (f *canaryFleet) list(releases ...ident.Release) {
	f.store.change(func() { f.store.records = recordsOf(releases...) })
}

// unlist removes the back ends of a release from the list.
func (f *canaryFleet) unlist(release ident.Release) {
	f.store.change(func() {
		f.store.records = slices.DeleteFunc(slices.Clone(f.store.records), func(record backend.Record) bool {
			return record.Release == release
		})
	})
}

// recordsOf returns four back ends of each release.
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

// fullPull requests the whole shared state of a router.
func fullPull() *upstream.Pull { return &upstream.Pull{} }

// countEvents returns a function that returns how often an event was logged since the call.
func countEvents(t *testing.T) func(event string) int {
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

// setUpRouter sets up the canaries and the clients of a router that starts.
func (f *canaryFleet) setUpRouter(ctx context.Context, running *zoneRouter) {
	follower := running.follower
	f.mu.Lock()
	f.starts++
	number := f.starts
	f.mu.Unlock()
	router := &canaryRouter{
		fleet: f, node: running.node, addr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(number)),
		backends: follower.replica.backends, random: rand.New(rand.NewPCG(uint64(number), 5)),
	}
	follower.routerList.addr = router.addr
	states := &rolloutStates{table: unreadableStates{f.store, f}, writer: f, timeout: time.Second}
	router.canaries = newCanaries(canaryBounds, &canaries{
		self: router.addr, peers: follower.recipients.others, refreshPeers: follower.readRouters, lease: router,
		backends: router.backends, states: states, metrics: newMetrics(func() gaugeValues { return gaugeValues{} }),
		send: router.send,
	})
	follower.states, follower.replica.canaries = states, router.canaries
	f.mu.Lock()
	f.canaryRouters[running.node] = router
	f.mu.Unlock()
	go router.canaries.run(ctx)
	go router.clients(ctx)
}

// Held implements leaseHolder.
func (r *canaryRouter) Held() (lease.Grant, error) {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	fence := r.fleet.holders[r.node]
	if fence == 0 {
		return lease.Grant{}, lease.ErrNotHeld
	}
	return lease.Grant{Fence: fence}, nil
}

// setHolder gives the lease to a router.
func (f *canaryFleet) setHolder(node ident.Node, fence uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holders = map[ident.Node]uint64{node: fence}
}

// send delivers an encoded datagram as a socket would.
func (r *canaryRouter) send(to netip.AddrPort, sent datagram) {
	encoded, err := cbor.Marshal(sent)
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

// receiver returns the router at an address, or nil if it is unreachable.
func (f *canaryFleet) receiver(from ident.Node, to netip.AddrPort) *canaryRouter {
	f.zone.mu.Lock()
	defer f.zone.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	for node, router := range f.canaryRouters {
		if router.addr == to && !f.partitionedNodes[node] && !f.partitionedNodes[from] && !f.routers[node].dead && !f.routers[from].dead {
			return router
		}
	}
	return nil
}

// clients sends requests until ctx ends.
func (r *canaryRouter) clients(ctx context.Context) {
	for ctx.Err() == nil {
		r.request(ctx)
		r.fleet.mu.Lock()
		pause := r.fleet.pause
		r.fleet.mu.Unlock()
		wait.For(ctx, pause/2+time.Duration(r.random.Int64N(int64(pause))))
	}
}

// request sends one request as a forwarder would.
func (r *canaryRouter) request(ctx context.Context) {
	now := time.Now()
	query := backend.Query{Service: "s", SpreadKey: r.random.Uint64(), Expected: answerTime}
	chooseRequest := canary.ChooseRequest{Service: "s", Route: "route", First: true}
	query.Releases = r.canaries.Choose(now, chooseRequest)
	choice, attempt, found := r.backends.Pick(now, &query)
	if !found && query.Releases.Only != "" {
		r.canaries.Declined("s")
		chooseRequest.First = false
		query.Releases = r.canaries.Choose(now, chooseRequest)
		choice, attempt, found = r.backends.Pick(now, &query)
	}
	if !found {
		r.fleet.countUnserved()
		return
	}
	if !r.canaries.StillAllowed("s", &query.Releases, choice.Release) {
		attempt.End(now, backend.Abandoned)
		if query.Releases.Only != "" {
			r.canaries.Declined("s")
		}
		r.request(ctx)
		return
	}
	run := r.canaries.Sent(now, "s", choice.Record)
	sample := canary.Sample{Route: "route", Outcome: canary.Answered, Elapsed: answerTime, Predicted: choice.PredictedUncached}
	bad := r.fleet.arrive(r.node, choice.Release, r.random.Float64())
	if choice.Release == newRelease {
		sample.Elapsed = time.Duration(r.fleet.slow * float64(answerTime))
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
		attempt.ObserveBytes(time.Now())
		attempt.End(time.Now(), outcome)
		r.canaries.Ended(time.Now(), run, sample)
	}()
}

func (f *canaryFleet) countUnserved() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unserved++
}

// arrive records a request at a back end, and returns whether its answer is a failure.
func (f *canaryFleet) arrive(node ident.Node, release ident.Release, chance float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrivals = append(f.arrivals, arrival{time.Now(), node, release})
	f.open[release][node]++
	return release == newRelease && chance < f.failing
}

func (f *canaryFleet) depart(node ident.Node, release ident.Release, bad bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open[release][node]--
	if bad || (release == newRelease && f.slow > 2) {
		f.badAt = append(f.badAt, time.Now())
	}
}

// CommitRollout implements RolloutStore.
func (f *canaryFleet) CommitRollout(
	ctx context.Context, transaction protocol.Transaction, written *canary.State,
) (protocol.TransactionResult, error) {
	f.mu.Lock()
	var injected writeFault
	if len(f.writeFaults) > 0 {
		injected, f.writeFaults = f.writeFaults[0], f.writeFaults[1:]
	}
	f.mu.Unlock()
	lost := fault.New(fault.StoreUnavailable, "no answer").WithRan(fault.RanUnknown)
	state := *written
	switch injected {
	case callLost:
		return protocol.TransactionResult{}, lost
	case writtenLater:
		time.AfterFunc(2*time.Second, func() { _, _ = f.commit(context.WithoutCancel(ctx), transaction, state) })
		return protocol.TransactionResult{}, lost
	}
	result, err := f.commit(ctx, transaction, state)
	if injected == answerLost {
		return protocol.TransactionResult{}, lost
	}
	return result, err
}

// commit writes a state, and updates the list as an operator does after a final one.
func (f *canaryFleet) commit(ctx context.Context, transaction protocol.Transaction, state canary.State) (protocol.TransactionResult, error) {
	result, err := f.store.Commit(ctx, transaction)
	if err != nil || !result.Committed {
		return result, err
	}
	f.mu.Lock()
	f.reported = append(f.reported, reportedState{time.Now(), state})
	left := 0
	for node, open := range f.open[oldRelease] {
		// A partitioned router learns of the switch later.
		if !f.partitionedNodes[node] {
			left += open
		}
	}
	f.mu.Unlock()
	switch state.Phase {
	case canary.Succeeded:
		if left > 0 {
			f.t.Errorf("%d requests on the old release were broken", left)
		}
		f.list(state.Order.Target)
	case canary.RolledBack:
		time.AfterFunc(3*time.Second, func() { f.unlist(state.Order.Target) })
	}
	return result, nil
}

// unreadableStates is the store's table, from which states cannot be read for a while.
type unreadableStates struct {
	*fakeStore
	fleet *canaryFleet
}

func (u unreadableStates) readError() error {
	u.fleet.mu.Lock()
	defer u.fleet.mu.Unlock()
	if time.Now().Before(u.fleet.statesUnreadableUntil) {
		return fault.New(fault.StoreUnavailable, "down")
	}
	return nil
}

// Read implements store.Table.
func (u unreadableStates) Read(ctx context.Context, key string) (protocol.Row, bool, error) {
	if err := u.readError(); err != nil {
		return protocol.Row{}, false, err
	}
	return u.fakeStore.Read(ctx, key)
}

// List implements store.Table.
func (u unreadableStates) List(ctx context.Context, prefix string, limit int) (protocol.RowList, error) {
	if err := u.readError(); err != nil {
		return protocol.RowList{}, err
	}
	return u.fakeStore.List(ctx, prefix, limit)
}

// order orders the move to the target within a time; its back ends are listed a second later.
func (f *canaryFleet) order(duration time.Duration) {
	f.mu.Lock()
	f.orderedAt = time.Now()
	f.mu.Unlock()
	f.store.change(func() {
		f.store.version++
		f.store.reading.Orders = []canary.Order{{Service: "s", Target: newRelease, Duration: duration, Revision: f.store.version}}
	})
	time.AfterFunc(time.Second, func() { f.list(oldRelease, newRelease) })
}
