package forward

import (
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// mayAwaitConnection records that all connections allowed to a back end are in use, and reports whether
// others may be tried, and this one again. Nothing was sent, so this is no attempt.
func (r *run) mayAwaitConnection(instance ident.Incarnation) bool {
	now := clock.Now()
	if r.fullSince.IsZero() {
		r.fullSince = now
	}
	if !now.Before(r.deadline) || now.Sub(r.fullSince) > r.placeWait() {
		return false
	}
	r.attempts--
	r.full = append(r.full, instance)
	return true
}
