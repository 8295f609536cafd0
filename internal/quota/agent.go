package quota

import (
	"net/netip"
	"time"
)

// Config configures an Agent.
type Config struct {
	// Self is the address at which other routers reach this one.
	Self   netip.AddrPort
	Bounds Bounds
	// FirstID is the first of this agent's ids. It must differ from those of earlier processes.
	FirstID uint64
	// Standalone keeps the router in a pool of its own: it grants its equal share of every limit
	// without sending messages.
	Standalone bool
	// Place is the leader's place among the reachable routers, from the oldest on. Agents with
	// different places share the work of leading.
	Place int
	// HelloInterval is the time between two hellos to the leader. Default: helloInterval.
	HelloInterval time.Duration
}

const (
	// attemptsPerLeader is the number of times that a request is sent to one leader, and
	// attemptsIfReceiving that if a message arrived from it since the last hello was due: then
	// datagrams are lost, and the leader must not be considered down.
	attemptsPerLeader   = 2
	attemptsIfReceiving = 6
	// leadersPerRequest is the number of leaders that one request is sent to.
	leadersPerRequest = 3
	// assumedRouters is the number of routers while it is unknown.
	assumedRouters = 100
)

// Agent is the state machine of one router: it requests grants from the leader of its pool, and
// leads a pool itself if other routers choose it. Its inputs are reservations, messages and the
// time; Flush returns its messages and decisions. It is not safe for concurrent use.
type Agent struct {
	cfg      Config
	ranking  *Ranking
	pool     *Pool
	revision uint64
	routers  int
	nextID   uint64
	// leader is the leader of this router's pool.
	leader netip.AddrPort
	// startCredit is true until the leader has acknowledged this router with its start credit;
	// creditedAt is when it last gave one to any pool.
	startCredit bool
	creditedAt  time.Time
	requests    map[uint64]*pending
	out         []Envelope
	decisions   []Decision
}

// pending is a reservation that waits for its result.
type pending struct {
	reservation Reservation
	// leader got the request last, at sentAt; leadersTried counts the leaders that got it.
	leader                 netip.AddrPort
	sentAt                 time.Time
	attempts, leadersTried int
}

// NewAgent returns the agent of a router without peers.
func NewAgent(cfg Config) *Agent {
	agent := &Agent{
		cfg: cfg, ranking: NewRanking(cfg.Self), pool: NewPool(cfg.Bounds), nextID: cfg.FirstID,
		requests: make(map[uint64]*pending),
	}
	agent.ranking.place = cfg.Place
	if cfg.HelloInterval > 0 {
		agent.ranking.interval = cfg.HelloInterval
		agent.pool.setHelloInterval(cfg.HelloInterval)
	}
	return agent
}

// SetRouters sets this router's revision in the router list and the addresses of those with lower
// revisions, the lowest first.
func (a *Agent) SetRouters(revision uint64, older []netip.AddrPort) {
	a.revision = revision
	a.ranking.SetRouters(revision, older)
}

// SetRouterCount sets the number of all routers, 0 if it is unknown.
func (a *Agent) SetRouterCount(routers int) { a.routers = routers }

func (a *Agent) routerCount() int {
	if a.routers <= 0 {
		return assumedRouters
	}
	return a.routers
}

// Leader returns the leader of this router's pool.
func (a *Agent) Leader() netip.AddrPort { return a.leader }

// Members returns the number of members of the pool that this router leads.
func (a *Agent) Members() int { return a.pool.Members() }

// Shared reports whether other routers are in this router's pool.
func (a *Agent) Shared() bool {
	return (a.leader.IsValid() && a.leader != a.cfg.Self) || a.pool.Members() > 1
}

// Tick sends the hellos that are due and retries requests without a response.
func (a *Agent) Tick(now time.Time) {
	if !a.cfg.Standalone {
		for _, envelope := range a.ranking.DueHellos(now) {
			a.sendHello(now, envelope)
		}
	}
	a.followLeader(now)
	a.pool.advance(now, a.routerCount())
	for id, waiting := range a.requests {
		if now.Sub(waiting.sentAt) >= a.ranking.ResponseTimeout(waiting.leader) {
			a.retry(now, id, waiting)
		}
	}
}

// sendHello queues a hello; the one to the leader announces a member.
func (a *Agent) sendHello(now time.Time, envelope Envelope) {
	a.followLeader(now)
	if hello, is := envelope.Message.(Hello); is && envelope.To == a.leader {
		hello.Member, hello.StartCredit = true, a.startCredit
		envelope.Message = hello
	}
	a.out = append(a.out, envelope)
}

// followLeader joins the pool of the current leader.
func (a *Agent) followLeader(now time.Time) {
	leader := a.ranking.Leader()
	if leader != a.leader {
		a.switchLeader(now, leader)
	}
	if leader == a.cfg.Self {
		a.pool.Join(now, a.cfg.Self, a.startCredit, a.routerCount())
		a.startCredit = false
	}
}

// switchLeader leaves one pool and joins another.
func (a *Agent) switchLeader(now time.Time, next netip.AddrPort) {
	switch {
	case a.leader == a.cfg.Self:
		a.pool.Leave(now, a.cfg.Self, a.routerCount())
	case a.leader.IsValid():
		a.out = append(a.out, Envelope{To: a.leader, Message: a.leaveMessage()})
	}
	a.leader = next
	a.startCredit = a.creditedAt.IsZero() || now.Sub(a.creditedAt) >= a.cfg.Bounds.Window
	if a.startCredit {
		a.creditedAt = now
	}
	if next != a.cfg.Self {
		a.out = append(a.out, Envelope{To: next, Message: Hello{Member: true, StartCredit: a.startCredit}})
	}
}

