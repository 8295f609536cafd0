package node

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/fieldpond/fieldpond/internal/affinity"
	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/forward"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/mechanism"
	"github.com/fieldpond/fieldpond/internal/upstream"
	"github.com/fieldpond/fieldpond/internal/wait"
)

const (
	// streamsTick is the time between two batches of records that are sent a second time, as
	// datagrams are lost.
	streamsTick = 200 * time.Millisecond
	// maxRepeated bounds the records of one batch.
	maxRepeated = 2000
	// expireInterval is the time between two removals of expired records.
	expireInterval = time.Second
)

// streams knows at which releases streams began. It sends nothing while each service has one release.
type streams struct {
	backends *backend.Registry
	// routers returns the other routers that keep records, and whether these are all.
	routers func() (routers []netip.AddrPort, all bool)
	// counted reports whether the routers were counted since this one started, so that it knows those that started
	// with it. Nil means that they were.
	counted func() bool
	// refresh reads the routers again if some may be missing.
	refresh func(ctx context.Context)
	send    func(to netip.AddrPort, message *affinity.Message)
	metrics *metrics
	// rows keeps records in the store, and loaded is closed once they were read; rows may be nil.
	rows   *streamRows
	loaded chan struct{}
	// releases keeps the releases of all services in the store; it may be nil.
	releases *releaseKeeper
	// large reports whether the fleet is too large for rows, count the number of routers.
	large func() bool
	count func() int

	mu       sync.Mutex
	table    *affinity.Table
	searches map[affinity.Key][]*streamSearch
	// repeated are the records to send a second time.
	repeated []affinity.Record
}

// streamSearch is a search with a channel that receives an item when an answer has arrived.
type streamSearch struct {
	*affinity.Search
	changed chan struct{}
}

var _ forward.Streams = (*streams)(nil)

func newStreams(s *streams) *streams {
	s.table, s.searches = affinity.NewTable(), make(map[affinity.Key][]*streamSearch)
	s.send = func(netip.AddrPort, *affinity.Message) {}
	s.loaded = make(chan struct{})
	return s
}

// connect sets the socket over which messages are sent; s may be nil.
func (s *streams) connect(socket *notifier) {
	if s != nil {
		socket.streams = s
		s.send = func(to netip.AddrPort, message *affinity.Message) { socket.sendTo(to, datagram{Streams: message}) }
	}
}

// setUpStreams sets up the records of streams, unless streams may go on at any release.
func (n *Node) setUpStreams() {
	if !n.config.Disabled.Enabled(mechanism.StreamAffinity) {
		return
	}
	n.streams = newStreams(&streams{
		backends: n.backends, metrics: n.metrics, refresh: n.follower.refreshStreamRouters,
		routers: func() ([]netip.AddrPort, bool) { return n.follower.streamRouters(n.config.PeerAddr) },
		counted: n.follower.routersCounted,
		large:   n.follower.chain.large, count: n.follower.replica.Routers,
		rows: &streamRows{table: n.ports.Table, timeout: n.config.Follow.ReadTimeout / 2, node: n.config.Node},
		releases: &releaseKeeper{
			table: n.ports.Table, backends: n.backends, timeout: n.config.Follow.ReadTimeout / 2, epoch: n.follower.epochs.Epoch,
			writes: func() bool { return n.follower.watchesStore() && n.follower.readsForOthers() },
		},
	})
}

// streamOrigins returns the origins of streams, nil if streams may go on at any release.
func (n *Node) streamOrigins() forward.Streams {
	if n.streams == nil {
		return nil
	}
	return n.streams
}

// Began implements forward.Streams.
func (s *streams) Began(key affinity.Key, origin affinity.Origin, ttl time.Duration) {
	record := affinity.Record{Key: key, Origin: origin, TTL: ttl}
	s.put(&record)
	s.sendRecords([]affinity.Record{record})
	if now := clock.Now(); s.rows != nil && s.backends.HasSeveralReleases(now, origin.Service) {
		s.rows.add(now, &record)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.repeated) < maxRepeated {
		s.repeated = append(s.repeated, record)
	}
}

func (s *streams) put(record *affinity.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Put(clock.Now(), record.Key, record.Origin, record.TTL)
}

