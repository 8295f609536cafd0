package exchange

import "time"

// suspicionMemory is how long after a connection was found silent a new one to its
// address shows that the address lived meanwhile: back ends that crashed are away for
// longer, seconds at least.
const suspicionMemory = 2 * time.Second

// finding is a connection that was found silent.
type finding struct {
	at time.Time
	// since is a time at which the connection was silent already.
	since time.Time
}

// suspicion decides when the silence of a connection is taken for a fault of all that
// were open then. An address that takes no new connection says nothing: it is down,
// and the others are not. To wait for a second address that lives costs 23 of 192
// unsafe requests on a day with four such faults, and saves no new connection on
// days without one.
type suspicion struct{ found map[string]finding }

// silent takes in that a connection to an address has been silent since a time.
func (s *suspicion) silent(now time.Time, address string, since time.Time) {
	if s.found == nil {
		s.found = make(map[string]finding)
	}
	if known, found := s.found[address]; found && now.Sub(known.at) <= suspicionMemory {
		return
	}
	s.found[address] = finding{at: now, since: since}
}

// opened takes in that a new connection to an address was opened. It returns true,
// once, if no connection that was not heard since the returned time is to be used.
func (s *suspicion) opened(now time.Time, address string) (since time.Time, all bool) {
	known, found := s.found[address]
	if !found {
		return time.Time{}, false
	}
	delete(s.found, address)
	return known.since, now.Sub(known.at) <= suspicionMemory
}

// prune forgets findings that are too old to be confirmed.
func (s *suspicion) prune(now time.Time) {
	for address, known := range s.found {
		if now.Sub(known.at) > suspicionMemory {
			delete(s.found, address)
		}
	}
}
