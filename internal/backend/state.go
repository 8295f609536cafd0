package backend

import (
	"math"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// state is what is believed of one back end.
type state struct {
	record Record
	*words
	// missing says that the newest list lacks the back end, which may come back.
	missing bool
	// flights are the attempts under way.
	flights map[*Attempt]struct{}
	// heardAt is when a byte of any attempt last came.
	heardAt time.Time
	// pausedUntil ends the rest after a failure or a refusal; pause is the
	// length of the last one after a failure.
	pausedUntil time.Time
	pause       time.Duration
	// silentFrom and silentUntil bound the time for which other routers told that
	// the back end does not answer.
	silentFrom, silentUntil time.Time
	// goneUntil ends the time for which another back end was found at the address.
	goneUntil time.Time
	// told is the queue that another router saw there.
	told queue
	// tried and failed count recent attempts, halved every failureHalfLife.
	tried, failed float64
	decayedAt     time.Time
	// late shows the load that other routers make.
	late lateness
	// assumed is a version of a model's weights that the back end is taken to
	// have until assumedUntil, ahead of the list.
	assumed      int
	assumedModel ident.Model
	assumedUntil time.Time
	// loading is the version of a model's weights that the back end is taking; it
	// is thought to refuse work of that model until loadingUntil, and to have the
	// version from then on.
	loading      int
	loadingModel ident.Model
	loadingUntil time.Time
}

// takesWeights reports whether the back end refuses work of a model because it
// takes new weights.
func (s *state) takesWeights(now time.Time, model ident.Model) bool {
	return model == s.loadingModel && now.Before(s.loadingUntil) && s.record.Models[model] < s.loading
}

// takesNewer reports whether the back end was told to take newer weights of a model than a
// version, and the list need not have told them yet.
func (s *state) takesNewer(now time.Time, model ident.Model, version int) bool {
	return model == s.loadingModel && version < s.loading && now.Before(s.loadingUntil.Add(assumedFor))
}

// version returns the version of a model's weights that an attempt is meant for.
func (s *state) version(now time.Time, model ident.Model) int {
	version := s.record.Models[model]
	if model == s.assumedModel && now.Before(s.assumedUntil) {
		version = max(version, s.assumed)
	}
	loaded := !now.Before(s.loadingUntil) && now.Before(s.loadingUntil.Add(assumedFor))
	if model == s.loadingModel && loaded {
		version = max(version, s.loading)
	}
	return version
}

// excessAt returns by how much answers lately came later than predicted, as far as it
// is not forgotten.
func (s *state) excessAt(now time.Time) time.Duration { return s.late.at(now) }

// eligible reports whether the back end may get the attempt.
func (s *state) eligible(now time.Time, query *Query) bool {
	if query.AvoidRecentBackoff && s.rest.doubted(now) {
		return false
	}
	return s.hasRoom(now) && !s.limit.usedUp(now) && !now.Before(s.pausedUntil) && s.fit(now, query)
}

// fit reports whether the back end could take the attempt, its limit, rest and pauses aside.
func (s *state) fit(now time.Time, query *Query) bool {
	if !s.serves(now, query) || query.excludes(s.record.Instance) || s.gone(now) {
		return false
	}
	if query.Model == "" {
		return true
	}
	_, holds := s.record.Models[query.Model]
	return holds && !s.takesWeights(now, query.Model)
}

// serves reports whether the back end does not leave, or may take an attempt for which there is
// no other one.
func (s *state) serves(now time.Time, query *Query) bool {
	return !s.leaving.begun() || (s.leaving.own() && now.Before(s.leaving.since.Add(query.leavingServes)))
}

// versionRisk says whether the attempt may begin on the back end's weights
// before they expire, given the time it is expected to wait.
func (s *state) versionRisk(now time.Time, query *Query, predicted time.Duration) versionRisk {
	version := s.version(now, query.Model)
	for _, expiry := range query.Expiries {
		if expiry.Version <= version {
			continue
		}
		if now.Add(beginFactor*predicted + s.excessAt(now)).After(expiry.At) {
			return versionExpired
		}
		if expiry.Uncertain {
			return versionUncertain
		}
	}
	return versionSound
}

// versionRisk is what is known of the age of a back end's weights.
type versionRisk uint8

const (
	versionSound versionRisk = iota
	versionUncertain
	versionExpired
)

// waitingTokens returns the tokens of this router's attempts that are still to be
// read.
func (s *state) waitingTokens() int {
	waiting := 0
	for flight := range s.flights {
		if !flight.first {
			waiting += flight.tokens
		}
	}
	return waiting
}

// toldSilent reports whether the back end does not answer other routers, nor this one
// since it was told so first.
func (s *state) toldSilent(now time.Time) bool {
	return now.Before(s.silentUntil) && !s.heardAt.After(s.silentFrom)
}

// silence returns for how long the back end owes a byte.
func (s *state) silence(now time.Time) time.Duration {
	longest := time.Duration(0)
	for flight := range s.flights {
		since := flight.dueAt
		if s.heardAt.After(since) {
			since = s.heardAt
		}
		if !flight.first {
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