// sendRecords sends each record to its holders.
func (s *streams) sendRecords(records []affinity.Record) {
	routers, _ := s.routers()
	byHolder := make(map[netip.AddrPort][]affinity.Record)
	for _, record := range records {
		for _, holder := range affinity.Holders(record.Key, routers) {
			byHolder[holder] = append(byHolder[holder], record)
		}
	}
	for holder, held := range byHolder {
		for part := range slices.Chunk(held, affinity.RecordsPerMessage) {
			s.send(holder, &affinity.Message{Records: part})
		}
		s.metrics.streamRecords.Add(float64(len(held)))
	}
}

// Find implements forward.Streams.
func (s *streams) Find(ctx context.Context, key affinity.Key, service ident.Service) affinity.Result {
	result := s.find(ctx, key, service)
	s.metrics.streamsFound.WithLabelValues(streamResultName(result)).Inc()
	return result
}

// AskHolders implements forward.Streams.
func (s *streams) AskHolders(ctx context.Context, key affinity.Key, service ident.Service) affinity.Result {
	if known, found := s.known(clock.Now(), key); found {
		return known
	}
	config := s.searchConfig(clock.Now(), key, service)
	config.HoldersOnly = true
	return s.search(ctx, &config)
}

func (s *streams) find(ctx context.Context, key affinity.Key, service ident.Service) affinity.Result {
	s.awaitRows(ctx)
	now := clock.Now()
	if known, found := s.known(now, key); found {
		return known
	}
	config := s.searchConfig(now, key, service)
	if s.counted == nil || s.counted() {
		return s.search(ctx, &config)
	}
	config.HasPrior = false
	result := s.search(ctx, &config)
	if _, unknown := result.(affinity.Unknown); unknown {
		return affinity.Unknown{}
	}
	return result
}

// search asks other routers until they have answered, or their time is over.
func (s *streams) search(ctx context.Context, config *affinity.SearchConfig) affinity.Result {
	key, service := config.Key, config.Service
	search := s.begin(config)
	defer s.end(key, search)
	for {
		now := clock.Now()
		due, next, result := s.step(now, search)
		if result != nil {
			s.keep(now, key, result)
			return result
		}
		for _, router := range due {
			s.send(router, &affinity.Message{Asks: []affinity.Ask{{Key: key, Service: service}}})
		}
		timer := time.NewTimer(next.Sub(now))
		select {
		case <-search.changed:
			timer.Stop()
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return affinity.Unknown{}
		}
	}
}

// known returns what this router knows of a stream.
func (s *streams) known(now time.Time, key affinity.Key) (affinity.Result, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, found := s.table.Get(now, key)
	if found && entry.Conflicting {
		return affinity.Conflicting{}, true
	}
	return affinity.Found{Origin: entry.Origin, TTL: entry.ExpiresAt.Sub(now)}, found
}

// searchConfig returns how to search for the origin of a stream among all routers.
func (s *streams) searchConfig(now time.Time, key affinity.Key, service ident.Service) affinity.SearchConfig {
	config := affinity.SearchConfig{Key: key, Service: service}
	config.Routers, config.All = s.routers()
	config.Prior, config.HasPrior = s.backends.PriorRelease(now, service)
	config.Quorum = !s.backends.HasSeveralReleases(now, service)
	return config
}