// Acquire requests the grant of a reservation and returns the ID of its Decision.
func (a *Agent) Acquire(now time.Time, reservation Reservation) uint64 {
	a.nextID++
	a.send(now, a.nextID, &pending{reservation: reservation})
	return a.nextID
}

// send sends a request to the leader of this router's pool.
func (a *Agent) send(now time.Time, id uint64, waiting *pending) {
	a.followLeader(now)
	if waiting.leader != a.leader {
		a.withdraw(id, waiting)
		waiting.leader, waiting.attempts = a.leader, 0
		waiting.leadersTried++
	}
	waiting.attempts++
	waiting.sentAt = now
	request := AcquireRequest{ID: id, Reservation: waiting.reservation}
	a.requests[id] = waiting
	if a.leader == a.cfg.Self {
		response := a.pool.Acquire(now, a.cfg.Self, &request, a.routerCount())
		a.handleResponse(now, a.cfg.Self, &response)
		return
	}
	a.out = append(a.out, Envelope{To: a.leader, Message: request})
}

// retry resends a request without a response, unless too many leaders were tried.
func (a *Agent) retry(now time.Time, id uint64, waiting *pending) {
	maxAttempts := attemptsPerLeader
	if a.ranking.ReceivedSince(waiting.leader, now.Add(-a.ranking.interval)) {
		maxAttempts = attemptsIfReceiving
	}
	if waiting.attempts >= maxAttempts {
		a.ranking.MarkDown(waiting.leader)
	}
	a.followLeader(now)
	if waiting.leader != a.leader && waiting.leadersTried >= leadersPerRequest {
		a.Cancel(id)
		a.decisions = append(a.decisions, Decision{ID: id, Result: Unconfirmed{}})
		return
	}
	a.send(now, id, waiting)
}

// Cancel drops a reservation whose request has ended.
func (a *Agent) Cancel(id uint64) {
	if waiting := a.requests[id]; waiting != nil {
		a.withdraw(id, waiting)
		delete(a.requests, id)
	}
}

// withdraw releases what a leader may have granted but is not awaited any more.
func (a *Agent) withdraw(id uint64, waiting *pending) {
	if waiting.leader.IsValid() {
		a.Release(Grant{Leader: waiting.leader, ID: id})
	}
}

// Release releases the grant of a request that did not run.
func (a *Agent) Release(grant Grant) {
	if grant.Leader == a.cfg.Self {
		a.pool.Release(a.cfg.Self, grant.ID)
		return
	}
	a.out = append(a.out, Envelope{To: grant.Leader, Message: Release{ID: grant.ID}})
}

// Receive handles a message.
func (a *Agent) Receive(now time.Time, from netip.AddrPort, msg Message) {
	a.ranking.ObserveMessage(now, from)
	switch msg := msg.(type) {
	case Hello:
		a.ranking.ObserveHello(from, msg.Revision)
		if msg.Member && !a.pool.sentBeforeLeaving(from, Leave{Hello: msg.Number}) {
			a.pool.Join(now, from, msg.StartCredit, a.routerCount())
		}
		a.out = append(a.out, Envelope{To: from, Message: HelloAck{Number: msg.Number, Revision: a.revision}})
	case HelloAck:
		if from == a.leader && msg.Number != 0 {
			a.startCredit = false
		}
		a.ranking.ObserveAck(now, from, &msg)
		a.followLeader(now)
	case Leave:
		a.pool.Leave(now, from, a.routerCount())
		a.pool.recordDeparture(now, from, msg)
	case AcquireRequest:
		response := a.pool.Acquire(now, from, &msg, a.routerCount())
		a.out = append(a.out, Envelope{To: from, Message: response})
	case AcquireResponse:
		a.handleResponse(now, from, &msg)
	case Release:
		a.pool.Release(from, msg.ID)
	}
}

// handleResponse applies a response. Duplicates and late ones are ignored.
func (a *Agent) handleResponse(now time.Time, from netip.AddrPort, response *AcquireResponse) {
	waiting := a.requests[response.ID]
	if waiting == nil || waiting.leader != from {
		return
	}
	if response.Forming {
		waiting.sentAt, waiting.attempts = now, 0
		return
	}
	delete(a.requests, response.ID)
	a.decide(from, *response)
}

func (a *Agent) decide(leader netip.AddrPort, response AcquireResponse) {
	result := Result(Denied{RetryAfter: response.RetryAfter})
	if response.Granted {
		result = Granted{Grant: Grant{Leader: leader, ID: response.ID}}
	}
	a.decisions = append(a.decisions, Decision{ID: response.ID, Result: result})
}

// Stop leaves the pool when the router shuts down.
func (a *Agent) Stop() {
	if a.leader.IsValid() && a.leader != a.cfg.Self {
		a.out = append(a.out, Envelope{To: a.leader, Message: a.leaveMessage()})
	}
}

func (a *Agent) leaveMessage() Leave { return Leave{Hello: a.ranking.number, AcquireRequest: a.nextID} }

// Flush returns the messages and decisions since the last call.
func (a *Agent) Flush() ([]Envelope, []Decision) {
	out, decisions := a.out, a.decisions
	a.out, a.decisions = nil, nil
	return out, decisions
}
