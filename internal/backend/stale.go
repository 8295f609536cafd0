package backend

import "time"

const (
	// stalePriceMost is the price of older weights when nearly all engines have newer ones.
	stalePriceMost = 75 * time.Millisecond
)

// newest returns the newest version that was named of the model.
func (q *Query) newest() int {
	if len(q.Expiries) == 0 {
		return 0
	}
	return q.Expiries[len(q.Expiries)-1].Version
}

// stalePrice is the price of an engine with older weights than the newest: it grows
// with the part of engines that have those, so that the first of them are not flooded.
func (r *Registry) stalePrice(now time.Time, query *Query) time.Duration {
	newest := query.newest()
	if newest == 0 {
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
	if all == 0 || have == all {
		return 0
	}
	return stalePriceMost * time.Duration(have) / time.Duration(all)
}
