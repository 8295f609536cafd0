package routing

import (
	"sync"

	"github.com/fieldpond/fieldpond/internal/routing/framework"
	"github.com/fieldpond/fieldpond/internal/routing/rendezvous"
)

// maxShortlists bounds the number of cached shortlists; a full cache is cleared.
const maxShortlists = 4096

// shortlists caches, for each prompt root, the positions of the snapshot that
// rank highest among the endpoints in the request's zones. Roots are salted by
// tenant, so all requests of a root have the same zones. The cache never
// changes the result of a decision.
type shortlists struct {
	// size is the largest number of positions in a list.
	size       int
	mutex      sync.RWMutex
	generation uint64
	lists      map[uint64][]int32
}

// get returns the list of a request's root, best first, and computes it if
// needed. It returns nil for a snapshot of unknown generation.
func (s *shortlists) get(request *framework.Request, snapshot *framework.Snapshot) []int32 {
	if snapshot.Generation == 0 {
		return nil
	}
	key, shared := rendezvous.Key(request)
	if !shared {
		return s.rank(key, request, snapshot)
	}
	s.mutex.RLock()
	list, found := s.lists[key]
	found = found && s.generation == snapshot.Generation
	s.mutex.RUnlock()
	if found {
		return list
	}
	list = s.rank(key, request, snapshot)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.generation != snapshot.Generation || len(s.lists) >= maxShortlists {
		s.generation = snapshot.Generation
		s.lists = make(map[uint64][]int32)
	}
	s.lists[key] = list
	return list
}

func (s *shortlists) rank(key uint64, request *framework.Request, snapshot *framework.Snapshot) []int32 {
	var top rendezvous.Top
	top.Reset(s.size)
	for index := range snapshot.Endpoints {
		endpoint := &snapshot.Endpoints[index]
		if request.Zones[endpoint.Zone] {
			top.Offer(rendezvous.Ranked{Score: rendezvous.Score(key, endpoint.Engine), Engine: endpoint.Engine, Index: int32(index)})
		}
	}
	ranked := top.Sorted()
	list := make([]int32, len(ranked))
	for position := range ranked {
		list[position] = ranked[position].Index
	}
	return list
}
