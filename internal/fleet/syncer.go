package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/membership"
	"github.com/fieldpond/fieldpond/internal/ring"
	"github.com/fieldpond/fieldpond/internal/store"
)

const (
	// pollersPerZone is how many routers of a zone read the table often; the second
	// covers the time until a crash of the first is detected.
	pollersPerZone = 2
	// observedCapacity and resultCapacity bound the Syncer's rings. Observed heads
	// may be dropped, since later ones supersede them; results may not, and are
	// bounded by the open requests: one poll, one fetch and a few to peers.
	observedCapacity = 256
	resultCapacity   = 256
	// headTimeout and bodyTimeout bound one exchange with a peer or the table.
	headTimeout = 2 * time.Second
	bodyTimeout = 15 * time.Second
	// minWait is the shortest time between two iterations of Run. It prevents a busy
	// loop, and timers that have expired before anybody waits for them: with the
	// race detector, Go 1.26 crashes when several goroutines of one synctest bubble
	// wait for such timers at the same time.
	minWait = time.Millisecond
)

// PeerFetcher fetches the files in force on other routers.
type PeerFetcher interface {
	// FetchHead returns the file in force on the router at address, with version
	// zero when it has none.
	FetchHead(ctx context.Context, address string) (FileRef, error)
	// FetchBody returns the body with the given digest, which it need not verify.
	FetchBody(ctx context.Context, address string, digest Digest) ([]byte, error)
}

// SyncerOptions configures a Syncer. All fields are required.
type SyncerOptions struct {
	// Self and Zone are this router's.
	Self ident.Node
	Zone ident.Zone
	// Table is the platform's table service.
	Table store.Table
	// Peers fetches from other routers.
	Peers PeerFetcher
	// View returns the current membership.
	View func() membership.View
}

// Syncer keeps the newest accepted fleet file in force on this router. It does the
// I/O of an Adopter.
type Syncer struct {
	options  SyncerOptions
	inForce  atomic.Pointer[inForce]
	counters atomic.Pointer[AdopterCounters]
	observed *ring.Ring[observedHead]
	results  *ring.Ring[requestResult]
	requests sync.WaitGroup

	mutex     sync.Mutex
	preparers []func(*Compiled)
	listeners []func(*Compiled)
}

// inForce is a compiled file with its bytes, which peers may fetch.
type inForce struct {
	compiled *Compiled
	body     []byte
}

type observedHead struct {
	ref     FileRef
	address string
}

type requestResult struct {
	action AdoptAction
	ref    FileRef
	found  bool
	body   []byte
	err    error
}

// NewSyncer returns a Syncer without a file; Run starts it.
func NewSyncer(options SyncerOptions) *Syncer {
	syncer := &Syncer{
		options:  options,
		observed: ring.New[observedHead]("fleet-heard", observedCapacity, ring.DropOldest),
		results:  ring.New[requestResult]("fleet-results", resultCapacity, ring.RefuseNew),
	}
	syncer.counters.Store(&AdopterCounters{})
	return syncer
}

// Current returns the file in force, nil when there is none yet.
func (s *Syncer) Current() *Compiled {
	if file := s.inForce.Load(); file != nil {
		return file.compiled
	}
	return nil
}

// Ready returns the file in force, or a NotReady fault.
func (s *Syncer) Ready() (*Compiled, error) {
	if compiled := s.Current(); compiled != nil {
		return compiled, nil
	}
	return nil, fault.New(fault.NotReady, "this router has no fleet file yet").WithRetryAfter(time.Second)
}

// CurrentRef returns the version and digest in force, for gossip and peers.
func (s *Syncer) CurrentRef() FileRef {
	if compiled := s.Current(); compiled != nil {
		return FileRef{Version: compiled.Version, Digest: compiled.Digest}
	}
	return FileRef{}
}

// Body returns the bytes of the file in force if it has this digest. They must
// not be changed.
func (s *Syncer) Body(digest Digest) ([]byte, bool) {
	file := s.inForce.Load()
	if file == nil || file.compiled.Digest != digest {
		return nil, false
	}
	return file.body, true
}

// Counters returns the Adopter's counters.
func (s *Syncer) Counters() AdopterCounters { return *s.counters.Load() }

// Rings returns the counters of the Syncer's rings.
func (s *Syncer) Rings() []ring.Counters {
	return []ring.Counters{s.observed.Counters(), s.results.Counters()}
}

// OnPrepare adds a function that is called, on the Syncer's goroutine, with each
// file just before Current returns it, so that the file's back ends are registered
// first. It must not block.
func (s *Syncer) OnPrepare(preparer func(*Compiled)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.preparers = append(s.preparers, preparer)
}

// OnAdopt adds a function that is called, on the Syncer's goroutine and after
// Current has changed, with each file put in force. It must not block.
func (s *Syncer) OnAdopt(listener func(*Compiled)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.listeners = append(s.listeners, listener)
}

// ObserveHead records the file in force on the router at address. It never blocks
// and may be called by any goroutine, for every gossip message.
func (s *Syncer) ObserveHead(version Version, digest Digest, address string) {
	ref := FileRef{Version: version, Digest: digest}
	current := s.CurrentRef()
	if version >= current.Version && ref != current {
		s.observed.Push(observedHead{ref: ref, address: address})
	}
}

