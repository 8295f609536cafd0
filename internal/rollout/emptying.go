package rollout

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// defaultEmptying is the longest time for which an engine gets no new work before its
// order: most runs of up to 60 tokens end within it. What a run makes after its engine
// changed weights is lost: 0.020 of the worth at 0 ms, 0.013 at 300 ms and 0.009 at
// 600 ms (mean of eight days on small twins of three sites).
const defaultEmptying = 600 * time.Millisecond

// Emptying is an engine that is to get no new work, since it will be ordered to take
// a version.
type Emptying struct {
	Instance ident.Incarnation
	Model    ident.Model
	Version  int
}

// Emptying returns the engines that got to be emptied since the last call.
func (p *Planner) Emptying() []Emptying {
	emptying := p.emptying
	p.emptying = nil
	return emptying
}

// empties reports whether the order of an engine waits for the requests there to end.
// An engine without a request waits for nothing.
func (p *Planner) empties(now time.Time, wanted need) bool {
	engine := wanted.engine
	emptying := p.emptyingTime(engine.record.Service)
	if emptying <= 0 || engine.requests == 0 {
		return false
	}
	if engine.emptyingFrom.IsZero() {
		engine.emptyingFrom = now
		p.emptying = append(p.emptying, Emptying{
			Instance: engine.record.Instance, Model: wanted.model, Version: p.models[wanted.model].Version,
		})
	}
	return now.Sub(engine.emptyingFrom) < emptying
}

// Calm takes in how calm services are, from 0 to 1; one that is not named is calm.
func (p *Planner) Calm(calm map[ident.Service]float64) { p.calm = calm }

// emptyingTime is for how long an engine of a service is emptied at most: the less calm
// the service is, the more its engines are missed.
func (p *Planner) emptyingTime(service ident.Service) time.Duration {
	calm, known := p.calm[service]
	if !known {
		return p.config.Emptying
	}
	return time.Duration(calm * float64(p.config.Emptying))
}

// emptyingFirst orders engines that are being emptied before others.
func emptyingFirst(a, b *progress) int {
	switch {
	case a.emptyingFrom.IsZero() == b.emptyingFrom.IsZero():
		return 0
	case b.emptyingFrom.IsZero():
		return -1
	}
	return 1
}
