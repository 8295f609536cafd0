package router

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/dispatch"
	"github.com/fieldpond/fieldpond/internal/endpoint"
	"github.com/fieldpond/fieldpond/internal/engine"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/membership"
	"github.com/fieldpond/fieldpond/internal/peer"
	"github.com/fieldpond/fieldpond/internal/quarantine"
	"github.com/fieldpond/fieldpond/internal/quarantine/guard"
	"github.com/fieldpond/fieldpond/internal/ring"
)

const (
	// quarantineSenders is the number of goroutines that tell other routers of crashes.
	quarantineSenders = 4
	// quarantineRing is the capacity of the ring of what is to be told.
	quarantineRing = 1024
	// quarantineTimeout bounds one call.
	quarantineTimeout = time.Second
	// quarantineInterval is the time between two questions to one other router for what is held,
	// for a router that started later or missed the news; the call is empty while nothing is.
	quarantineInterval = 2 * time.Second
	// methodQuarantine tells another router of crashes, and asks for what it holds.
	methodQuarantine = "quarantine.news"
)

// quarantineNews is what one router tells another one of requests under which engines crashed.
type quarantineNews struct {
	Told []quarantine.Evidence `cbor:"1,keyasint,omitempty"`
	// Digest names what the teller knows of requests that are held, as guard.Guard.Digest does.
	Digest uint64 `cbor:"2,keyasint,omitempty"`
}

// quarantineReply is what the teller lacks.
type quarantineReply struct {
	Told []quarantine.Evidence `cbor:"1,keyasint,omitempty"`
}

// quarantineCall is one call that is to be made.
type quarantineCall struct {
	address string
	told    []quarantine.Evidence
}

// quarantines implements dispatch.Quarantine.
type quarantines struct {
	*guard.Guard
	engines engine.Observer
	peers   *peer.Client
	self    ident.Node
	view    func() membership.View
	calls   *ring.Ring[quarantineCall]
	// turn counts the questions for what is held.
	turn int

	mu sync.Mutex
	// leaving are the lives that told that they leave, by engine.
	leaving map[ident.Engine]ident.Incarnation
}

var (
	_ dispatch.Quarantine = (*quarantines)(nil)
	_ guard.Backends      = (*quarantines)(nil)
)

// newQuarantines returns the quarantines of a router. It sets what of the config concerns other
// routers and back ends itself.
func newQuarantines(config guard.Config, engines engine.Observer, peers *peer.Client, self ident.Node, view func() membership.View) *quarantines {
	q := &quarantines{
		engines: engines, peers: peers, self: self, view: view,
		calls:   ring.New[quarantineCall]("quarantine-calls", quarantineRing, ring.DropOldest),
		leaving: make(map[ident.Engine]ident.Incarnation),
	}
	config.Backends, config.Send = q, q.send
	config.MaintainsRows = func() bool {
		owners := view().Owners("quarantine", 1)
		return len(owners) > 0 && owners[0].Node == self
	}
	q.Guard = guard.New(config)
	return q
}

// quarantineCounts are the requests that are held, and all that are known.
type quarantineCounts struct{ held, suspects int }

func (q *quarantines) counts() quarantineCounts {
	held, suspects := q.Counts()
	return quarantineCounts{held, suspects}
}

// lifeOf names a life of an engine: incarnations are unique within an engine.
func lifeOf(name ident.Engine, incarnation ident.Incarnation) ident.Incarnation {
	return ident.Incarnation(name) + "/" + incarnation
}

// ObserveBroken implements dispatch.Quarantine.
func (q *quarantines) ObserveBroken(now time.Time, request *quarantine.Subject, at dispatch.Placement) {
	q.Guard.ObserveBroken(now, request, q.place(&at))
}

// ObserveAbandoned implements dispatch.Quarantine.
func (q *quarantines) ObserveAbandoned(now time.Time, request *quarantine.Subject, at dispatch.Placement) {
	q.Guard.ObserveAbandoned(now, request, q.place(&at))
}

