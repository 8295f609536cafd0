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
func (m *Manager) Run(ctx context.Context) {
	timer := time.NewTimer(minWait)
	defer timer.Stop()
	defer close(m.stopped)
	defer m.sending.Wait()
	ended := ctx.Done()
	var drained <-chan time.Time
	for !m.idle() {
		select {
		case <-ended:
			ended = nil
			drained = time.After(drainTimeouts * m.config.Timeout)
			m.stop()
		case <-drained:
			return
		case <-timer.C:
		case <-m.changed:
		}
		wake, scheduled := m.advance(ctx)
		if scheduled {
			timer.Reset(max(minWait, wake))
		} else {
			timer.Stop()
		}
	}
}

// Claim implements Claimer.
func (m *Manager) Claim(ctx context.Context, key Key, digest Digest) (Grant, error) {
	claimID := ident.NewUniqueID()
	now := time.Now()
	deadline := now.Add(m.config.Timeout)
	if limit, limited := ctx.Deadline(); limited && limit.Before(deadline) {
		deadline = limit
	}
	answered := make(chan Answer, 1)
	m.mutex.Lock()
	if m.stopping {
		m.mutex.Unlock()
		return Grant{}, fault.New(fault.ShuttingDown, "this router is stopping")
	}
	m.claimWaiters[claimID] = answered
	m.core.Submit(now, claimID, key, digest, deadline)
	m.deliver()
	m.mutex.Unlock()
	m.signal()
	select {
	case answer := <-answered:
		return answer.Grant, answer.asError()
	case <-ctx.Done():
	case <-m.stopped:
	}
	return m.abandon(claimID)
}

// abandon ends a claim whose caller has gone. No later answer of the core is delivered, so the
// claim is released and did not run.
func (m *Manager) abandon(claimID string) (Grant, error) {
	m.mutex.Lock()
	delete(m.claimWaiters, claimID)
	m.core.Abandon(time.Now(), claimID)
	m.mutex.Unlock()
	m.signal()
	problem := fault.New(fault.StoreUnavailable, "the caller's deadline passed before the table answered the claim")
	return Grant{}, problem.WithRetryAfter(m.config.Timeout)
}

// Finish implements Claimer. If ctx ends first, the outcome is still recorded in the background
// and the error is that the store did not answer in time.
func (m *Manager) Finish(ctx context.Context, _ Key, claimID string, outcome Outcome) error {
	answered := make(chan Answer, 1)
	m.mutex.Lock()
	if _, waiting := m.recordWaiters[claimID]; waiting {
		m.mutex.Unlock()
		return fault.New(fault.Conflict, "claim %s is being finished already", claimID).WithRan(outcome.Ran)
	}
	m.recordWaiters[claimID] = answered
	m.core.Settle(time.Now(), claimID, outcome)
	m.deliver()
	m.mutex.Unlock()
	m.signal()
	select {
	case answer := <-answered:
		return answer.asError()
	case <-ctx.Done():
	case <-m.stopped:
	}
	m.mutex.Lock()
	delete(m.recordWaiters, claimID)
	m.mutex.Unlock()
	return fault.New(fault.StoreUnavailable, "the outcome is not recorded yet").WithRan(outcome.Ran)
}

// stop refuses further claims.
func (m *Manager) stop() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.stopping = true
}

// idle reports whether the manager is shutting down and all operations are done.
func (m *Manager) idle() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	counters := m.core.Counters()
	return m.stopping && counters.Waiting+counters.Background == 0
}

// Counters returns the core's counters.
func (m *Manager) Counters() Counters {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.core.Counters()
}

// Holds reports whether this process holds the claim: its request may be running here, or its
// outcome is not settled by the caller yet.
func (m *Manager) Holds(claimID string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	_, held := m.core.held[claimID]
	return held
}

func (m *Manager) advance(ctx context.Context) (time.Duration, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	for _, batch := range m.core.Advance(now) {
		m.sending.Add(1)
		go m.send(ctx, batch)
	}
	m.deliver()
	wake, scheduled := m.core.NextWake(now)
	return wake.Sub(now), scheduled
}

// send runs one transaction; there are at most Config.MaxInFlight of them.
func (m *Manager) send(ctx context.Context, batch Batch) {
	defer m.sending.Done()
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), m.config.CommitTimeout)
	defer cancel()
	result, err := m.table.Commit(bounded, batch.Transaction)
	m.mutex.Lock()
	m.core.Completed(time.Now(), batch.ID, result, err)
	m.deliver()
	m.mutex.Unlock()
	m.signal()
}

// deliver sends the core's answers to the callers; the mutex is held.
func (m *Manager) deliver() {
	for _, answer := range m.core.Answers() {
		waiters := m.claimWaiters
		if answer.Recorded {
			waiters = m.recordWaiters
		}
		if waiter, waiting := waiters[answer.ClaimID]; waiting {
			waiter <- answer
			delete(waiters, answer.ClaimID)
		}
	}
}

func (m *Manager) signal() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

func (a Answer) asError() error {
	if a.Fault == nil {
		return nil
	}
	return a.Fault
}
