package guard

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/quarantine"
)

const (
	// maintainInterval is the time between two updates of rows; relistInterval that between two
	// reads of all rows while a request is quarantined, quietRelistInterval otherwise.
	maintainInterval    = 2 * time.Second
	relistInterval      = 5 * time.Second
	quietRelistInterval = 10 * time.Minute
	// reloadAfter is the time without confirmed contact after which the rows are read again:
	// three failed or missing reads of the configuration.
	reloadAfter = 2400 * time.Millisecond
)

// scheduleReported schedules rows on evidence of another router at once, at the router that
// maintains the rows and at those that are sending evidence on the same requests: none of them
// may have had all of it before, and all may end at any moment.
func (g *Guard) scheduleReported(evidence []quarantine.Evidence) {
	maintains := g.config.MaintainsRows()
	for _, one := range evidence {
		if g.rows.lacksEvidence(one.Request) && (maintains || g.hasUpdates(one.Request)) {
			g.scheduleWrite(one.Request)
		}
	}
}

// scheduleWrite has this router update the rows of requests.
func (g *Guard) scheduleWrite(requests ...quarantine.Fingerprint) {
	if len(requests) == 0 {
		return
	}
	g.markStale(requests)
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// markStale marks rows for the next update.
func (g *Guard) markStale(requests []quarantine.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, request := range requests {
		g.staleRows[request] = struct{}{}
	}
}

// maintainRows updates the rows until ctx ends.
func (g *Guard) maintainRows(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		case <-time.After(maintainInterval):
		}
		if g.config.MaintainsRows() {
			if g.rows.relistDue(clock.Now()) {
				g.relist(ctx)
			}
			// Without waking: a store that is down is retried at the next interval.
			g.markStale(g.rows.outdated())
		}
		g.writeRows(ctx)
	}
}

// relist reads the rows again: an operator ends a quarantine by removing its row.
func (g *Guard) relist(ctx context.Context) {
	released, quarantined, err := g.rows.list(ctx)
	if err != nil {
		log.WithFields(log.Fields{"cause": err.Error()}).Warn("quarantine_rows_not_read")
		return
	}
	now := clock.Now()
	g.logQuarantined(now, quarantined)
	for _, request := range released {
		ended := g.ledger.Check(now, request) != nil
		g.ledger.Release(now, request)
		if !ended {
			continue
		}
		log.WithFields(log.Fields{"fingerprint": request.String(), "cause": "row removed"}).Info("quarantine_ended")
	}
	g.announce(released...)
}

// Load reads the rows before this router serves, unless that was done, and again when nothing
// was confirmed for a while. Otherwise a router that starts alone, or was cut off or suspended,
// would send a quarantined request to three back ends again.
func (g *Guard) Load(ctx context.Context, unconfirmedFor time.Duration) {
	if g == nil || (g.rows.loaded() && unconfirmedFor < reloadAfter) {
		return
	}
	_, quarantined, err := g.rows.list(ctx)
	if err != nil {
		log.WithFields(log.Fields{"cause": err.Error()}).Warn("quarantine_rows_not_read")
		return
	}
	g.logQuarantined(clock.Now(), quarantined)
}

// writeRows updates the stale rows; failures are retried.
func (g *Guard) writeRows(ctx context.Context) {
	g.mu.Lock()
	due := make([]quarantine.Fingerprint, 0, len(g.staleRows))
	for request := range g.staleRows {
		due = append(due, request)
	}
	g.mu.Unlock()
	for _, request := range due {
		err := g.rows.update(ctx, request)
		if err != nil {
			log.WithFields(log.Fields{"fingerprint": request.String(), "cause": err.Error()}).Warn("quarantine_not_kept")
		}
		if errors.Is(err, errRowChanged) {
			continue
		}
		if err != nil {
			return
		}
		g.mu.Lock()
		delete(g.staleRows, request)
		g.mu.Unlock()
	}
}