// ObserveUnreachable implements dispatch.Quarantine.
func (q *quarantines) ObserveUnreachable(now time.Time, at dispatch.Placement) {
	q.Guard.ObserveUnreachable(now, q.place(&at))
}

// place returns the life of an engine that a placement names. Engines bound their work, not their
// connections, so that a refused one means that no process listens, whatever is open there.
func (q *quarantines) place(at *dispatch.Placement) guard.Target {
	address, incarnation := at.Address, at.Incarnation
	return guard.Target{Incarnation: lifeOf(at.Engine, incarnation), Probe: func(ctx context.Context, _ time.Time) guard.ProbeResult {
		report, err := q.engines.Load(ctx, address)
		switch {
		case err == nil && report.Incarnation == incarnation:
			return guard.ProbeAlive
		case err == nil:
			return guard.ProbeEnded
		case errors.Is(err, syscall.ECONNREFUSED):
			return guard.ProbeRefused
		default:
			return guard.ProbeInconclusive
		}
	}}
}

// DrainingOrUnlisted implements guard.Backends.
func (q *quarantines) DrainingOrUnlisted(life ident.Incarnation) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, leaving := range q.leaving {
		if leaving == life {
			return true
		}
	}
	return false
}

// ObserveGone implements guard.Backends. Each call names the life that it is meant for, so that
// nothing reaches the next one under the name of this one.
func (q *quarantines) ObserveGone(time.Time, ident.Incarnation) {}

// engineChanged takes in which lives leave.
func (q *quarantines) engineChanged(change endpoint.Change) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch change.Kind {
	case endpoint.ChangeDraining:
		q.leaving[change.Engine] = lifeOf(change.Engine, change.Incarnation)
	case endpoint.ChangeRemoved:
		delete(q.leaving, change.Engine)
	}
}

// others returns the addresses of the other routers that are not believed dead.
func (q *quarantines) others() []string {
	var addresses []string
	for _, member := range q.view().Members {
		if member.Node != q.self && member.State != membership.Dead {
			addresses = append(addresses, member.HTTPAddress)
		}
	}
	return addresses
}

// send queues news for all other routers; it never blocks.
func (q *quarantines) send(told []quarantine.Evidence) {
	for _, address := range q.others() {
		q.calls.Push(quarantineCall{address, slices.Clone(told)})
	}
}

// runCalls makes queued calls until ctx ends.
func (q *quarantines) runCalls(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.calls.Ready():
		}
		for call, ok := q.calls.Pop(); ok; call, ok = q.calls.Pop() {
			q.call(ctx, call.address, quarantineNews{Told: call.told, Digest: q.Digest()})
		}
	}
}

// ask asks one other router in turn for what is held, until ctx ends.
func (q *quarantines) ask(ctx context.Context) {
	for ctx.Err() == nil {
		if others := q.others(); len(others) > 0 {
			q.turn++
			q.call(ctx, others[q.turn%len(others)], quarantineNews{Digest: q.Digest()})
		}
		sleep(ctx, quarantineInterval)
	}
}

// call makes one call and takes in the reply. One that fails is not repeated: news are told some
// times, and what is held is asked for again.
func (q *quarantines) call(ctx context.Context, address string, news quarantineNews) {
	bounded, cancel := context.WithTimeout(ctx, quarantineTimeout)
	defer cancel()
	var reply quarantineReply
	if err := q.peers.Call(bounded, address, methodQuarantine, news, &reply); err == nil {
		q.Merge(clock.Now(), reply.Told)
	}
}

// serve takes in news of another router, and returns what that one lacks.
func (q *quarantines) serve(_ context.Context, news quarantineNews) (quarantineReply, error) {
	now := clock.Now()
	lacks := q.Merge(now, news.Told)
	return quarantineReply{Told: append(lacks, q.EvidenceSince(now, news.Digest)...)}, nil
}
