package claim

import (
	"context"
	"sync"
	"time"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/store"
)

// drainTimeouts bounds the drain at shutdown, in claim timeouts.
const drainTimeouts = 2

// Manager runs a Core: it sends the transactions and wakes the callers. It implements Claimer.
// Unless Run is running, calls end only by their deadline.
type Manager struct {
	table  store.Table
	config Config
	mutex  sync.Mutex
	core   *Core
	// claimWaiters and recordWaiters are the callers by claim id.
	claimWaiters  map[string]chan Answer
	recordWaiters map[string]chan Answer
	changed       chan struct{}
	stopping      bool
	stopped       chan struct{}
	sending       sync.WaitGroup
}

var _ Claimer = (*Manager)(nil)

// NewManager returns a Manager of the given router over the table.
func NewManager(table store.Table, holder ident.Node, config Config) *Manager {
	config = config.withDefaults()
	return &Manager{
		table:         table,
		config:        config,
		core:          NewCore(holder, config),
		claimWaiters:  make(map[string]chan Answer),
		recordWaiters: make(map[string]chan Answer),
		changed:       make(chan struct{}, 1),
		stopped:       make(chan struct{}),
	}
}

// minWait is the shortest timer. At zero the timer could fire before it is awaited; see
// fleet.Syncer.
const minWait = time.Millisecond

// Run advances the core until ctx ends. It then refuses new claims, records the outcomes that
// wait, and returns when none is left or after drainTimeouts times Config.Timeout.
func (k *Manager) Run(ctx context.Context) {
	timer := time.NewTimer(minWait)
	defer timer.Stop()
	defer close(k.stopped)
	defer k.sending.Wait()
	ended := ctx.Done()
	var drained <-chan time.Time
	for !k.idle() {
		select {
		case <-ended:
			ended = nil
			drained = time.After(drainTimeouts * k.config.Timeout)
			k.stop()
		case <-drained:
			return
		case <-timer.C:
		case <-k.changed:
		}
		wake, scheduled := k.advance(ctx)
		if scheduled {
			timer.Reset(max(minWait, wake))
		} else {
			timer.Stop()
		}
	}
}

// Claim implements Claimer.
func (k *Manager) Claim(ctx context.Context, key Key, digest Digest) (Grant, error) {
	claimID := ident.NewUniqueID()
	now := time.Now()
	deadline := now.Add(k.config.Timeout)
	if limit, limited := ctx.Deadline(); limited && limit.Before(deadline) {
		deadline = limit
	}
	answered := make(chan Answer, 1)
	k.mutex.Lock()
	if k.stopping {
		k.mutex.Unlock()
		return Grant{}, fault.New(fault.ShuttingDown, "this router is stopping")
	}
	k.claimWaiters[claimID] = answered
	k.core.Submit(now, claimID, key, digest, deadline)
	k.deliver()
	k.mutex.Unlock()
	k.signal()
	select {
	case answer := <-answered:
		return answer.Grant, answer.asError()
	case <-ctx.Done():
	case <-k.stopped:
	}
	return k.abandon(claimID)
}

// abandon ends a claim whose caller has gone. No later answer of the core is delivered, so the
// claim is released and did not run.
func (k *Manager) abandon(claimID string) (Grant, error) {
	k.mutex.Lock()
	delete(k.claimWaiters, claimID)
	k.core.Abandon(time.Now(), claimID)
	k.mutex.Unlock()
	k.signal()
	problem := fault.New(fault.StoreUnavailable, "the caller's deadline passed before the table answered the claim")
	return Grant{}, problem.WithRetryAfter(k.config.Timeout)
}

// Finish implements Claimer. If ctx ends first, the outcome is still recorded in the background
// and the error is that the store did not answer in time.
func (k *Manager) Finish(ctx context.Context, _ Key, claimID string, outcome Outcome) error {
	answered := make(chan Answer, 1)
	k.mutex.Lock()
	if _, waiting := k.recordWaiters[claimID]; waiting {
		k.mutex.Unlock()
		return fault.New(fault.Conflict, "claim %s is being finished already", claimID).WithRan(outcome.Ran)
	}
	k.recordWaiters[claimID] = answered
	k.core.Settle(time.Now(), claimID, outcome)
	k.deliver()
	k.mutex.Unlock()
	k.signal()
	select {
	case answer := <-answered:
		return answer.asError()
	case <-ctx.Done():
	case <-k.stopped:
	}
	k.mutex.Lock()
	delete(k.recordWaiters, claimID)
	k.mutex.Unlock()
	return fault.New(fault.StoreUnavailable, "the outcome is not recorded yet").WithRan(outcome.Ran)
}

// stop refuses further claims.
func (k *Manager) stop() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.stopping = true
}

// idle reports whether the manager is shutting down and all operations are done.
func (k *Manager) idle() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	counters := k.core.Counters()
	return k.stopping && counters.Waiting+counters.Background == 0
}

// Counters returns the core's counters.
func (k *Manager) Counters() Counters {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.core.Counters()
}

// Holds reports whether this process holds the claim: its request may be running here, or its
// outcome is not settled by the caller yet.
func (k *Manager) Holds(claimID string) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	_, held := k.core.held[claimID]
	return held
}

func (k *Manager) advance(ctx context.Context) (time.Duration, bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := time.Now()
	for _, batch := range k.core.Advance(now) {
		k.sending.Add(1)
		go k.send(ctx, batch)
	}
	k.deliver()
	wake, scheduled := k.core.NextWake(now)
	return wake.Sub(now), scheduled
}

// send runs one transaction; there are at most Config.MaxInFlight of them.
func (k *Manager) send(ctx context.Context, batch Batch) {
	defer k.sending.Done()
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), k.config.CommitTimeout)
	defer cancel()
	result, err := k.table.Commit(bounded, batch.Transaction)
	k.mutex.Lock()
	k.core.Completed(time.Now(), batch.ID, result, err)
	k.deliver()
	k.mutex.Unlock()
	k.signal()
}

// deliver sends the core's answers to the callers; the mutex is held.
func (k *Manager) deliver() {
	for _, answer := range k.core.Answers() {
		waiters := k.claimWaiters
		if answer.Recorded {
			waiters = k.recordWaiters
		}
		if waiter, waiting := waiters[answer.ClaimID]; waiting {
			waiter <- answer
			delete(waiters, answer.ClaimID)
		}
	}
}

func (k *Manager) signal() {
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

func (a Answer) asError() error {
	if a.Fault == nil {
		return nil
	}
	return a.Fault
}
