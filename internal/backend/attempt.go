package backend

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/mechanism"
)

// Attempt is one attempt in flight. Its methods are safe for concurrent use.
type Attempt struct {
	registry *Registry
	target   *state
	tokens   int
	model    ident.Model
	// version is that of the model's weights when the back end was chosen.
	version    int
	expectedAt time.Time
	startedAt  time.Time
	// sentAt is set if the first byte shows the prefill rate: no other attempt of this router
	// waits there, and the engine is the prompt's home.
	sentAt            time.Time
	firstByteReceived bool
	// trial marks a back end of a release on trial, whose speed is no evidence about the
	// service's other back ends.
	trial bool
	// drainServesUntil bounds an attempt placed at a draining back end; it is zero for others.
	drainServesUntil time.Time
}

// MustWithdraw reports whether the attempt must not be sent any more, since the back end is
// draining or backing off.
func (a *Attempt) MustWithdraw(now time.Time) bool {
	a.registry.mutex.Lock()
	defer a.registry.mutex.Unlock()
	draining := a.target.drain.active() && !now.Before(a.drainServesUntil)
	return draining || a.target.backoff.active(now)
}

// ObserveBytes records that bytes of the attempt's answer were received.
func (a *Attempt) ObserveBytes(now time.Time) {
	a.registry.mutex.Lock()
	defer a.registry.mutex.Unlock()
	if !a.firstByteReceived {
		a.target.lateness.observe(now, now.Sub(a.expectedAt))
		a.observeFirstByte(now)
	}
	a.firstByteReceived = true
	a.target.backoff.observeAnswer(a.startedAt)
	a.target.lastByteAt = now
	a.registry.observeReachable(a.target)
}

// observeFirstByte applies the time of the first byte to the estimates of the service. A
// release on trial does not count: if it were late, requests that other back ends could serve
// would be refused.
func (a *Attempt) observeFirstByte(now time.Time) {
	if a.trial {
		return
	}
	service := a.target.record.Service
	a.registry.lateness(service).observe(now, now.Sub(a.expectedAt))
	if !a.sentAt.IsZero() && a.registry.config.Disabled.Enabled(mechanism.PrefillRate) {
		a.registry.prefillRate(service).observe(a.tokens, now.Sub(a.sentAt))
	}
}

// PeerBusy reports whether a peer recently found that the back end answers and that requests
// wait there.
func (a *Attempt) PeerBusy(now time.Time) bool {
	a.registry.mutex.Lock()
	defer a.registry.mutex.Unlock()
	return a.target.peerQueue.waiting > 0 && a.target.peerQueue.fresh(now) && !a.target.peerSilent(now)
}

// End records the outcome of the attempt; it must be called exactly once.
func (a *Attempt) End(now time.Time, outcome Outcome) {
	a.registry.mutex.Lock()
	defer a.registry.mutex.Unlock()
	target := a.target
	delete(target.attempts, a)
	target.decay(now)
	switch outcome {
	case Answered:
		a.registry.observeReachable(target)
		target.tried++
		target.pause = 0
	case Failed:
		a.registry.observeReachable(target)
		target.tried++
		target.failed += 0.5
	case Broken, Silent:
		if outcome == Silent {
			a.registry.observeUnreachable(now, target)
		}
		target.tried++
		target.failed++
	case Misdirected:
		a.registry.observeGone(now, target)
	case Unreachable:
		a.registry.observeUnreachable(now, target)
		target.tried++
		target.failed++
		target.pause = min(max(2*target.pause, firstFailurePause), maxFailurePause)
		target.pausedUntil = now.Add(target.pause)
	case Refused:
		target.observeRefusal(now)
	case WrongVersion:
		if target.assumed == a.version {
			target.assumedUntil = time.Time{}
		}
		if target.loading == a.version {
			target.loadingUntil = time.Time{}
		}
		if target.version(now, a.model) <= a.version {
			target.pausedUntil = now.Add(wrongVersionPause)
		}
	case Withdrawn, Abandoned:
	}
}

// observeRefusal pauses a back end that refused, unless it advertised a back-off of its own.
func (s *state) observeRefusal(now time.Time) {
	if s.backoff.active(now) {
		s.pause = 0
		return
	}
	first := firstRefusalPause
	if len(s.record.Models) > 0 {
		first = firstEngineRefusalPause
	}
	s.pause = min(max(2*s.pause, first), maxRefusalPause)
	s.pausedUntil = now.Add(s.pause)
}
