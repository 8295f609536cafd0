package quota

import (
	"net/netip"
	"time"
)

// Config sets an Agent.
type Config struct {
	// Self is where other routers reach this one.
	Self   netip.AddrPort
	Bounds Bounds
	// FirstID is the first of this agent's ids, which must differ from those of its
	// former lives.
	FirstID uint64
	// Alone keeps the router in a pool of its own: each router then grants its equal
	// share of every limit without a word to the others.
	Alone bool
	// Place is the place, among the routers that are up from the oldest on, of the one that
	// leads. Agents with other places share out the work of leading.
	Place int
	// HelloInterval is the time between two hellos to the leader; 0 means the usual one.
	HelloInterval time.Duration
}

const (
	// attemptsPerLeader is the number of times that one leader is asked, and attemptsIfHeard that if it was
	// heard since the last hello was due: then datagrams are lost, and it is up. Where a
	// fifth of them is lost, 24 routers took their leaders for down 600 times in 10 s, and
	// parts that counted in two pools came to 1.3 times the limits (model of this package).
	attemptsPerLeader = 2
	attemptsIfHeard   = 6
	// leadersPerRequest is the number of leaders that are asked for one claim.
	leadersPerRequest = 3
	// assumedRouters is taken as the number of routers while it is not known.
	assumedRouters = 100
)

// Agent is the state machine of one router: it asks the leader of its pool for grants,
// and leads a pool itself where others ask it. Its inputs are claims, messages and the
// time; Flush returns what is to be sent and what was decided. It is not safe for
// concurrent use.
type Agent struct {
	cfg      Config
	ranking  *Ranking
	pool     *Pool
	revision uint64
	routers  int
	nextID   uint64
	// leader leads the pool of this router; it was chosen last.
	leader netip.AddrPort
	// startCredit is true until the leader has welcomed this router together with its
	// start credit; creditedAt is when it last gave one to any pool.
	startCredit bool
	creditedAt  time.Time
	requests    map[uint64]*pending
	out         []Envelope
	decisions   []Decision
}

// pending is a claim that waits for its verdict.
type pending struct {
	reservation Claim
	// leader was asked at pendingSince for the tries-th time; leaders counts those asked.
	leader                 netip.AddrPort
	sentAt                 time.Time
	attempts, leadersTried int
}

// NewAgent returns the agent of a router that knows no other.
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

// Know takes in this router's revision in the list of routers and the addresses of
// those with lower ones, the lowest first.
func (a *Agent) Know(revision uint64, older []netip.AddrPort) {
	a.revision = revision
	a.ranking.SetRouters(revision, older)
}

// Counted takes in the number of all routers, 0 if it is not known.
func (a *Agent) Counted(routers int) { a.routers = routers }

// routerCount returns the number of routers that share the limits.
func (a *Agent) routerCount() int {
	if a.routers <= 0 {
		return assumedRouters
	}
	return a.routers
}

// Leader returns who leads the pool of this router.
func (a *Agent) Leader() netip.AddrPort { return a.leader }

// Members returns the number of members of the pool that this router leads.
func (a *Agent) Members() int { return a.pool.Members() }

// Shared reports whether other routers are in this router's pool.
func (a *Agent) Shared() bool {
	return (a.leader.IsValid() && a.leader != a.cfg.Self) || a.pool.Members() > 1
}

