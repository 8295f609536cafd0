package backend

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/mechanism"
)

// stalePriceMost is the price of older weights in the choice while nearly all engines
// have the newest: short prompts leave for those, and long ones, whose shared part would
// have to be read anew, mostly stay. Small twins of three sites, mean worth of eight
// days: 0.602 without, 0.607 at 25 ms, 0.614 at 75 ms, 0.611 at 200 ms.
const stalePriceMost = 75 * time.Millisecond

// busyAt is the congestion (a mean lateness of 210 ms) at which engines are chosen by
// load alone, and not emptied before they load: every engine is needed then. Worth of a
// day of high load with 140 engines, one play each: 0.603 without emptying and this
// price, 0.587 with the bound at 3.5, 0.592 at 2.1, 0.610 at 1.4; a fleet over three
// regions, whose distances count as lateness, gains nothing at 0.7 (0.505, as without),
// 0.538 at 2.1 and 0.561 without a bound.
const busyAt = 2.1

// newest returns the newest version that was named of the model, 0 if none was.
func (q *Query) newest() int {
	if len(q.Expiries) == 0 {
		return 0
	}
	return q.Expiries[len(q.Expiries)-1].Version
}

// stalePrice returns the price of an engine with older weights than the newest. It
// grows with the part of the engines that have the newest, so that the first of them
// are not flooded.
func (r *Registry) stalePrice(now time.Time, query *Query) time.Duration {
	newest := query.newest()
	if newest == 0 || !r.config.Disabled.On(mechanism.NewerWeights) {
		return 0
	}
	have, all := 0, 0
	for _, candidate := range r.services[query.Service] {
		if !candidate.eligible(now, query) {
			continue
		}
		all++
		if candidate.version(now, query.Model) >= newest {
			have++
		}
	}
	if have == all {
		return 0
	}
	price := r.calm(now, query.Service) * stalePriceMost.Seconds() * float64(have) / float64(all)
	return time.Duration(price * float64(time.Second))
}

// Headroom returns how calm a service is: 1 while its answers come as predicted, down to 0
// when each of its engines is needed.
func (r *Registry) Headroom(now time.Time, service ident.Service) float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.calm(now, service)
}

func (r *Registry) calm(now time.Time, service ident.Service) float64 {
	return min(max(1-r.congestion(now, service)/busyAt, 0), 1)
}

// stale reports whether an engine has older weights than the newest.
func (s *state) stale(now time.Time, query *Query) bool {
	return s.version(now, query.Model) < query.newest()
}