func (s *streams) begin(config *affinity.SearchConfig) *streamSearch {
	search := &streamSearch{Search: affinity.NewSearch(clock.Now(), *config), changed: make(chan struct{}, 1)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.searches[config.Key] = append(s.searches[config.Key], search)
	return search
}

func (s *streams) end(key affinity.Key, ended *streamSearch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.searches[key] = slices.DeleteFunc(s.searches[key], func(other *streamSearch) bool { return other == ended })
	if len(s.searches[key]) == 0 {
		delete(s.searches, key)
	}
}

// step returns the routers to ask now, when to call it again, and the result if there is one.
func (s *streams) step(now time.Time, search *streamSearch) (due []netip.AddrPort, next time.Time, result affinity.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if result := search.Result(now); result != nil {
		return nil, time.Time{}, result
	}
	due = search.Due(now)
	return due, search.Next(now), nil
}

// keep keeps a record that another router had.
func (s *streams) keep(now time.Time, key affinity.Key, result affinity.Result) {
	if found, known := result.(affinity.Found); known {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.table.Put(now, key, found.Origin, found.TTL)
	}
}

// receive handles a message of another router.
func (s *streams) receive(from netip.AddrPort, message *affinity.Message) {
	if !message.Valid() {
		return
	}
	for index := range message.Records {
		s.put(&message.Records[index])
	}
	for index := range message.Asks {
		answer := s.answer(&message.Asks[index])
		s.send(from, &affinity.Message{Answers: []affinity.Answer{answer}})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for index := range message.Answers {
		answer := &message.Answers[index]
		for _, search := range s.searches[answer.Key] {
			search.Answer(from, answer)
			select {
			case search.changed <- struct{}{}:
			default:
			}
		}
	}
}

// answer returns what this router knows of a stream.
func (s *streams) answer(ask *affinity.Ask) affinity.Answer {
	now := clock.Now()
	answer := affinity.Answer{Key: ask.Key}
	switch known, found := s.known(now, ask.Key); known := known.(type) {
	case affinity.Conflicting:
		answer.Known, answer.Conflicting = true, true
	case affinity.Found:
		answer.Known, answer.Origin, answer.TTL = found, known.Origin, known.TTL
	}
	if !answer.Known {
		answer.Prior, answer.HasPrior = s.backends.PriorRelease(now, ask.Service)
		answer.Several = s.backends.HasSeveralReleases(now, ask.Service)
		routers, _ := s.routers()
		answer.Routers, answer.TTL = len(routers)+1, 0
	}
	return answer
}

// run sends records a second time and removes expired ones until ctx ends.
func (s *streams) run(ctx context.Context) {
	expiredAt := clock.Now()
	wait.Every(ctx, streamsTick, func() {
		s.mu.Lock()
		repeated, now := s.repeated, clock.Now()
		s.repeated = nil
		if now.Sub(expiredAt) >= expireInterval {
			expiredAt = now
			s.table.Expire(now)
		}
		s.mu.Unlock()
		if len(repeated) > 0 {
			s.sendRecords(repeated)
			s.refresh(ctx)
		}
	})
}

// handOver sends the records of this router, which is stopping, to their holders among the others;
// s may be nil.
func (s *streams) handOver() {
	if s == nil {
		return
	}
	s.mu.Lock()
	records := s.table.Records(clock.Now())
	s.mu.Unlock()
	s.sendRecords(records)
}

// counts returns the number of records kept, and that of records for which there was no room.
func (s *streams) counts() (kept int, dropped uint64) {
	if s == nil {
		return 0, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Len(), s.table.Dropped()
}

// streamResultName returns the metric label of the result of a search.
func streamResultName(result affinity.Result) string {
	switch result := result.(type) {
	case affinity.Found:
		return "found"
	case affinity.Conflicting:
		return "conflicting"
	case affinity.Unknown:
		if result.Complete {
			return "unknown"
		}
	}
	return "unanswered"
}

// streamRouters returns the routers that keep records besides this one, and whether these are all:
// in a large fleet those that all routers know.
func (f *follower) streamRouters(self netip.AddrPort) (routers []netip.AddrPort, all bool) {
	if !f.chain.large() {
		return slices.Clone(f.recipients.others()), true
	}
	for _, peer := range f.replica.currentElders() {
		if peer.Addr != self {
			routers = append(routers, peer.Addr)
		}
	}
	return routers, false
}

// routersCounted reports whether the number of routers that this one knows was counted once those that started with it
// had joined.
func (f *follower) routersCounted() bool {
	now := clock.Now()
	countedAt := now.Add(-f.replica.routerCountAge(now))
	return f.chain.large() || countedAt.Sub(f.startedAt) >= firstRecountDelay && f.replica.Routers() == f.recipients.count()+1
}

// refreshStreamRouters reads the routers again if some may be missing.
func (f *follower) refreshStreamRouters(ctx context.Context) {
	if !f.chain.large() && f.replica.Routers() != f.recipients.count()+1 {
		f.readRouters(ctx)
	}
}

// currentElders returns the elders of a large fleet.
func (r *replica) currentElders() []upstream.Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.elders
}
