package scale

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/fieldpond/fieldpond/internal/admission"
	"github.com/fieldpond/fieldpond/internal/endpoint"
	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/placement"
	"github.com/fieldpond/fieldpond/internal/prefix"
	"github.com/fieldpond/fieldpond/internal/prefix/beliefs"
	"github.com/fieldpond/fieldpond/internal/prefix/directory"
	"github.com/fieldpond/fieldpond/internal/routing"
	"github.com/fieldpond/fieldpond/internal/routing/framework"
)

const (
	modelVersion = ident.ModelVersion("v1")
	// sharedBlocks and ownBlocks make up a prompt: a long prefix that the
	// tenant's requests share, and a part of their own.
	sharedBlocks, ownBlocks = 64, 16
	// popularity is the exponent of the Zipf law by which tenants ask.
	popularity = 1.1
	// startTime is from arrival at an engine to its first answer; serviceTime
	// to its last: 209 tokens at 28 ms.
	startTime   = 100 * time.Millisecond
	serviceTime = 5850 * time.Millisecond
	// pollTick, pollsPerTick and pollInterval are those of a real router.
	pollTick     = 50 * time.Millisecond
	pollsPerTick = 8
	pollInterval = 250 * time.Millisecond
	maxHold      = 2 * time.Second
)

// allZones permits every zone.
var allZones = func() map[ident.Zone]bool {
	zones := map[ident.Zone]bool{}
	for zone := range zoneCount {
		zones[zoneName(zone)] = true
	}
	return zones
}()

// job is one request on its way through a hollow router.
type job struct {
	placement.Job
	prefix int
	chain  prefix.Chain
}

// delivery is a directory message on the wire, as a real router sends it.
type delivery struct {
	From    ident.Node        `cbor:"1,keyasint"`
	Message directory.Message `cbor:"2,keyasint"`
}

// encoded returns a value as CBOR.
func encoded(value any) []byte {
	body, err := cbor.Marshal(value)
	if err != nil {
		panic(err) // only a type that CBOR does not know can do this
	}
	return body
}

func decodedDelivery(body []byte) delivery {
	var decoded delivery
	if err := cbor.Unmarshal(body, &decoded); err != nil {
		panic(err) // it was encoded by this program a moment ago
	}
	return decoded
}

// receiptBytes is the size of the reply to a delivery.
const receiptBytes = 1

// load gives every router its placement core and starts requests, load reports
// and cache events.
func (c *cluster) load() error {
	c.addEngines()
	c.assignReaders(c.nodes[0].net.Machine.View())
	c.loaded = true
	tenants := rand.NewZipf(c.random, popularity, 1, uint64(c.config.prefixes()-1))
	for _, node := range c.nodes {
		if err := node.equip(); err != nil {
			return err
		}
		c.network.After(time.Duration(c.random.Int63n(int64(pollTick))), node.poll)
		c.arriveLater(node, tenants)
	}
	for _, engine := range c.engines {
		c.network.After(time.Duration(c.random.Int63n(int64(batchPeriod))), func() { c.sendEvents(engine) })
	}
	return nil
}

// equip gives a router its placement core, configured as a real one is.
func (h *hollow) equip() error {
	scheduler, err := routing.NewPredictive(routing.Config{})
	if err != nil {
		return err
	}
	believed, err := beliefs.New(beliefs.Config{}, h.now())
	if err != nil {
		return err
	}
	prefixes, err := directory.New(directory.Config{}, believed)
	if err != nil {
		return err
	}
	h.directory = prefixes
	h.core = placement.New(placement.Config{
		Scheduler: scheduler, Beliefs: believed, Directory: prefixes, Queue: admission.NewQueue(admission.Config{}),
		NewLimiter: func() admission.Limiter { return admission.NewGradientLimiter(admission.LimitBounds{}) },
		Hop:        func(zone ident.Zone) time.Duration { return hopTo(h.net.Member.Zone, zone) },
	})
	h.core.SetView(h.net.Machine.View())
	targets := make([]endpoint.Target, 0, len(h.cluster.engines))
	for _, engine := range h.cluster.engines {
		targets = append(targets, endpoint.Target{
			Engine: engine.name, Address: string(engine.name) + ".example:8000", Zone: zoneName(engine.zone),
			PrefillPerToken: 100 * time.Microsecond,
		})
	}
	h.act(h.core.Configure(h.now(), targets))
	return nil
}

func hopTo(home, zone ident.Zone) time.Duration {
	if home == zone {
		return delayWithinZone
	}
	return delayBetweenZones
}

// poll reads the load reports that are due.
func (h *hollow) poll() {
	if !h.cluster.loaded {
		return
	}
	h.cluster.network.After(pollTick, h.poll)
	var due []endpoint.Question
	h.busy(dutyLoad, func() { due = h.core.Registry().Due(h.now(), pollInterval, pollsPerTick) })
	h.input(dutyRequests, func(now time.Time) placement.Effects { return h.core.Tick(now) })
	for _, question := range due {
		engine := h.cluster.engineByName[question.Engine]
		h.traffic[dutyLoad].sent(loadRequestHeaders + segmentOverhead)
		h.cluster.network.After(2*zoneDelay(h.zone, engine.zone), func() {
			h.traffic[dutyLoad].received(engine.reportBytes + loadReplyHeaders + segmentOverhead)
			h.input(dutyLoad, func(now time.Time) placement.Effects {
				return h.core.Reported(now, engine.name, engine.report(now))
			})
		})
	}
}