// Run updates the file until ctx ends, and returns once all its requests have
// ended.
func (s *Syncer) Run(ctx context.Context) {
	defer s.requests.Wait()
	random := rand.New(rand.NewPCG(xxhash.Sum64String(string(s.options.Self)), 0))
	adopter := NewAdopter(time.Now(), random.Float64)
	timer := time.NewTimer(minWait)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-s.observed.Ready():
		case <-s.results.Ready():
		}
		now := time.Now()
		adopter.SetTopology(now, s.topology())
		s.applyEvents(adopter, now)
		for _, action := range adopter.Tick(now) {
			s.start(ctx, action)
		}
		counters := adopter.Counters()
		s.counters.Store(&counters)
		timer.Reset(max(minWait, min(time.Until(adopter.NextTick(now)), time.Second)))
	}
}

// applyEvents passes all queued events to the adopter.
func (s *Syncer) applyEvents(adopter *Adopter, now time.Time) {
	for head, ok := s.observed.Pop(); ok; head, ok = s.observed.Pop() {
		adopter.ObserveHead(now, head.ref, head.address)
	}
	for result, ok := s.results.Pop(); ok; result, ok = s.results.Pop() {
		s.applyResult(adopter, now, result)
	}
}

func (s *Syncer) applyResult(adopter *Adopter, now time.Time, result requestResult) {
	switch result.action.Kind {
	case ActionPollTable:
		if result.err != nil {
			adopter.PollFailed(now, fault.From(result.err).RetryAfter)
			return
		}
		adopter.HeadPolled(now, result.ref, result.found)
	case ActionAskPeer:
		if result.err != nil {
			adopter.PeerFailed(result.action.Address)
			return
		}
		adopter.PeerAnswered(now, result.action.Address, result.ref)
	case ActionFetchBody:
		if result.err != nil {
			adopter.FetchFailed(now)
			return
		}
		for _, action := range adopter.BodyReceived(now, result.body) {
			s.adopt(action)
		}
	}
}

// adopt puts a file in force and calls the preparers and listeners.
func (s *Syncer) adopt(action AdoptAction) {
	compiled := Compile(action.Document, action.Ref.Version, action.Ref.Digest)
	s.mutex.Lock()
	preparers, listeners := s.preparers, s.listeners
	s.mutex.Unlock()
	for _, preparer := range preparers {
		preparer(compiled)
	}
	s.inForce.Store(&inForce{compiled: compiled, body: action.Body})
	log.WithFields(log.Fields{"version": compiled.Version, "digest": compiled.Digest}).Info("fleet file in force")
	for _, listener := range listeners {
		listener(compiled)
	}
}

// start makes one request in a goroutine of its own, which pushes the result to
// the ring.
func (s *Syncer) start(ctx context.Context, action AdoptAction) {
	s.requests.Add(1)
	go func() {
		defer s.requests.Done()
		s.results.Push(s.request(ctx, action))
	}()
}

func (s *Syncer) request(ctx context.Context, action AdoptAction) requestResult {
	timeout := headTimeout
	if action.Kind == ActionFetchBody {
		timeout = bodyTimeout
	}
	requestCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	result := requestResult{action: action}
	switch {
	case action.Kind == ActionPollTable:
		var head Head
		head, result.found, result.err = ReadHead(requestCtx, s.options.Table)
		if result.found {
			result.ref = head.CurrentRef()
		}
	case action.Kind == ActionAskPeer:
		result.ref, result.err = s.options.Peers.FetchHead(requestCtx, action.Address)
	case action.Address == "":
		result.body, result.err = ReadBody(requestCtx, s.options.Table, action.Ref.Digest)
	default:
		result.body, result.err = s.options.Peers.FetchBody(requestCtx, action.Address, action.Ref.Digest)
	}
	return result
}

func (s *Syncer) topology() Topology {
	return TopologyOf(s.options.View(), s.options.Self, s.options.Zone)
}

// TopologyOf derives the pollers, and the peers of router self in the given zone,
// from a membership view.
func TopologyOf(view membership.View, self ident.Node, zone ident.Zone) Topology {
	zones := map[ident.Zone][]membership.Member{}
	topology := Topology{}
	for _, member := range view.Members {
		if member.State == membership.Alive || member.State == membership.Suspect {
			zones[member.Zone] = append(zones[member.Zone], member)
			topology.Members++
		}
	}
	pollers := map[ident.Node]bool{}
	for zone, members := range zones {
		for _, owner := range (membership.View{Members: members}).Owners("fleet/poll/"+string(zone), pollersPerZone) {
			pollers[owner.Node] = true
		}
	}
	for _, member := range view.Members {
		// A member may be listed before its address is known.
		if member.State > membership.Leaving || member.Node == self || member.HTTPAddress == "" {
			continue
		}
		topology.Peers = append(topology.Peers, Peer{
			Address: member.HTTPAddress, SameZone: member.Zone == zone, Poller: pollers[member.Node],
		})
	}
	topology.Poller = pollers[self] || len(zones) == 0
	return topology
}
