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
	// Standalone keeps the router in a pool of its own: each router then grants its equal
	// share of every limit without a word to the others.
	Standalone bool
	// Place is the place, among the routers that are up from the oldest on, of the one that
	// leads. Agents with other places share out the work of leading.
	Place int
	// HelloInterval is the time between two hellos to the leader; 0 means the usual one.
	HelloInterval time.Duration
}

const (
	// asksEach is the number of times that one leader is asked, and asksHeard that if it was
	// heard since the last hello was due: then datagrams are lost, and it is up. Where a
	// fifth of them is lost, 24 routers took their leaders for down 600 times in 10 s, and
	// parts that counted in two pools came to 1.3 times the limits (model of this package).
	asksEach  = 2
	asksHeard = 6
	// leadersEach is the number of leaders that are asked for one claim.
	leadersEach = 3
	// unknownRouters is taken as the number of routers while it is not known.
	unknownRouters = 100
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
	asks        map[uint64]*pending
	out         []Envelope
	done        []Decision
}

// pending is a claim that waits for its verdict.
type pending struct {
	claim Reservation
	// to was asked at askedAt for the tries-th time; leaders counts those asked.
	to             netip.AddrPort
	askedAt        time.Time
	tries, leaders int
}

// NewAgent returns the agent of a router that knows no other.
func NewAgent(cfg Config) *Agent {
	agent := &Agent{
		cfg: cfg, ranking: NewRanking(cfg.Self), pool: NewPool(cfg.Bounds), nextID: cfg.FirstID,
		asks: make(map[uint64]*pending),
	}
	agent.ranking.place = cfg.Place
	if cfg.HelloInterval > 0 {
		agent.ranking.interval = cfg.HelloInterval
		agent.pool.heardEvery(cfg.HelloInterval)
	}
	return agent
}

// SetRouters takes in this router's revision in the list of routers and the addresses of
// those with lower ones, the lowest first.
func (a *Agent) SetRouters(revision uint64, older []netip.AddrPort) {
	a.revision = revision
	a.ranking.Know(revision, older)
}

// SetRouterCount takes in the number of all routers, 0 if it is not known.
func (a *Agent) SetRouterCount(routers int) { a.routers = routers }

