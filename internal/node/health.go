package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/health"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/rollout"
)

const (
	// healthTick is the time between two searches for due checks.
	healthTick = 50 * time.Millisecond
	// idleHealthTick replaces healthTick while this router checks no engine.
	idleHealthTick = 200 * time.Millisecond
	// checkTimeout bounds one check: engines report without a slot, within a few ms.
	checkTimeout = 300 * time.Millisecond
	// silentResend is the time between two notifications of the same silent engines; it is
	// shorter than backend.PeerSilentFor, so that a lost datagram does no harm.
	silentResend = 500 * time.Millisecond
	// queueInterval is the least time between two notifications of queues.
	queueInterval = 250 * time.Millisecond
	// watchInterval is the time between two updates of the engines to check.
	watchInterval = time.Second
)

// healthWatcher checks engines of its zone for all routers: all of them while this router is the
// first of the zone, in a large fleet those for which it ranks among the first checkers.
type healthWatcher struct {
	node ident.Node
	zone ident.Zone
	// checkers returns the routers that check the engines of the zone.
	checkers func() []ident.Node
	engines  rollout.Engines
	backends *backend.Registry
	// holder holds the configured services.
	holder *catalog.Holder
	notify func(health.Notification)

	tracker    *health.Tracker
	results    chan checkResult
	checks     sync.WaitGroup
	watchedAt  time.Time
	silent     []ident.Incarnation
	notifiedAt time.Time
	queuesAt   time.Time
}

// checkResult is the result of one check.
type checkResult struct {
	instance ident.Incarnation
	// report is nil if the check failed.
	report *rollout.Report
	// gone is true if another incarnation answered.
	gone bool
}

// run checks engines until ctx ends.
func (w *healthWatcher) run(ctx context.Context) {
	w.results = make(chan checkResult)
	w.tracker = health.NewTracker(health.Config{})
	timer := time.NewTimer(healthTick)
	defer timer.Stop()
	defer w.checks.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case result := <-w.results:
			w.recordResult(clock.Now(), result)
		case <-timer.C:
			w.tick(ctx, clock.Now())
			pause := healthTick
			if w.tracker.Idle() {
				pause = idleHealthTick
			}
			timer.Reset(pause)
		}
	}
}

// tick starts the checks that are due, and notifies other routers of earlier results.
func (w *healthWatcher) tick(ctx context.Context, now time.Time) {
	if now.Sub(w.watchedAt) >= watchInterval {
		w.watchedAt = now
		w.tracker.Watch(now, w.enginesToCheck())
	}
	for _, record := range w.tracker.Due(now) {
		if w.backends.BackingOff(now, record.Instance) {
			w.tracker.Postpone(now, record.Instance)
			continue
		}
		w.checks.Go(func() { w.check(ctx, record) })
	}
	w.notifySilent(now)
	w.notifyQueues(now)
	w.notifyGone()
}

func (w *healthWatcher) recordResult(now time.Time, result checkResult) {
	if result.gone {
		w.backends.ObserveGone(now, result.instance)
	}
	if result.report == nil {
		w.tracker.ObserveMiss(now, result.instance)
		return
	}
	w.tracker.ObserveAnswer(now, result.instance, result.report.Queued, result.report.Active)
}

// enginesToCheck returns the engines that this router checks.
func (w *healthWatcher) enginesToCheck() []backend.Record {
	checkers := w.checkers()
	w.tracker.SetShared(len(checkers) > 1)
	if !slices.Contains(checkers, w.node) {
		return nil
	}
	view := w.holder.View()
	return slices.DeleteFunc(w.backends.RecordsOf(w.zone), func(record backend.Record) bool {
		return !view.Serves(record.Service) || len(record.Models) == 0 || record.Draining ||
			!health.Checks(w.node, checkers, record.Instance)
	})
}

func (w *healthWatcher) check(ctx context.Context, record backend.Record) {
	bounded, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	report, err := w.engines.Report(bounded, record)
	if err != nil {
		// The cause is not used; notifySilent logs which engines are silent.
		report = nil
	}
	select {
	case w.results <- checkResult{instance: record.Instance, report: report, gone: errors.Is(err, rollout.ErrOtherInstance)}:
	case <-ctx.Done():
	}
}

// notifySilent notifies other routers of the silent engines on each change, and repeats that
// while there are any.
func (w *healthWatcher) notifySilent(now time.Time) {
	silent := w.tracker.Silent(now)
	changed := !slices.Equal(silent, w.silent)
	if !changed && (len(silent) == 0 || now.Sub(w.notifiedAt) < silentResend) {
		return
	}
	notification := health.NewNotification(w.silent, silent)
	if changed {
		log.WithFields(log.Fields{"silent": notification.Silent, "answering": notification.Answering}).Info("engines_silent")
	}
	w.silent, w.notifiedAt = silent, now
	w.notify(notification)
}

// notifyQueues notifies other routers of engines at which requests wait.
func (w *healthWatcher) notifyQueues(now time.Time) {
	if now.Sub(w.queuesAt) < queueInterval {
		return
	}
	w.queuesAt = now
	if queues := w.tracker.QueueUpdates(); len(queues) > 0 {
		w.notify(health.Notification{Queues: queues})
	}
}

// notifyGone notifies other routers of back ends that checks or requests found gone.
func (w *healthWatcher) notifyGone() {
	gone := w.backends.NewlyGone()
	if len(gone) == 0 {
		return
	}
	log.WithFields(log.Fields{"gone": gone}).Info("engines_gone")
	w.notify(health.Notification{Gone: gone})
}
