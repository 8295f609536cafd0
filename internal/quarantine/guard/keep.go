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
	// keepInterval is the time between two looks at which rows are to be written, relistInterval
	// between two reads of the rows while a request is held, quietRelistInterval else.
	keepInterval        = 2 * time.Second
	relistInterval      = 5 * time.Second
	quietRelistInterval = 10 * time.Minute
	// reloadAfter is how long nothing may have been confirmed here before the rows are read
	// once more: three reads of the configuration that failed, or were not made.
	reloadAfter = 2400 * time.Millisecond
)

// keepTold has the rows brought up to date at once of requests of which another router told, by
// the router that keeps the rows and by those that just told of evidence themselves: none of them
// may have known all of it before, and all may end at the next moment.
func (g *Guard) keepTold(told []quarantine.Evidence) {
	keeps := g.config.MaintainsRows()
	for _, one := range told {
		if g.rows.lacks(one.Request) && (keeps || g.telling(one.Request)) {
			g.keep(one.Request)
		}
	}
}

// keep has the rows of requests brought up to date by this router.
func (g *Guard) keep(requests ...quarantine.Fingerprint) {
	if len(requests) == 0 {
		return
	}
	g.note(requests)
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// note notes that the rows of requests are to be brought up to date at the next look.
func (g *Guard) note(requests []quarantine.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, request := range requests {
		g.unkept[request] = struct{}{}
	}
}

// keepRows keeps the rows up to date until ctx ends.
func (g *Guard) keepRows(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		case <-time.After(keepInterval):
		}
		if g.config.MaintainsRows() {
			if g.rows.relistDue(clock.Now()) {
				g.relist(ctx)
			}
			// Without waking: a store that is down is asked again at the next look.
			g.note(g.rows.outdated())
		}
		g.writeRows(ctx)
	}
}

// relist reads the rows again: an operator ends a quarantine by removing its row.
func (g *Guard) relist(ctx context.Context) {
	lifted, held, err := g.rows.list(ctx)
	if err != nil {
		log.WithFields(log.Fields{"cause": err.Error()}).Warn("quarantine_rows_not_read")
		return
	}
	now := clock.Now()
	g.logHeld(now, held)
	for _, request := range lifted {
		ended := g.ledger.Judge(now, request) != nil
		g.ledger.Lift(now, request)
		if !ended {
			continue
		}
		log.WithFields(log.Fields{"fingerprint": request.String(), "cause": "row removed"}).Info("quarantine_ended")
	}
	g.tell(lifted...)
}

// Load reads the rows before this router serves, unless that was done, and again when nothing
// was confirmed here for a while. Without the rows a router that starts alone, or one that
// reads the store itself and was cut off or suspended while others learnt of a request, would
// send it to three back ends once more.
func (g *Guard) Load(ctx context.Context, unconfirmedFor time.Duration) {
	if g == nil || (g.rows.loaded() && unconfirmedFor < reloadAfter) {
		return
	}
	_, held, err := g.rows.list(ctx)
	if err != nil {
		log.WithFields(log.Fields{"cause": err.Error()}).Warn("quarantine_rows_not_read")
		return
	}
	g.logHeld(clock.Now(), held)
}

// writeRows brings the rows up to date that this router has to; what fails is tried again.
func (g *Guard) writeRows(ctx context.Context) {
	g.mu.Lock()
	due := make([]quarantine.Fingerprint, 0, len(g.unkept))
	for request := range g.unkept {
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
		delete(g.unkept, request)
		g.mu.Unlock()
	}
}
