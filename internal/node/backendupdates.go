package node

import (
	"time"

	"github.com/apex/log"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/forward"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// newsPart bounds the back ends in one datagram.
const newsPart = 20

// backendNews carries what back ends say of themselves between routers: their limits, and that
// they leave. Each change is told once, and again to routers that pull and know something else.
// It implements forward.BackendNews.
type backendNews struct {
	backends *backend.Registry
	limits   *backendLimits
	// send tells all other routers; it does nothing before this one runs.
	send func([]backend.News)
}

var _ forward.BackendNews = (*backendNews)(nil)

func newBackendUpdates(backends *backend.Registry, limits *backendLimits) *backendNews {
	return &backendNews{backends: backends, limits: limits, send: func([]backend.News) {}}
}

// Changed implements forward.BackendNews.
func (b *backendNews) Changed(instance ident.Incarnation) {
	update, known := b.backends.NewsOf(clock.Now(), instance)
	if !known {
		return
	}
	b.send([]backend.News{update})
	if update.Limited {
		b.limits.joinPool(instance)
	}
}

// observeAdvertised takes in what an answer to a report or an order says of its back end.
func (b *backendNews) observeAdvertised(instance ident.Incarnation, sentAt time.Time, advertised backend.Said, by backend.Source) {
	observed := b.backends.TakeSaid(clock.Now(), instance, sentAt, advertised, by)
	if observed.LimitChanged {
		change := &observed.Limit
		log.WithFields(log.Fields{
			"instance": instance, "limited": change.Limited, "rate": change.Rate, "rate_before": change.Before,
		}).Info("backend_limit_reported")
	}
	if observed.Leaving {
		logDraining(instance, by)
	}
	if observed.Rest > 0 {
		log.WithFields(log.Fields{"instance": instance, "by": by, "rest_ms": observed.Rest.Milliseconds()}).Info("backend_rest")
	}
	if observed.News() {
		b.Changed(instance)
	}
}

// told takes in what other routers tell.
func (b *backendNews) told(updates []backend.News) {
	if b == nil {
		return
	}
	for _, applied := range b.backends.TakeNews(clock.Now(), updates) {
		if applied.LimitChanged {
			log.WithFields(log.Fields{
				"instance": applied.Instance, "limited": applied.Limited, "rate": applied.Rate, "age_ms": applied.Age.Milliseconds(),
			}).Info("backend_limit_told")
			b.limits.joinPool(applied.Instance)
		}
		if applied.LeavingBegan {
			logDraining(applied.Instance, backend.ByRouter)
		}
	}
}

func logDraining(instance ident.Incarnation, by backend.Source) {
	log.WithFields(log.Fields{"instance": instance, "by": by}).Info("backend_leaving")
}
