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
	// quarantineSenders is the number of goroutines that send crash evidence.
	quarantineSenders = 4
	// quarantineRing is the capacity of the ring of queued calls.
	quarantineRing = 1024
	// quarantineTimeout bounds one call.
	quarantineTimeout = time.Second
	// quarantinePollInterval is the time between polls, of one peer each, for evidence that this
	// router lacks because it started later or missed an update.
	quarantinePollInterval = 2 * time.Second
	// methodQuarantine sends crash evidence to another router and returns what the sender lacks.
	methodQuarantine = "quarantine.news"
)

// quarantineUpdate sends evidence of requests that crash engines to another router.
type quarantineUpdate struct {
	Evidence []quarantine.Evidence `cbor:"1,keyasint,omitempty"`
	// Digest is the sender's guard.Guard.Digest.
	Digest uint64 `cbor:"2,keyasint,omitempty"`
}

// quarantineReply returns the evidence that the sender lacks.
type quarantineReply struct {
	Evidence []quarantine.Evidence `cbor:"1,keyasint,omitempty"`
}

// quarantineCall is a queued call.
type quarantineCall struct {
	address  string
	evidence []quarantine.Evidence
}

// quarantines implements dispatch.Quarantine.
type quarantines struct {
	*guard.Guard
	engines engine.Observer
	peers   *peer.Client
	self    ident.Node
	view    func() membership.View
	calls   *ring.Ring[quarantineCall]
	// polls counts the polls of peers, to choose the next peer.
	polls int

	mu sync.Mutex
	// draining holds the incarnations that drain, by engine.
	draining map[ident.Engine]ident.Incarnation
}

var (
	_ dispatch.Quarantine = (*quarantines)(nil)
	_ guard.Backends      = (*quarantines)(nil)
)

// newQuarantines returns the quarantines of a router. It overwrites Backends, Send and
// MaintainsRows of the config.
func newQuarantines(config guard.Config, engines engine.Observer, peers *peer.Client, self ident.Node, view func() membership.View) *quarantines {
	q := &quarantines{
		engines: engines, peers: peers, self: self, view: view,
		calls:    ring.New[quarantineCall]("quarantine-calls", quarantineRing, ring.DropOldest),
		draining: make(map[ident.Engine]ident.Incarnation),
	}
	config.Backends, config.Send = q, q.send
	config.MaintainsRows = func() bool {
		owners := view().Owners("quarantine", 1)
		return len(owners) > 0 && owners[0].Node == self
	}
	q.Guard = guard.New(config)
	return q
}

// quarantineCounts counts the quarantined requests and all suspects, these included.
type quarantineCounts struct{ quarantined, suspects int }

func (q *quarantines) counts() quarantineCounts {
	counts := q.Counts()
	return quarantineCounts{counts.Requests, counts.SuspectRequests}
}

// incarnationKey returns a name that is unique among engines; an incarnation is unique only
// within its engine.
func incarnationKey(name ident.Engine, incarnation ident.Incarnation) ident.Incarnation {
	return ident.Incarnation(name) + "/" + incarnation
}

// ObserveBroken implements dispatch.Quarantine.
func (q *quarantines) ObserveBroken(now time.Time, request *quarantine.Subject, at dispatch.Placement) {
	q.Guard.ObserveBroken(now, request, q.target(&at))
}

// ObserveAbandoned implements dispatch.Quarantine.
func (q *quarantines) ObserveAbandoned(now time.Time, request *quarantine.Subject, at dispatch.Placement) {
	q.Guard.ObserveAbandoned(now, request, q.target(&at))
}

// ObserveUnreachable implements dispatch.Quarantine.
func (q *quarantines) ObserveUnreachable(now time.Time, at dispatch.Placement) {
	q.Guard.ObserveUnreachable(now, q.target(&at))
}

// target returns the incarnation of an engine that a placement names. Engines do not limit their
// connections, so a refused connection means that no process listens.
func (q *quarantines) target(at *dispatch.Placement) guard.Target {
	address, incarnation := at.Address, at.Incarnation
	return guard.Target{Incarnation: incarnationKey(at.Engine, incarnation), Probe: func(ctx context.Context, _ time.Time) guard.ProbeResult {
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
func (q *quarantines) DrainingOrUnlisted(incarnation ident.Incarnation) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, draining := range q.draining {
		if draining == incarnation {
			return true
		}
	}
	return false
}

// ObserveGone implements guard.Backends. It does nothing: each call names its incarnation, so that
// none reaches the next one.
func (q *quarantines) ObserveGone(time.Time, ident.Incarnation) {}

// engineChanged records which incarnations drain.
func (q *quarantines) engineChanged(change endpoint.Change) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch change.Kind {
	case endpoint.ChangeDraining:
		q.draining[change.Engine] = incarnationKey(change.Engine, change.Incarnation)
	case endpoint.ChangeRemoved:
		delete(q.draining, change.Engine)
	}
}

// peerAddresses returns the addresses of the other routers that are not considered dead.
func (q *quarantines) peerAddresses() []string {
	var addresses []string
	for _, member := range q.view().Members {
		if member.Node != q.self && member.State != membership.Dead {
			addresses = append(addresses, member.HTTPAddress)
		}
	}
	return addresses
}

// send queues evidence for all other routers; it never blocks.
func (q *quarantines) send(evidence []quarantine.Evidence) {
	for _, address := range q.peerAddresses() {
		q.calls.Push(quarantineCall{address, slices.Clone(evidence)})
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
			q.call(ctx, call.address, quarantineUpdate{Evidence: call.evidence, Digest: q.Digest()})
		}
	}
}

// pollPeers polls the other routers in turn for missing evidence until ctx ends.
func (q *quarantines) pollPeers(ctx context.Context) {
	for ctx.Err() == nil {
		if peers := q.peerAddresses(); len(peers) > 0 {
			q.polls++
			q.call(ctx, peers[q.polls%len(peers)], quarantineUpdate{Digest: q.Digest()})
		}
		sleep(ctx, quarantinePollInterval)
	}
}

// call makes one call and merges the reply. It does not retry: evidence is sent several times, and
// pollPeers fetches what is missing.
func (q *quarantines) call(ctx context.Context, address string, update quarantineUpdate) {
	bounded, cancel := context.WithTimeout(ctx, quarantineTimeout)
	defer cancel()
	var reply quarantineReply
	if err := q.peers.Call(bounded, address, methodQuarantine, update, &reply); err == nil {
		q.Merge(clock.Now(), reply.Evidence)
	}
}

// serve merges the evidence of another router, and returns what that one lacks.
func (q *quarantines) serve(_ context.Context, update quarantineUpdate) (quarantineReply, error) {
	now := clock.Now()
	missing := q.Merge(now, update.Evidence)
	return quarantineReply{Evidence: append(missing, q.EvidenceSince(now, update.Digest)...)}, nil
}
