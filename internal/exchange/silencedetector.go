package exchange

import "time"

// confirmationWindow is how long after a connection was found silent a new one to its
// address proves that the address was reachable all along: crashed back ends are
// unreachable for longer.
const confirmationWindow = 2 * time.Second

// finding is a connection found silent.
type finding struct {
	at time.Time
	// since is a time at which the connection was already silent.
	since time.Time
}

// silenceDetector decides whether a silent connection indicates a fault of all that
// were open then: only if its address accepts new connections. Otherwise that address
// is down, which is no evidence about others. One reachable address is enough, since
// waiting for a second one fails more requests.
type silenceDetector struct{ findings map[string]finding }

// recordSilent records that a connection to an address has been silent since a time.
func (s *silenceDetector) recordSilent(now time.Time, address string, since time.Time) {
	if s.findings == nil {
		s.findings = make(map[string]finding)
	}
	if known, found := s.findings[address]; found && now.Sub(known.at) <= confirmationWindow {
		return
	}
	s.findings[address] = finding{at: now, since: since}
}

// recordConnected records a new connection to an address. It returns true, once per
// finding, if all connections that received nothing since the returned time are
// suspect.
func (s *silenceDetector) recordConnected(now time.Time, address string) (since time.Time, suspectAll bool) {
	known, found := s.findings[address]
	if !found {
		return time.Time{}, false
	}
	delete(s.findings, address)
	return known.since, now.Sub(known.at) <= confirmationWindow
}

// prune removes findings that are too old to be confirmed.
func (s *silenceDetector) prune(now time.Time) {
	for address, known := range s.findings {
		if now.Sub(known.at) > confirmationWindow {
			delete(s.findings, address)
		}
	}
}
