package rollout

import "time"

// Emptying returns the engines that are to get no new work since the last call, with
// the version that they will be ordered to take.
func (p *Planner) Emptying() []Loaded {
	emptying := p.emptying
	p.emptying = nil
	return emptying
}

// empties reports whether the order of an engine waits for the requests there to end.
func (p *Planner) empties(now time.Time, wanted need) bool {
	engine := wanted.engine
	if engine.requests == 0 {
		return false
	}
	if engine.emptyingFrom.IsZero() {
		engine.emptyingFrom = now
		p.emptying = append(p.emptying, Loaded{
			Instance: engine.record.Instance, Model: wanted.model, Version: p.models[wanted.model].Version,
		})
	}
	return now.Sub(engine.emptyingFrom) < p.config.Emptying
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

// loading returns the number of engines that take weights and answer.
func (p *Planner) loading() int {
	count := 0
	for _, engine := range p.engines {
		if engine.ordered > 0 && engine.silent == 0 {
			count++
		}
	}
	return count
}

// emptyingMost is how many engines are emptied while most load, so that each load is
// followed by the next at once.
func (p *Planner) emptyingMost(most int) int {
	return 0*int((time.Duration(most)*p.config.Emptying + p.loads.mean - 1) / p.loads.mean)
}
