package backend

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/mechanism"
)

// Attempt is one attempt under way. Its methods are safe for concurrent use.
type Attempt struct {
	registry *Registry
	target   *state
	tokens   int
	model    ident.Model
	// version is that of the model's weights when the back end was chosen.
	version int
	dueAt   time.Time
	begunAt time.Time
	// sentAt is set if the answer tells how fast the engine reads: no other attempt
	// of this router waits there, and the engine is the prompt's home.
	sentAt time.Time
	first  bool
	// trial says that the back end is one of a few of a release that is being tried: how
	// fast it answers tells nothing of the service's other back ends.
	trial bool
	// servesUntil bounds an attempt that was placed at a back end which leaves; it is zero for
	// others.
	servesUntil time.Time
}

// MustWithdraw reports whether the back end wants no new work any more, so that the attempt is not
// to leave.
func (f *Attempt) MustWithdraw(now time.Time) bool {
	f.registry.mutex.Lock()
	defer f.registry.mutex.Unlock()
	leaves := f.target.leaving.begun() && !now.Before(f.servesUntil)
	return leaves || f.target.rest.on(now)
}

// ObserveBytes takes in that bytes of the attempt's answer came.
func (f *Attempt) ObserveBytes(now time.Time) {
	f.registry.mutex.Lock()
	defer f.registry.mutex.Unlock()
	if !f.first {
		f.target.late.observe(now, now.Sub(f.dueAt))
		f.learn(now)
	}
	f.first = true
	f.target.rest.answered(f.begunAt)
	f.target.heardAt = now
	f.registry.answered(f.target)
}

// learn takes in what the first byte tells of the whole service. A release that is being
// tried and answers late would have requests refused that other back ends could serve.
func (f *Attempt) learn(now time.Time) {
	if f.trial {
		return
	}
	service := f.target.record.Service
	f.registry.lateness(service).observe(now, now.Sub(f.dueAt))
	if !f.sentAt.IsZero() && f.registry.config.Disabled.On(mechanism.ReadingRate) {
		f.registry.reading(service).observe(f.tokens, now.Sub(f.sentAt))
	}
}

// PeerBusy reports whether another router lately found that the back end answers and
// that requests wait there.
func (f *Attempt) PeerBusy(now time.Time) bool {
	f.registry.mutex.Lock()
	defer f.registry.mutex.Unlock()
	return f.target.told.waiting > 0 && f.target.told.fresh(now) && !f.target.toldSilent(now)
}

// End takes in the end of the attempt; it is called exactly once.
func (f *Attempt) End(now time.Time, outcome Outcome) {
	f.registry.mutex.Lock()
	defer f.registry.mutex.Unlock()
	target := f.target
	delete(target.flights, f)
	target.decay(now)
	switch outcome {
	case Answered:
		f.registry.answered(target)
		target.tried++
		target.pause = 0
	case Failed:
		f.registry.answered(target)
		target.tried++
		target.failed += 0.5
	case Broken, Silent:
		if outcome == Silent {
			f.registry.unanswered(now, target)
		}
		target.tried++
		target.failed++
	case Misdirected:
		f.registry.sawGone(now, target)
	case Unreachable:
		f.registry.unanswered(now, target)
		target.tried++
		target.failed++
		target.pause = min(max(2*target.pause, firstPause), maxPause)
		target.pausedUntil = now.Add(target.pause)
	case Refused:
		target.refused(now)
	case WrongVersion:
		if target.assumed == f.version {
			target.assumedUntil = time.Time{}
		}
		if target.loading == f.version {
			target.loadingUntil = time.Time{}
		}
		if target.version(now, f.model) <= f.version {
			target.pausedUntil = now.Add(versionPause)
		}
	case Withdrawn, Abandoned:
	}
}

// refused takes in a refusal. A back end that said for how long it wants nothing is taken at its
// word; one that did not rests for a time of this router's own.
func (s *state) refused(now time.Time) {
	if s.rest.on(now) {
		s.pause = 0
		return
	}
	first := firstRefusal
	if len(s.record.Models) > 0 {
		first = firstEngineRefusal
	}
	s.pause = min(max(2*s.pause, first), maxRefusal)
	s.pausedUntil = now.Add(s.pause)
}
