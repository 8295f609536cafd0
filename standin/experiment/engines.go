package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fieldpond/fieldpond/internal/endpoint"
	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/fleet"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/prefix"
	"github.com/fieldpond/fieldpond/standin/engine/model"
	"github.com/fieldpond/fieldpond/standin/truth"
)

// engineNode drives one engine model and handles its outputs.
type engineNode struct {
	simulation   *simulation
	name         ident.Engine
	zone         ident.Zone
	model        *model.Engine
	incarnations int
	// wakeAt is the earliest wake-up scheduled, if any.
	wakeAt   time.Time
	attempts map[endpoint.AttemptKey]*attempt
	// order lists the attempts in order of acceptance, for deterministic iteration.
	order []*attempt
}

func newEngineNode(s *simulation, config model.Config, random *rand.Rand) *engineNode {
	node := &engineNode{
		simulation: s, name: config.Name, zone: config.Zone,
		attempts: make(map[endpoint.AttemptKey]*attempt),
	}
	node.model = model.New(config, node.nextIncarnation(), random, s.start)
	return node
}

func modelsOf(file *fleet.Compiled, configured *fleet.Engine) []protocol.LoadedModel {
	var loaded []protocol.LoadedModel
	for _, name := range configured.Models {
		if known, found := file.Model(name); found {
			loaded = append(loaded, protocol.LoadedModel{Model: known.Name, Version: known.Version, Adapters: known.Adapters})
		}
	}
	return loaded
}

func (n *engineNode) nextIncarnation() ident.Incarnation {
	n.incarnations++
	return ident.Incarnation(fmt.Sprintf("%s-life-%d", n.name, n.incarnations))
}

// drainOutputs handles the engine's outputs and schedules its next wake-up. Call
// it after each call of a model method.
func (n *engineNode) drainOutputs() {
	now := n.simulation.clock.now
	for _, output := range n.model.Advance(now) {
		switch {
		case output.Event != nil:
			n.applyStreamEvent(output.Event)
		case output.Batch != nil:
			n.simulation.deliverEvents(n, *output.Batch)
		case output.Truth != nil:
			n.recordTruth(output.Truth)
		}
	}
	next, found := n.model.NextTime()
	if !found || (n.wakeAt.After(now) && !next.Before(n.wakeAt)) {
		return
	}
	n.wakeAt = next
	n.simulation.clock.at(next, func() {
		if n.wakeAt.Equal(next) {
			n.wakeAt = time.Time{}
		}
		n.drainOutputs()
	})
}

// submit offers an attempt to the engine.
func (n *engineNode) submit(sent *attempt) {
	if sent.done {
		return
	}
	if !n.model.Alive() {
		sent.deliverToRouter(func() { sent.unreachable() })
		return
	}
	_, refusal := n.model.Submit(n.simulation.clock.now, sent.request())
	if refusal != nil {
		sent.deliverToRouter(func() { sent.refused(refusal) })
		return
	}
	n.attempts[sent.key] = sent
	n.order = append(n.order, sent)
	n.drainOutputs()
}

// applyStreamEvent applies a stream event to its attempt.
func (n *engineNode) applyStreamEvent(event *protocol.StreamEvent) {
	matched := n.attempts[endpoint.AttemptKey{Request: event.RequestID, Attempt: event.Attempt}]
	if matched == nil {
		return
	}
	matched.stream = event.Stream
	switch event.Kind {
	case protocol.EventStart:
		usage, incarnation := *event.Usage, event.Incarnation
		matched.deliverToRouter(func() { matched.accepted(incarnation, usage) })
	case protocol.EventChunk:
		matched.chunk(event.Text, event.Tokens)
	case protocol.EventEnd:
		n.removeAttempt(matched)
		matched.deliverToRouter(matched.completed)
	}
}

func (n *engineNode) removeAttempt(removed *attempt) {
	delete(n.attempts, removed.key)
	for index, known := range n.order {
		if known == removed {
			n.order = append(n.order[:index], n.order[index+1:]...)
			return
		}
	}
}

// recordTruth measures a truth record of an attempt.
func (n *engineNode) recordTruth(record *truth.Record) {
	matched := n.attempts[endpoint.AttemptKey{Request: record.RequestID, Attempt: record.Attempt}]
	if matched == nil || !matched.exchange.measured {
		return
	}
	switch record.Kind {
	case truth.Started:
		n.simulation.measures.recordStarted(matched, record)
	case truth.Lost, truth.Cancelled:
		n.simulation.measures.discarded += int64(record.PrefilledTokens + record.GeneratedTokens)
	}
}

// crash ends the engine's incarnation and its streams.
func (n *engineNode) crash() {
	n.model.Crash(n.simulation.clock.now)
	n.drainOutputs()
	broken := n.order
	n.attempts, n.order = make(map[endpoint.AttemptKey]*attempt), nil
	for _, lost := range broken {
		lost.deliverToRouter(lost.broken)
	}
}

func (n *engineNode) restart() {
	n.model.Restart(n.simulation.clock.now, n.nextIncarnation())
	n.drainOutputs()
}

func (n *engineNode) cancel(cancelled *attempt) {
	if n.attempts[cancelled.key] == cancelled {
		n.model.Cancel(n.simulation.clock.now, cancelled.stream)
		n.drainOutputs()
		n.removeAttempt(cancelled)
	}
}

// exactCredits reads the actual cache contents, including the blocks of prompts
// that the engine has accepted but not computed yet.
type exactCredits struct {
	simulation *simulation
	// salts holds the salt of each chain by its first hash.
	salts map[uint64]uint64
}

func (e *exactCredits) addSalt(salt prefix.Salt, chain prefix.Chain) {
	if len(chain) > 0 {
		e.salts[uint64(chain[0])] = uint64(salt)
	}
}

// Credit implements framework.Credits.
func (e *exactCredits) Credit(engine ident.Engine, incarnation ident.Incarnation, chain prefix.Chain) float64 {
	node := e.simulation.byName[engine]
	if node == nil || len(chain) == 0 || node.model.Incarnation() != incarnation || !node.model.Alive() {
		return 0
	}
	held := node.model.CachedPrefixBlocks(prefix.Salt(e.salts[uint64(chain[0])]), chain)
	for _, accepted := range node.order {
		held = max(held, commonBlocks(chain, accepted.chain))
	}
	return float64(held)
}

// commonBlocks returns the length of the common prefix of two chains.
func commonBlocks(a, b prefix.Chain) int {
	low, high := 0, min(len(a), len(b))
	for low < high {
		middle := (low + high + 1) / 2
		if a[middle-1] == b[middle-1] {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return low
}
