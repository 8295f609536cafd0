package backend

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/mechanism"
)

// maxStaleCost is the cost of older weights when nearly all engines have the newest: short
// prompts move to those, and long ones, whose shared part would have to be prefilled again,
// mostly stay.
const maxStaleCost = 75 * time.Millisecond

// saturatedCongestion is the congestion, a mean lateness of 210 ms, at which engines are chosen by
// load alone, and not quiesced before they load weights: every engine is needed then.
const saturatedCongestion = 2.1

// newest returns the newest published version of the model, 0 if there is none.
func (q *Query) newest() int {
	if len(q.Expiries) == 0 {
		return 0
	}
	return q.Expiries[len(q.Expiries)-1].Version
}

// staleCost returns the cost of an engine with older weights than the newest. It grows with the
// share of engines that have the newest, so that the first of them are not flooded.
func (r *Registry) staleCost(now time.Time, query *Query) time.Duration {
	newest := query.newest()
	if newest == 0 || !r.config.Disabled.Enabled(mechanism.NewerWeights) {
		return 0
	}
	current, all := 0, 0
	for _, candidate := range r.services[query.Service] {
		if !candidate.eligible(now, query) {
			continue
		}
		all++
		if candidate.version(now, query.Model) >= newest {
			current++
		}
	}
	if current == all {
		return 0
	}
	cost := r.headroom(now, query.Service) * maxStaleCost.Seconds() * float64(current) / float64(all)
	return time.Duration(cost * float64(time.Second))
}

// Headroom returns 1 while a service's answers come as predicted, down to 0 when it is
// saturated.
func (r *Registry) Headroom(now time.Time, service ident.Service) float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.headroom(now, service)
}

func (r *Registry) headroom(now time.Time, service ident.Service) float64 {
	return min(max(1-r.congestion(now, service)/saturatedCongestion, 0), 1)
}

// stale reports whether an engine has older weights than the newest.
func (s *state) stale(now time.Time, query *Query) bool {
	return s.version(now, query.Model) < query.newest()
}
