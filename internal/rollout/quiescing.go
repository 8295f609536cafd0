package rollout

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// defaultQuiesceTime is the longest time for which an engine gets no new work before its order:
// enough for most short requests to end, since output after a change of weights is lost.
const defaultQuiesceTime = 600 * time.Millisecond

// QuiescingEngine is an engine that gets no new work, since it will be ordered to load a version.
type QuiescingEngine struct {
	Instance ident.Incarnation
	Model    ident.Model
	Version  int
}

// Quiescing returns the engines that began to quiesce since the last call.
func (p *Planner) Quiescing() []QuiescingEngine {
	quiescing := p.quiescing
	p.quiescing = nil
	return quiescing
}

// awaitsQuiescence reports whether the order of an engine has to wait for the engine's requests to
// end.
func (p *Planner) awaitsQuiescence(now time.Time, update pendingUpdate) bool {
	engine := update.engine
	longest := p.quiesceTime(engine.record.Service)
	if longest <= 0 || engine.requests == 0 {
		return false
	}
	if engine.quiescingSince.IsZero() {
		engine.quiescingSince = now
		p.quiescing = append(p.quiescing, QuiescingEngine{
			Instance: engine.record.Instance, Model: update.model, Version: p.models[update.model].Version,
		})
	}
	return now.Sub(engine.quiescingSince) < longest
}

// SetHeadroom sets the headroom of services, from 0 (saturated) to 1 (idle); 1 is assumed for a
// service without an entry.
func (p *Planner) SetHeadroom(headroom map[ident.Service]float64) { p.headroom = headroom }

// quiesceTime is the longest time for which an engine of a service quiesces: the less headroom the
// service has, the more it needs the engine.
func (p *Planner) quiesceTime(service ident.Service) time.Duration {
	headroom, known := p.headroom[service]
	if !known {
		return p.config.QuiesceTime
	}
	return time.Duration(headroom * float64(p.config.QuiesceTime))
}

// quiescingFirst sorts quiescing engines before others.
func quiescingFirst(a, b *engineState) int {
	switch {
	case a.quiescingSince.IsZero() == b.quiescingSince.IsZero():
		return 0
	case b.quiescingSince.IsZero():
		return -1
	}
	return 1
}
