package endpoint

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/routing/framework"
)

// load ages the last report to now. Work that the report counted drains at the
// engine's prefill slope while the report grows old; this router's own
// attempts that the report cannot have counted yet are added.
func (s *state) load(now time.Time) framework.Load {
	perToken := s.prefillPerToken()
	age := max(0, now.Sub(s.reportTrueAt))
	load := framework.Load{
		ReportAge:        age,
		Running:          s.report.Running,
		Waiting:          s.report.Waiting,
		MaxRunning:       s.report.MaxRunning,
		PrefillPerToken:  perToken,
		OwnInFlight:      s.ownInFlight,
		ConcurrencyLimit: s.limit,
	}
	reported := float64(s.report.QueuedPrefillTokens)
	unreported := 0 // whole tokens, so that the order of the map does not matter
	for _, own := range s.attempts {
		if own.sentAt.Before(s.reportTrueAt) {
			continue
		}
		load.Running++
		if !own.prefilled {
			unreported += own.prefillTokens
		}
	}
	drained := 0.0
	if perToken > 0 {
		drained = float64(age) / float64(perToken)
	}
	load.QueuedPrefillTokens = max(0, reported-drained) + float64(unreported)
	if load.MaxRunning > 0 && load.Running > load.MaxRunning {
		load.Waiting += load.Running - load.MaxRunning
		load.Running = load.MaxRunning
	}
	return load
}

// prefillPerToken returns the reported prefill slope, or the one assumed.
func (s *state) prefillPerToken() time.Duration {
	if s.report.PrefillMicrosPerToken > 0 {
		return time.Duration(s.report.PrefillMicrosPerToken * float64(time.Microsecond))
	}
	return s.target.PrefillPerToken
}
