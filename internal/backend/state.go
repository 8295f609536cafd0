package backend

import (
	"math"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// state is what is known of one back end.
type state struct {
	record Record
	*advertisedState
	// missing is whether the newest list lacks the back end, which may return.
	missing bool
	// releaseChanged is whether the list has named several releases of this incarnation, so that
	// it is not known which of them began a stream there.
	releaseChanged bool
	// attempts are those in flight.
	attempts   map[*Attempt]struct{}
	lastByteAt time.Time
	// pausedUntil ends the pause after a failure or a refusal; pause is the length of the last
	// one, which the next one in a row doubles.
	pausedUntil time.Time
	pause       time.Duration
	// peerSilentFrom and peerSilentUntil bound the time for which peers reported that the back
	// end does not answer.
	peerSilentFrom, peerSilentUntil time.Time
	// goneUntil ends the time for which the back end counts as gone, as another one was found
	// at its address.
	goneUntil time.Time
	peerQueue peerQueue
	room      room
	// tried and failed count recent attempts, halved every failureHalfLife.
	tried, failed float64
	decayedAt     time.Time
	// lateness shows the load from other routers.
	lateness lateness
	// assumed is a version of a model's weights that the back end is assumed to have until
	// assumedUntil, ahead of the list.
	assumed      int
	assumedModel ident.Model
	assumedUntil time.Time
	// loading is the version of a model's weights that the back end is loading. It is expected
	// to refuse work of that model until loadingUntil, and to have the version from then on.
	loading      int
	loadingModel ident.Model
	loadingUntil time.Time
}

// loadingWeights reports whether the back end refuses work of a model since it is loading new
// weights.
func (s *state) loadingWeights(now time.Time, model ident.Model) bool {
	return model == s.loadingModel && now.Before(s.loadingUntil) && s.record.Models[model] < s.loading
}

// loadingNewer reports whether the back end is loading newer weights of a model than a version,
// or may have them without the list showing it yet.
func (s *state) loadingNewer(now time.Time, model ident.Model, version int) bool {
	return model == s.loadingModel && version < s.loading && now.Before(s.loadingUntil.Add(assumedVersionTTL))
}

// version returns the version of a model's weights that the back end is expected to have.
func (s *state) version(now time.Time, model ident.Model) int {
	version := s.record.Models[model]
	if model == s.assumedModel && now.Before(s.assumedUntil) {
		version = max(version, s.assumed)
	}
	loaded := !now.Before(s.loadingUntil) && now.Before(s.loadingUntil.Add(assumedVersionTTL))
	if model == s.loadingModel && loaded {
		version = max(version, s.loading)
	}
	return version
}

// latenessAt returns how much later than predicted recent answers came, decayed to now.
func (s *state) latenessAt(now time.Time) time.Duration { return s.lateness.at(now) }

// eligible reports whether the back end may get the attempt.
func (s *state) eligible(now time.Time, query *Query) bool {
	if query.AvoidRecentBackoff && s.backoff.recent(now) {
		return false
	}
	return s.backoffAllows(now) && !s.limit.usedUp(now) && !now.Before(s.pausedUntil) && s.suitable(now, query)
}

// suitable reports whether the back end could take the attempt, ignoring its limit, back-off
// and pauses.
func (s *state) suitable(now time.Time, query *Query) bool {
	if query.Continues && s.releaseChanged {
		return false
	}
	if !s.serves(now, query) || query.excludes(s.record.Instance) || s.gone(now) {
		return false
	}
	if query.Model == "" {
		return true
	}
	_, holds := s.record.Models[query.Model]
	return holds && !s.loadingWeights(now, query.Model)
}

// serves reports whether the back end is not draining, or may take an attempt that no other one
// can.
func (s *state) serves(now time.Time, query *Query) bool {
	return !s.drain.active() || (s.drain.advertised() && now.Before(s.drain.since.Add(query.drainServeTime)))
}

// versionRisk returns whether the attempt may begin on the back end's weights before they
// expire, given its predicted wait.
func (s *state) versionRisk(now time.Time, query *Query, predicted time.Duration) versionRisk {
	version := s.version(now, query.Model)
	for _, expiry := range query.Expiries {
		if expiry.Version <= version {
			continue
		}
		if now.Add(beginWaitFactor*predicted + s.latenessAt(now)).After(expiry.At) {
			return versionExpired
		}
		if expiry.Uncertain {
			return versionUncertain
		}
	}
	return versionValid
}

// versionRisk is what is known of the age of a back end's weights.
type versionRisk uint8

const (
	versionValid versionRisk = iota
	versionUncertain
	versionExpired
)

// waitingTokens returns the tokens of this router's attempts that are still to be prefilled.
func (s *state) waitingTokens() int {
	waiting := 0
	for attempt := range s.attempts {
		if !attempt.firstByteReceived {
			waiting += attempt.tokens
		}
	}
	return waiting
}

// peerSilent reports whether the back end does not answer peers, nor this router since a peer
// first reported so.
func (s *state) peerSilent(now time.Time) bool {
	return now.Before(s.peerSilentUntil) && !s.lastByteAt.After(s.peerSilentFrom)
}

// silence returns for how long a byte from the back end has been overdue.
func (s *state) silence(now time.Time) time.Duration {
	longest := time.Duration(0)
	for attempt := range s.attempts {
		since := attempt.expectedAt
		if s.lastByteAt.After(since) {
			since = s.lastByteAt
		}
		if !attempt.firstByteReceived {
			longest = max(longest, now.Sub(since))
		}
	}
	return longest
}

func (s *state) decay(now time.Time) {
	if s.decayedAt.IsZero() {
		s.decayedAt = now
	}
	factor := math.Exp2(-now.Sub(s.decayedAt).Seconds() / failureHalfLife.Seconds())
	s.tried *= factor
	s.failed *= factor
	s.decayedAt = now
}
