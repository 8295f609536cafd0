package proofs

import (
	"fmt"
	"strings"
	"time"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/placement"
	"github.com/fieldpond/fieldpond/internal/prefix"
	"github.com/fieldpond/fieldpond/internal/routing/framework"
)

// requestSpec is the content of one caller's request.
type requestSpec struct {
	tenant   ident.Tenant
	zones    []ident.Zone
	versions []ident.ModelVersion
	prompt   string
}

// openRequest is a request that has not ended.
type openRequest struct {
	requestSpec
	router   *simulatedRouter
	attempts ident.Attempt
	excluded map[ident.Engine]bool
}

// inFlightAttempt is one attempt on its way to, or running on, an engine.
type inFlightAttempt struct {
	request *openRequest
	placed  placement.Placed
	sentAt  time.Time
	first   time.Duration
}

// dispatchRecord is one placement decision of a core.
type dispatchRecord struct {
	at      time.Time
	attempt attemptID
	router  string
	engine  ident.Engine
	version ident.ModelVersion
	// credited is the number of prompt tokens that the core expected to be cached.
	credited float64
	// creditUnfounded is set for a credit if the expected incarnation is not the
	// engine's current one, or neither held nor was sent the prompt's first block.
	creditUnfounded bool
	// endedFor is the time since the end of the expected incarnation, or 0.
	endedFor time.Duration
}

// arrival is an attempt that reached an engine, accepted or refused.
type arrival struct {
	at     time.Time
	engine ident.Engine
}

// attemptID identifies an attempt in the truth records.
type attemptID struct {
	request ident.Request
	number  ident.Attempt
}

// sentBlock is a block of a chain that was dispatched to one incarnation.
type sentBlock struct {
	incarnation ident.Incarnation
	hash        prefix.Hash
}

// sharedPrompt returns a prompt with a long shared prefix and a short unique end.
func sharedPrompt(shared string, end int) string {
	const sharedTokens, bytes = 512, prefix.BytesPerToken
	text := strings.Repeat(shared+" firm policy and regional rules. ", sharedTokens)[:sharedTokens*bytes]
	return text + fmt.Sprintf(" order number %d", end)
}

// offerLoad offers requests of two tenants to the routers in turn for the duration.
func (s *simulation) offerLoad(duration time.Duration) {
	const pause = 20 * time.Millisecond
	tenants := []ident.Tenant{"haulier-1", "haulier-2"}
	for end := s.now.Add(duration); s.now.Before(end); s.run(pause) {
		number := s.offered
		s.offer(s.routers[number%len(s.routers)], requestSpec{
			tenant: tenants[number/2%len(tenants)], zones: []ident.Zone{"z"},
			versions: []ident.ModelVersion{"v2", "v1"}, prompt: sharedPrompt(s.shared[number%len(s.shared)], number),
		})
	}
}

// offer offers a new request to a router.
func (s *simulation) offer(router *simulatedRouter, spec requestSpec) {
	s.offered++
	id := ident.Request(fmt.Sprintf("r-%06d", s.offered))
	s.open[id] = &openRequest{requestSpec: spec, router: router, excluded: map[ident.Engine]bool{}}
	s.place(id)
}

// place offers the request's next attempt to the router's core.
func (s *simulation) place(id ident.Request) {
	open := s.open[id]
	open.attempts++
	request := framework.Request{
		ID: id, Tenant: open.tenant, Service: "s", Model: "m", Versions: open.versions, Excluded: open.excluded,
		Zones: map[ident.Zone]bool{}, Chains: map[ident.ModelVersion]prefix.Chain{},
		BlockTokens: prefix.DefaultBlockTokens, PromptTokens: prefix.Tokens(open.prompt), RecomputationWeight: 1,
	}
	for _, zone := range open.zones {
		request.Zones[zone] = true
	}
	for _, version := range open.versions {
		request.Chains[version] = prefix.ChainOf(open.salt(version), open.prompt, prefix.DefaultBlockTokens)
	}
	s.applyEffects(open.router, open.router.core.Offer(s.now, &placement.Job{
		Key: placement.AttemptKeyOf(id, open.attempts), Request: request, Weight: 1, MaxHold: virtualMaxHold,
	}))
}

func (r *requestSpec) salt(version ident.ModelVersion) prefix.Salt {
	return prefix.Namespace{Tenant: r.tenant, Model: "m", Version: version}.Salt()
}