// Tick takes in the time: hellos that are due, and answers that did not come.
func (a *Agent) Tick(now time.Time) {
	if !a.cfg.Alone {
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

// sendHello sends a hello, to the leader as a member.
func (a *Agent) sendHello(now time.Time, envelope Envelope) {
	a.followLeader(now)
	if hello, is := envelope.Message.(Hello); is && envelope.To == a.leader {
		hello.Member, hello.StartCredit = true, a.startCredit
		envelope.Message = hello
	}
	a.out = append(a.out, envelope)
}

// followLeader takes this router into the pool of whoever leads now.
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

// join leaves one pool for another.
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

// Take asks for the grant of a claim and returns the ID of the decision to come.
func (a *Agent) Take(now time.Time, reservation Claim) uint64 {
	a.nextID++
	a.send(now, a.nextID, &pending{reservation: reservation})
	return a.nextID
}

// send asks the leader of this router's pool.
func (a *Agent) send(now time.Time, id uint64, waiting *pending) {
	a.followLeader(now)
	if waiting.leader != a.leader {
		a.withdraw(id, waiting)
		waiting.leader, waiting.attempts = a.leader, 0
		waiting.leadersTried++
	}
	waiting.attempts++
	waiting.sentAt = now
	request := Ask{ID: id, Claim: waiting.reservation}
	a.requests[id] = waiting
	if a.leader == a.cfg.Self {
		response := a.pool.Acquire(now, a.cfg.Self, &request, a.routerCount())
		a.handleResponse(now, a.cfg.Self, &response)
		return
	}
	a.out = append(a.out, Envelope{To: a.leader, Message: request})
}

// retry asks once more for what was not answered in time.
func (a *Agent) retry(now time.Time, id uint64, waiting *pending) {
	attempts := attemptsPerLeader
	if a.ranking.HeardSince(waiting.leader, now.Add(-a.ranking.interval)) {
		attempts = attemptsIfHeard
	}
	if waiting.attempts >= attempts {
		a.ranking.MarkDown(waiting.leader)
	}
	a.followLeader(now)
	if waiting.leader != a.leader && waiting.leadersTried >= leadersPerRequest {
		a.Forget(id)
		a.decisions = append(a.decisions, Decision{ID: id, Verdict: Unconfirmed{}})
		return
	}
	a.send(now, id, waiting)
}

// Forget drops a claim whose request has ended.
func (a *Agent) Forget(id uint64) {
	if waiting := a.requests[id]; waiting != nil {
		a.withdraw(id, waiting)
		delete(a.requests, id)
	}
}

// withdraw gives back what a leader may have granted that is not awaited any more.
func (a *Agent) withdraw(id uint64, waiting *pending) {
	if waiting.leader.IsValid() {
		a.Return(Grant{By: waiting.leader, ID: id})
	}
}

// Return gives back the grant of a request that did not run.
func (a *Agent) Return(grant Grant) {
	if grant.By == a.cfg.Self {
		a.pool.Release(a.cfg.Self, grant.ID)
		return
	}
	a.out = append(a.out, Envelope{To: grant.By, Message: Return{ID: grant.ID}})
}

// Receive takes in a message.
func (a *Agent) Receive(now time.Time, from netip.AddrPort, msg Message) {
	a.ranking.ObserveMessage(now, from)
	switch msg := msg.(type) {
	case Hello:
		a.ranking.ObserveHello(from, msg.Revision)
		if msg.Member && !a.pool.sentBeforeLeaving(from, Leave{Hello: msg.Number}) {
			a.pool.Join(now, from, msg.StartCredit, a.routerCount())
		}
		a.out = append(a.out, Envelope{To: from, Message: Welcome{Number: msg.Number, Revision: a.revision}})
	case Welcome:
		if from == a.leader && msg.Number != 0 {
			a.startCredit = false
		}
		a.ranking.ObserveAck(now, from, &msg)
		a.followLeader(now)
	case Leave:
		a.pool.Leave(now, from, a.routerCount())
		a.pool.recordDeparture(now, from, msg)
	case Ask:
		response := a.pool.Acquire(now, from, &msg, a.routerCount())
		a.out = append(a.out, Envelope{To: from, Message: response})
	case Answer:
		a.handleResponse(now, from, &msg)
	case Return:
		a.pool.Release(from, msg.ID)
	}
}

// handleResponse takes in an answer, unless it came before or is not awaited any more.
func (a *Agent) handleResponse(now time.Time, from netip.AddrPort, response *Answer) {
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

// decide gives the verdict that an answer means.
func (a *Agent) decide(leader netip.AddrPort, response Answer) {
	result := Verdict(Denied{After: response.After})
	if response.Granted {
		result = Granted{Grant: Grant{By: leader, ID: response.ID}}
	}
	a.decisions = append(a.decisions, Decision{ID: response.ID, Verdict: result})
}

// Stop leaves the pool, as the router stops.
func (a *Agent) Stop() {
	if a.leader.IsValid() && a.leader != a.cfg.Self {
		a.out = append(a.out, Envelope{To: a.leader, Message: a.leaveMessage()})
	}
}

// leaveMessage returns the message that this router is no member any more.
func (a *Agent) leaveMessage() Leave { return Leave{Hello: a.ranking.number, Ask: a.nextID} }

// Flush returns the messages to send and the decisions made since the last call.
func (a *Agent) Flush() ([]Envelope, []Decision) {
	out, decisions := a.out, a.decisions
	a.out, a.decisions = nil, nil
	return out, decisions
}
