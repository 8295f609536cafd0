package rollout

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// defaultQuiesceTime is the longest time for which an engine gets no new work before its
// order: most runs of up to 60 tokens end within it. What a run makes after its engine
// changed weights is lost: 0.020 of the worth at 0 ms, 0.013 at 300 ms and 0.009 at
// 600 ms (mean of eight days on small twins of three sites).
const defaultQuiesceTime = 600 * time.Millisecond

// QuiescingEngine is an engine that is to get no new work, since it will be ordered to take
// a version.
type QuiescingEngine struct {
	Instance ident.Incarnation
	Model    ident.Model
	Version  int
}

// Quiescing returns the engines that got to be emptied since the last call.
func (p *Planner) Quiescing() []QuiescingEngine {
	quiescing := p.quiescing
	p.quiescing = nil
	return quiescing
}

// empties reports whether the order of an engine waits for the requests there to end.
// An engine without a request waits for nothing.
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

// SetHeadroom takes in how calm services are, from 0 to 1; one that is not named is calm.
func (p *Planner) SetHeadroom(headroom map[ident.Service]float64) { p.headroom = headroom }

// quiesceTime is for how long an engine of a service is emptied at most: the less calm
// the service is, the more its engines are missed.
func (p *Planner) quiesceTime(service ident.Service) time.Duration {
	headroom, known := p.headroom[service]
	if !known {
		return p.config.QuiesceTime
	}
	return time.Duration(headroom * float64(p.config.QuiesceTime))
}

// quiescingFirst orders engines that are being emptied before others.
func quiescingFirst(a, b *engineState) int {
	switch {
	case a.quiescingSince.IsZero() == b.quiescingSince.IsZero():
		return 0
	case b.quiescingSince.IsZero():
		return -1
	}
	return 1
}