// applyEffects carries out the effects that a core returned.
func (s *simulation) applyEffects(router *simulatedRouter, effects placement.Effects) {
	for _, change := range effects.Changes {
		router.onChange(change)
	}
	for _, refused := range effects.Refused {
		delete(s.open, refused.Key.Request)
		s.refused = append(s.refused, refused)
	}
	for _, placed := range effects.Placed {
		s.dispatch(router, placed)
	}
}

// dispatch records a decision and sends the attempt on its way.
func (s *simulation) dispatch(router *simulatedRouter, placed placement.Placed) {
	chosen := placed.Candidate
	chain := placed.Job.Request.Chains[chosen.Version]
	incarnation := chosen.Endpoint.Incarnation
	engine := s.engine(chosen.Endpoint.Engine)
	current := engine.Alive() && engine.Incarnation() == incarnation
	founded := current && (engine.stored[chain[0]] || router.sent[sentBlock{incarnation, chain[0]}])
	endedFor := time.Duration(0)
	if !current {
		endedFor = s.now.Sub(engine.endedAt)
	}
	s.dispatches = append(s.dispatches, dispatchRecord{
		at: s.now, attempt: attemptID{placed.Job.Request.ID, placed.Job.Key.Attempt}, router: router.name, engine: engine.name, version: chosen.Version,
		credited: chosen.CreditTokens, creditUnfounded: chosen.CreditTokens >= 1 && !founded, endedFor: endedFor,
	})
	for _, hash := range chain {
		router.sent[sentBlock{incarnation, hash}] = true
	}
	sentAttempt := &inFlightAttempt{request: s.open[placed.Job.Request.ID], placed: placed, sentAt: s.now}
	s.after(router.dispatchDelay, func() { s.arrive(sentAttempt) })
}

// arrive submits an attempt to its engine with the engine protocol.
func (s *simulation) arrive(attempt *inFlightAttempt) {
	chosen, request := attempt.placed.Candidate, attempt.request
	engine := s.engine(chosen.Endpoint.Engine)
	if !engine.Alive() {
		request.excluded[engine.name] = true
		s.finish(attempt, placement.Result{Unreachable: true})
		return
	}
	s.arrivals = append(s.arrivals, arrival{s.now, engine.name})
	stream, refusal := engine.Submit(s.now, protocol.GenerateRequest{
		RequestID: attempt.placed.Job.Request.ID, Attempt: attempt.placed.Job.Key.Attempt,
		ExpectedIncarnation: chosen.Endpoint.Incarnation, Tenant: request.tenant, Model: "m",
		Version: chosen.Version, Salt: request.salt(chosen.Version), Prompt: request.prompt, MaxTokens: 2,
	})
	if refusal != nil {
		request.router.removeRefused(attempt)
		request.excluded[engine.name] = refusal.Incarnation == chosen.Endpoint.Incarnation
		s.finish(attempt, placement.Result{Refusal: refusal.Kind, Incarnation: refusal.Incarnation})
		return
	}
	request.router.inFlight[stream] = attempt
}

// removeRefused removes a refused dispatch: its incarnation will not hold the blocks.
func (r *simulatedRouter) removeRefused(attempt *inFlightAttempt) {
	chosen := attempt.placed.Candidate
	for _, hash := range attempt.placed.Job.Request.Chains[chosen.Version] {
		delete(r.sent, sentBlock{chosen.Endpoint.Incarnation, hash})
	}
}

// applyStreamEvent gives a stream event to the router that reads the stream.
func (s *simulation) applyStreamEvent(event *protocol.StreamEvent) {
	for _, router := range s.routers {
		reader := router.inFlight[event.Stream]
		if reader == nil {
			continue
		}
		if event.Kind == protocol.EventStart {
			router.core.RecordStart(s.now, reader.placed.Job.Key, event.Incarnation, *event.Usage)
		}
		if event.Kind == protocol.EventChunk && reader.first == 0 {
			reader.first = s.now.Sub(reader.sentAt)
		}
		if event.Kind == protocol.EventEnd {
			delete(router.inFlight, event.Stream)
			s.answered++
			s.finish(reader, placement.Result{Incarnation: event.Incarnation, TimeToFirstToken: reader.first})
		}
	}
}

// finish ends an attempt and, unless it was answered, starts the next one until
// virtualAttempts is reached.
func (s *simulation) finish(attempt *inFlightAttempt, result placement.Result) {
	id := attempt.placed.Job.Request.ID
	router := attempt.request.router
	s.applyEffects(router, router.core.RecordEnd(s.now, attempt.placed.Job.Key, result))
	answered := result.Refusal == "" && !result.Unreachable && !result.Broken
	if answered || attempt.request.attempts == virtualAttempts {
		delete(s.open, id)
		return
	}
	s.place(id)
}
