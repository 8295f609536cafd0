package catalog

import (
	"sync"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// Splitter divides the requests of each route among its services by smooth weighted round
// robin, so that short sequences of requests meet the shares too. It is safe for concurrent
// use.
type Splitter struct {
	mutex  sync.Mutex
	routes map[string]*splitState
}

// splitState holds the current credit of each share of one route.
type splitState struct {
	shares  []Share
	credits []int
}

// NewSplitter returns a splitter without state.
func NewSplitter() *Splitter { return &Splitter{routes: make(map[string]*splitState)} }

// Next returns the service for the next request of the route, false if no share has a
// positive weight.
func (s *Splitter) Next(route *Route) (ident.Service, bool) {
	if len(route.Split) == 1 {
		return route.Split[0].Service, true
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	state := s.state(route)
	total, best := 0, -1
	for index, share := range route.Split {
		if share.Weight <= 0 {
			continue
		}
		total += share.Weight
		state.credits[index] += share.Weight
		if best < 0 || state.credits[index] > state.credits[best] {
			best = index
		}
	}
	if best < 0 {
		return "", false
	}
	state.credits[best] -= total
	return route.Split[best].Service, true
}

// state returns the credits of a route, reset when its shares changed. The caller holds the
// mutex.
func (s *Splitter) state(route *Route) *splitState {
	state := s.routes[route.Name]
	if state != nil && sameShares(state.shares, route.Split) {
		return state
	}
	state = &splitState{shares: route.Split, credits: make([]int, len(route.Split))}
	s.routes[route.Name] = state
	return state
}

func sameShares(a, b []Share) bool {
	if len(a) != len(b) {
		return false
	}
	for index := range a {
		if a[index] != b[index] {
			return false
		}
	}
	return true
}