// sharers returns the number of routers that share the limits.
func (a *Agent) sharers() int {
	if a.routers <= 0 {
		return unknownRouters
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
	if !a.cfg.Standalone {
		for _, envelope := range a.ranking.Due(now) {
			a.hello(now, envelope)
		}
	}
	a.follow(now)
	a.pool.advance(now, a.sharers())
	for id, waiting := range a.asks {
		if now.Sub(waiting.askedAt) >= a.ranking.Patience(waiting.to) {
			a.again(now, id, waiting)
		}
	}
}

// hello sends a hello, to the leader as a member.
func (a *Agent) hello(now time.Time, envelope Envelope) {
	a.follow(now)
	if hello, is := envelope.Message.(Hello); is && envelope.To == a.leader {
		hello.Member, hello.StartCredit = true, a.startCredit
		envelope.Message = hello
	}
	a.out = append(a.out, envelope)
}

// follow takes this router into the pool of whoever leads now.
func (a *Agent) follow(now time.Time) {
	leader := a.ranking.Leader()
	if leader != a.leader {
		a.join(now, leader)
	}
	if leader == a.cfg.Self {
		a.pool.Join(now, a.cfg.Self, a.startCredit, a.sharers())
		a.startCredit = false
	}
}

// join leaves one pool for another.
func (a *Agent) join(now time.Time, leader netip.AddrPort) {
	switch {
	case a.leader == a.cfg.Self:
		a.pool.Leave(now, a.cfg.Self, a.sharers())
	case a.leader.IsValid():
		a.out = append(a.out, Envelope{To: a.leader, Message: a.goodbye()})
	}
	a.leader = leader
	a.startCredit = a.creditedAt.IsZero() || now.Sub(a.creditedAt) >= a.cfg.Bounds.Window
	if a.startCredit {
		a.creditedAt = now
	}
	if leader != a.cfg.Self {
		a.out = append(a.out, Envelope{To: leader, Message: Hello{Member: true, StartCredit: a.startCredit}})
	}
}

// Acquire asks for the grant of a claim and returns the ID of the decision to come.
func (a *Agent) Acquire(now time.Time, claim Reservation) uint64 {
	a.nextID++
	a.ask(now, a.nextID, &pending{claim: claim})
	return a.nextID
}

// ask asks the leader of this router's pool.
func (a *Agent) ask(now time.Time, id uint64, waiting *pending) {
	a.follow(now)
	if waiting.to != a.leader {
		a.withdraw(id, waiting)
		waiting.to, waiting.tries = a.leader, 0
		waiting.leaders++
	}
	waiting.tries++
	waiting.askedAt = now
	ask := AcquireRequest{ID: id, Reservation: waiting.claim}
	a.asks[id] = waiting
	if a.leader == a.cfg.Self {
		answer := a.pool.Ask(now, a.cfg.Self, &ask, a.sharers())
		a.answered(now, a.cfg.Self, &answer)
		return
	}
	a.out = append(a.out, Envelope{To: a.leader, Message: ask})
}

// again asks once more for what was not answered in time.
func (a *Agent) again(now time.Time, id uint64, waiting *pending) {
	asks := asksEach
	if a.ranking.HeardSince(waiting.to, now.Add(-a.ranking.interval)) {
		asks = asksHeard
	}
	if waiting.tries >= asks {
		a.ranking.Missed(waiting.to)
	}
	a.follow(now)
	if waiting.to != a.leader && waiting.leaders >= leadersEach {
		a.Cancel(id)
		a.done = append(a.done, Decision{ID: id, Result: Unconfirmed{}})
		return
	}
	a.ask(now, id, waiting)
}

// Cancel drops a claim whose request has ended.
func (a *Agent) Cancel(id uint64) {
	if waiting := a.asks[id]; waiting != nil {
		a.withdraw(id, waiting)
		delete(a.asks, id)
	}
}

// withdraw gives back what a leader may have granted that is not awaited any more.
func (a *Agent) withdraw(id uint64, waiting *pending) {
	if waiting.to.IsValid() {
		a.Release(Grant{Leader: waiting.to, ID: id})
	}
}

// Release gives back the grant of a request that did not run.
func (a *Agent) Release(grant Grant) {
	if grant.Leader == a.cfg.Self {
		a.pool.Return(a.cfg.Self, grant.ID)
		return
	}
	a.out = append(a.out, Envelope{To: grant.Leader, Message: Release{ID: grant.ID}})
}

// Receive takes in a message.
func (a *Agent) Receive(now time.Time, from netip.AddrPort, msg Message) {
	a.ranking.Heard(now, from)
	switch msg := msg.(type) {
	case Hello:
		a.ranking.Greeted(from, msg.Revision)
		if msg.Member && !a.pool.outdated(from, Leave{Hello: msg.Number}) {
			a.pool.Join(now, from, msg.StartCredit, a.sharers())
		}
		a.out = append(a.out, Envelope{To: from, Message: HelloAck{Number: msg.Number, Revision: a.revision}})
	case HelloAck:
		if from == a.leader && msg.Number != 0 {
			a.startCredit = false
		}
		a.ranking.Welcomed(now, from, &msg)
		a.follow(now)
	case Leave:
		a.pool.Leave(now, from, a.sharers())
		a.pool.said(now, from, msg)
	case AcquireRequest:
		answer := a.pool.Ask(now, from, &msg, a.sharers())
		a.out = append(a.out, Envelope{To: from, Message: answer})
	case AcquireResponse:
		a.answered(now, from, &msg)
	case Release:
		a.pool.Return(from, msg.ID)
	}
}

// answered takes in an answer, unless it came before or is not awaited any more.
func (a *Agent) answered(now time.Time, from netip.AddrPort, answer *AcquireResponse) {
	waiting := a.asks[answer.ID]
	if waiting == nil || waiting.to != from {
		return
	}
	if answer.Forming {
		waiting.askedAt, waiting.tries = now, 0
		return
	}
	delete(a.asks, answer.ID)
	a.decide(from, *answer)
}

// decide gives the verdict that an answer means.
func (a *Agent) decide(by netip.AddrPort, answer AcquireResponse) {
	verdict := Result(Denied{RetryAfter: answer.RetryAfter})
	if answer.Granted {
		verdict = Granted{Grant: Grant{Leader: by, ID: answer.ID}}
	}
	a.done = append(a.done, Decision{ID: answer.ID, Result: verdict})
}

// Stop leaves the pool, as the router stops.
func (a *Agent) Stop() {
	if a.leader.IsValid() && a.leader != a.cfg.Self {
		a.out = append(a.out, Envelope{To: a.leader, Message: a.goodbye()})
	}
}

// goodbye returns the message that this router is no member any more.
func (a *Agent) goodbye() Leave { return Leave{Hello: a.ranking.number, AcquireRequest: a.nextID} }

// Flush returns the messages to send and the decisions made since the last call.
func (a *Agent) Flush() ([]Envelope, []Decision) {
	out, done := a.out, a.done
	a.out, a.done = nil, nil
	return out, done
}