// arriveLater plans the next request of a router.
func (c *cluster) arriveLater(node *hollow, tenants *rand.Zipf) {
	mean := float64(time.Second) * TargetNodes / targetRequests
	c.network.After(time.Duration(c.random.ExpFloat64()*mean), func() {
		if !c.loaded {
			return
		}
		node.offer(int(tenants.Uint64()))
		c.arriveLater(node, tenants)
	})
}

// offer gives a router one request of a tenant. Tenants are spread over the
// models and may be served in every zone.
func (h *hollow) offer(tenant int) {
	h.requests++
	id := ident.Request(fmt.Sprintf("%s-%d", h.net.Member.Node, h.requests))
	chain := make(prefix.Chain, 0, sharedBlocks+ownBlocks)
	for block := range uint64(sharedBlocks) {
		chain = append(chain, prefix.Hash((uint64(tenant+1)<<16+block)*0xff51afd7ed558ccd))
	}
	for range ownBlocks {
		chain = append(chain, prefix.Hash(h.cluster.random.Uint64()))
	}
	request := &job{prefix: tenant, chain: chain, Job: placement.Job{
		Key: placement.AttemptKeyOf(id, 1), Weight: 1, MaxHold: maxHold,
		Request: framework.Request{
			ID: id, Tenant: ident.Tenant(fmt.Sprintf("tenant-%d", tenant)), Service: "service",
			Model: modelName(tenant % h.cluster.modelCount()), Versions: []ident.ModelVersion{modelVersion},
			Zones: allZones, Chains: map[ident.ModelVersion]prefix.Chain{modelVersion: chain},
			BlockTokens: prefix.DefaultBlockTokens, PromptTokens: len(chain) * prefix.DefaultBlockTokens,
			RecomputationWeight: 1, HomeZone: h.net.Member.Zone,
		},
	}}
	h.jobs[request.Key] = request
	h.input(dutyRequests, func(now time.Time) placement.Effects { return h.core.Offer(now, &request.Job) })
}

// input gives the core one input, counts its time and does what it asks for.
func (h *hollow) input(duty duty, give func(now time.Time) placement.Effects) {
	var effects placement.Effects
	h.busy(duty, func() { effects = give(h.now()) })
	h.act(effects)
	h.planTick()
}

// planTick plans the core's own next tick.
func (h *hollow) planTick() {
	next, waits := h.core.NextTick()
	if !waits || (h.tickAt.After(h.now()) && !next.Before(h.tickAt)) {
		return
	}
	h.tickAt = next
	h.cluster.network.After(max(0, next.Sub(h.now())), func() {
		h.input(dutyRequests, func(now time.Time) placement.Effects { return h.core.Tick(now) })
	})
}

func (h *hollow) act(effects placement.Effects) {
	for _, placed := range effects.Placed {
		h.run(placed)
	}
	for _, refused := range effects.Refused {
		h.refused++
		delete(h.jobs, refused.Key)
	}
	for _, envelope := range effects.Messages {
		h.deliver(envelope)
	}
}

// run carries a placed request to its engine and back.
func (h *hollow) run(placed placement.Placed) {
	h.placed++
	key := placed.Job.Key
	request := h.jobs[key]
	delete(h.jobs, key)
	engine := h.cluster.engineByName[placed.Candidate.Endpoint.Engine]
	hop := zoneDelay(h.zone, engine.zone)
	engine.running++
	held := engine.accept(h.now(), request)
	usage := protocol.Usage{PromptTokens: request.Request.PromptTokens, CachedTokens: held * prefix.DefaultBlockTokens}
	h.cluster.network.After(startTime+2*hop, func() {
		h.busy(dutyRequests, func() { h.core.Started(h.now(), key, engine.incarnation, usage) })
	})
	h.cluster.network.After(serviceTime+2*hop, func() {
		engine.running--
		h.input(dutyRequests, func(now time.Time) placement.Effects {
			return h.core.Ended(now, key, placement.Result{
				Incarnation: engine.incarnation, TimeToFirstToken: startTime + 2*hop, Duration: serviceTime,
			})
		})
	})
}

// deliver sends one directory message, as a real router does: by a call each.
func (h *hollow) deliver(envelope directory.Envelope) {
	to := h.cluster.byName[envelope.To]
	var body []byte
	h.busy(dutyDirectory, func() { body = encoded(delivery{h.net.Member.Node, envelope.Message}) })
	h.cluster.call(exchange{
		duty: dutyDirectory, from: h, to: to, request: len(body), timeout: time.Second,
		serve: func() (int, bool) {
			to.input(dutyDirectory, func(now time.Time) placement.Effects {
				return to.core.DirectoryMessage(now, h.net.Member.Node, decodedDelivery(body).Message)
			})
			return receiptBytes, true
		},
		done: func(bool) {},
	})
}
