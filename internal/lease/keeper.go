package lease

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/platform"
	"github.com/fieldpond/fieldpond/internal/platform/protocol"
)

// Keeper is the shell around a Machine: it makes the exchanges with the table.
// Its methods may be called by any goroutine; Run must be running.
type Keeper struct {
	table   platform.Table
	name    string
	timeout time.Duration
	release time.Duration
	changed chan struct{}

	mutex   sync.Mutex
	machine *Machine
	was     bool
}

// NewKeeper returns a keeper of the named lease for one life of a node.
func NewKeeper(table platform.Table, config Config, name string, node ident.Node) *Keeper {
	config = config.withDefaults()
	return &Keeper{
		table: table, name: name,
		timeout: config.ExchangeTimeout,
		release: config.Duration / renewals,
		changed: make(chan struct{}, 1),
		machine: NewMachine(config, name, node, ident.NewUnique()),
	}
}

// Contend says whether this node shall try to hold the lease. A holder that
// stops contending may not act any more and hands the lease over.
func (k *Keeper) Contend(wanted bool) {
	k.update(func(now time.Time) { k.machine.Contend(now, wanted) })
}

// StepDown ends the holding after a fence was met that is newer; see
// Machine.StepDown.
func (k *Keeper) StepDown(floor uint64) {
	k.update(func(now time.Time) { k.machine.StepDown(now, floor) })
}

// Held returns the grant, or ErrNotHeld. Ask it right before each action.
func (k *Keeper) Held() (Grant, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.machine.Held(time.Now())
}

// Act returns the grant for an action that begins now; see Machine.Act.
func (k *Keeper) Act() (Grant, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.machine.Act(time.Now())
}

// Holder returns the holder as last seen; see Machine.Holder.
func (k *Keeper) Holder() ident.Node {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.machine.Holder()
}

// Counters returns what was counted so far.
func (k *Keeper) Counters() Counters {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.machine.Counters()
}

func (k *Keeper) update(change func(now time.Time)) {
	k.mutex.Lock()
	change(time.Now())
	k.mutex.Unlock()
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

// Run is the duty that keeps the lease until ctx ends. It then hands the lease
// over, for which it takes at most a third of the lease's duration.
func (k *Keeper) Run(ctx context.Context) {
	timer := time.NewTimer(k.release)
	defer timer.Stop()
	for ctx.Err() == nil {
		wait, pending := k.step(ctx)
		switch {
		case !pending:
			timer.Stop()
		case wait <= 0:
			// No timer of zero: it would have run out before anybody waits
			// for it; see minWait of fleet.Keeper.
			continue
		default:
			timer.Reset(wait)
		}
		select {
		case <-ctx.Done():
		case <-k.changed:
		case <-timer.C:
		}
	}
	k.handOver(context.WithoutCancel(ctx))
}

// handOver releases the lease, if it is held, in a bounded time.
func (k *Keeper) handOver(ctx context.Context) {
	k.Contend(false)
	ctx, cancel := context.WithTimeout(ctx, k.release)
	defer cancel()
	for ctx.Err() == nil {
		wait, pending := k.step(ctx)
		if !pending {
			return
		}
		if wait <= 0 {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// step makes the exchange that is due, if any, and returns how long to wait.
func (k *Keeper) step(ctx context.Context) (time.Duration, bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	exchange, due := k.machine.Advance(time.Now())
	if due {
		k.mutex.Unlock()
		outcome := k.execute(ctx, exchange)
		k.mutex.Lock()
		k.machine.Done(time.Now(), outcome)
	}
	k.logChange()
	next, pending := k.machine.Next()
	return max(time.Until(next), 0), pending
}

// execute makes one exchange.
func (k *Keeper) execute(ctx context.Context, exchange Exchange) Outcome {
	ctx, cancel := context.WithTimeout(ctx, k.timeout)
	defer cancel()
	if exchange.Kind == Observe {
		row, _, err := k.table.Read(ctx, exchange.Key)
		return Outcome{Rows: []protocol.Row{row}, Fault: fault.From(err)}
	}
	result, err := k.table.Commit(ctx, exchange.Transaction)
	return Outcome{Committed: result.Committed, Rows: result.Rows, Fault: fault.From(err)}
}

// logChange writes a line when the lease was gained or given up.
func (k *Keeper) logChange() {
	grant, err := k.machine.Held(time.Now())
	holds := err == nil
	if holds == k.was {
		return
	}
	k.was = holds
	entry := log.WithFields(log.Fields{"lease": k.name, "fence": grant.Fence})
	if holds {
		entry.Info("lease is held")
		return
	}
	entry.Info("lease is not held any more")
}
