package experiment

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/endpoint"
	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/placement"
	"github.com/fieldpond/fieldpond/internal/prefix"
)

// attempt is one attempt of an exchange on one engine.
type attempt struct {
	exchange    *exchange
	router      *routerNode
	engine      *engineNode
	incarnation ident.Incarnation
	key         endpoint.AttemptKey
	chain       prefix.Chain
	stream      ident.Stream
	sentAt      time.Time
	firstAt     time.Time
	// mostCachedTokens is the largest number of prompt tokens cached by any
	// permitted engine at dispatch.
	mostCachedTokens int
	// targetCachedTokens is the number cached by the chosen engine at dispatch.
	targetCachedTokens int
	done               bool
}

// send sends the request to the engine it was placed on.
func (x *exchange) send(router *routerNode, placed placement.Placed) {
	s := x.simulation
	x.attempts++
	chosen := placed.Candidate
	chain := placed.Job.Request.Chains[chosen.Version]
	sent := &attempt{
		exchange: x, router: router, engine: s.byName[chosen.Endpoint.Engine],
		incarnation: chosen.Endpoint.Incarnation, key: placed.Job.Key, chain: chain, sentAt: s.clock.now,
		targetCachedTokens: s.byName[chosen.Endpoint.Engine].model.CachedPrefixBlocks(x.salt, chain) * prefix.DefaultBlockTokens,
		mostCachedTokens:   min(x.mostCachedBlocks(chain)*prefix.DefaultBlockTokens, placed.Job.Request.PromptTokens-1),
	}
	deliver := func() {
		s.clock.after(s.hop(router.zone, sent.engine.zone), func() { sent.engine.submit(sent) })
	}
	if placed.MoveFrom == "" {
		deliver()
	} else {
		sent.move(s.byName[placed.MoveFrom], placed.MoveFromIncarnation, deliver)
	}
	s.clock.after(x.class.Deadline, sent.deadline)
}

func (a *attempt) request() protocol.GenerateRequest {
	x := a.exchange
	return protocol.GenerateRequest{
		RequestID: a.key.Request, Attempt: a.key.Attempt, ExpectedIncarnation: a.incarnation,
		Tenant: x.tenant.Name, Model: x.service.Model.Name, Version: x.service.Model.Version,
		Salt: x.salt, Priority: x.class.Priority,
		Prompt: x.arrival.Prompt, Continued: x.text.String(), MaxTokens: x.arrival.MaxTokens - x.tokens,
	}
}

// deliverToRouter applies an engine's reply at the router after the network delay.
func (a *attempt) deliverToRouter(apply func()) {
	s := a.exchange.simulation
	s.clock.after(s.hop(a.router.zone, a.engine.zone), func() {
		if !a.done {
			a.reassignRouter()
			apply()
		}
	})
}

// reassignRouter moves the attempt to a live router if its own failed: the caller
// resumes its stream there.
func (a *attempt) reassignRouter() {
	for _, router := range a.exchange.simulation.routers {
		if a.router.alive {
			return
		}
		if router.alive {
			a.router = router
		}
	}
}

func (a *attempt) accepted(incarnation ident.Incarnation, usage protocol.Usage) {
	a.router.core.RecordStart(a.exchange.simulation.clock.now, a.key, incarnation, usage)
}

// chunk records generated text. Only the first chunk is timed, so the others are
// not sent over the simulated network one by one.
func (a *attempt) chunk(text string, tokens int) {
	x := a.exchange
	x.text.WriteString(text)
	x.tokens += tokens
	x.started = true
	if !a.firstAt.IsZero() {
		return
	}
	a.firstAt = x.simulation.clock.now.Add(x.simulation.hop(a.router.zone, a.engine.zone))
	a.deliverToRouter(func() { a.router.core.RecordFirstToken(x.simulation.clock.now, a.key) })
	if x.firstToken == 0 {
		x.firstToken = a.firstAt.Add(hopToClient).Sub(x.arrivedAt)
	}
}

func (a *attempt) completed() {
	a.router.budget.RecordSuccess(a.exchange.simulation.clock.now)
	a.finish(placement.Result{Incarnation: a.incarnation})
	a.exchange.end(OutcomeAnswered)
}

func (a *attempt) unreachable() {
	a.finish(placement.Result{Unreachable: true})
	a.exchange.retry(a, nil, OutcomeLost)
}

func (a *attempt) refused(refusal *protocol.Refusal) {
	a.finish(placement.Result{Incarnation: refusal.Incarnation, Refusal: refusal.Kind})
	a.exchange.retry(a, refusal, OutcomeBackendRefused)
}

func (a *attempt) broken() {
	a.finish(placement.Result{Broken: true})
	a.exchange.retry(a, nil, OutcomeLost)
}

// deadline cancels an attempt without a token within the deadline of its class.
func (a *attempt) deadline() {
	if a.done || !a.firstAt.IsZero() {
		return
	}
	a.reassignRouter()
	s := a.exchange.simulation
	s.clock.after(s.hop(a.router.zone, a.engine.zone), func() { a.engine.cancel(a) })
	a.finish(placement.Result{Broken: true})
	a.exchange.retry(a, nil, OutcomeLate)
}

// finish records the end of the attempt at its router.
func (a *attempt) finish(result placement.Result) {
	now := a.exchange.simulation.clock.now
	a.done = true
	result.Duration = now.Sub(a.sentAt)
	if !a.firstAt.IsZero() {
		result.TimeToFirstToken = a.firstAt.Sub(a.sentAt)
	}
	a.router.apply(a.router.core.RecordEnd(now, a.key, result))
}
