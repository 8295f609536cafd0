package exchange

import "time"

const (
	// suspicionMemory is how long after a connection was found silent a new one to
	// its address shows that the address lives: back ends that crashed are away for
	// longer, seconds at least.
	suspicionMemory = 2 * time.Second
	// suspiciousAddresses is the number of addresses that live, and to which
	// connections fell silent, from which on no connection of that time is trusted.
	suspiciousAddresses = 2
)

// finding is a connection that was found silent.
type finding struct {
	at time.Time
	// since is a time at which the connection was silent already.
	since time.Time
	// lives says that a new connection to the address was opened later.
	lives bool
}

// suspicion decides when the silence of single connections is taken for a fault of
// all that were open then. Addresses that do not take new connections say nothing:
// they are down, and the others are not.
type suspicion struct{ found map[string]*finding }

// silent takes in that a connection to an address has been silent since a time.
func (s *suspicion) silent(now time.Time, address string, since time.Time) {
	if s.found == nil {
		s.found = make(map[string]*finding)
	}
	if known := s.found[address]; known != nil && now.Sub(known.at) <= suspicionMemory {
		return
	}
	s.found[address] = &finding{at: now, since: since}
}

// opened takes in that a new connection to an address was opened. It returns true,
// once, if no connection that was not heard since the returned time is to be used.
func (s *suspicion) opened(now time.Time, address string) (since time.Time, all bool) {
	if len(s.found) == 0 {
		return time.Time{}, false
	}
	if known := s.found[address]; known != nil {
		known.lives = true
	}
	living := 0
	for other, known := range s.found {
		if now.Sub(known.at) > suspicionMemory {
			delete(s.found, other)
			continue
		}
		if !known.lives {
			continue
		}
		living++
		if since.IsZero() || known.since.Before(since) {
			since = known.since
		}
	}
	if living < suspiciousAddresses {
		return time.Time{}, false
	}
	clear(s.found)
	return since, true
}
