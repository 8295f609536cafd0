package node

import (
	"time"

	"github.com/apex/log"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/forward"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// updatesPerDatagram bounds the back ends in one datagram.
const updatesPerDatagram = 20

// backendUpdates carries what back ends say of themselves between routers: their limits, and that
// they leave. Each change is told once, and again to routers that pull and know something else.
// It implements forward.BackendNotifier.
type backendUpdates struct {
	backends *backend.Registry
	limits   *backendLimits
	// tell tells all other routers; it does nothing before this one runs.
	tell func([]backend.StateUpdate)
}

var _ forward.BackendNotifier = (*backendUpdates)(nil)

func newBackendNews(backends *backend.Registry, limits *backendLimits) *backendUpdates {
	return &backendUpdates{backends: backends, limits: limits, tell: func([]backend.StateUpdate) {}}
}

// Notify implements forward.BackendNotifier.
func (b *backendUpdates) Notify(instance ident.Incarnation) {
	news, known := b.backends.StateUpdateOf(clock.Now(), instance)
	if !known {
		return
	}
	b.tell([]backend.StateUpdate{news})
	if news.Limited {
		b.limits.wake(instance)
	}
}

// hear takes in what an answer to a report or an order says of its back end.
func (b *backendUpdates) hear(instance ident.Incarnation, sentAt time.Time, said backend.Advertised, by backend.Source) {
	heard := b.backends.ObserveAdvertised(clock.Now(), instance, sentAt, said, by)
	if heard.LimitChanged {
		change := &heard.Limit
		log.WithFields(log.Fields{
			"instance": instance, "limited": change.Limited, "rate": change.Rate, "rate_before": change.PreviousRate,
		}).Info("backend_limit_reported")
	}
	if heard.DrainBegan {
		logLeaving(instance, by)
	}
	if heard.Backoff > 0 {
		log.WithFields(log.Fields{"instance": instance, "by": by, "rest_ms": heard.Backoff.Milliseconds()}).Info("backend_rest")
	}
	if heard.ConcernsPeers() {
		b.Notify(instance)
	}
}

// applyUpdates takes in what other routers tell.
func (b *backendUpdates) applyUpdates(news []backend.StateUpdate) {
	if b == nil {
		return
	}
	for _, learnt := range b.backends.ApplyUpdates(clock.Now(), news) {
		if learnt.LimitChanged {
			log.WithFields(log.Fields{
				"instance": learnt.Instance, "limited": learnt.Limited, "rate": learnt.Rate, "age_ms": learnt.Age.Milliseconds(),
			}).Info("backend_limit_told")
			b.limits.wake(learnt.Instance)
		}
		if learnt.DrainBegan {
			logLeaving(learnt.Instance, backend.SourcePeer)
		}
	}
}

func logLeaving(instance ident.Incarnation, by backend.Source) {
	log.WithFields(log.Fields{"instance": instance, "by": by}).Info("backend_leaving")
}
