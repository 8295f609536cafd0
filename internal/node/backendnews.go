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
	// tell tells all other routers; it does nothing before this one runs.
	tell func([]backend.News)
}

var _ forward.BackendNews = (*backendNews)(nil)

func newBackendNews(backends *backend.Registry, limits *backendLimits) *backendNews {
	return &backendNews{backends: backends, limits: limits, tell: func([]backend.News) {}}
}

// Changed implements forward.BackendNews.
func (b *backendNews) Changed(instance ident.Incarnation) {
	news, known := b.backends.NewsOf(clock.Now(), instance)
	if !known {
		return
	}
	b.tell([]backend.News{news})
	if news.Limited {
		b.limits.wake(instance)
	}
}

// hear takes in what an answer to a report or an order says of its back end.
func (b *backendNews) hear(instance ident.Incarnation, sentAt time.Time, said backend.Said, by backend.Source) {
	heard := b.backends.TakeSaid(clock.Now(), instance, sentAt, said, by)
	if heard.LimitChanged {
		change := &heard.Limit
		log.WithFields(log.Fields{
			"instance": instance, "limited": change.Limited, "rate": change.Rate, "rate_before": change.Before,
		}).Info("backend_limit_reported")
	}
	if heard.Leaving {
		logLeaving(instance, by)
	}
	if heard.Rest > 0 {
		log.WithFields(log.Fields{"instance": instance, "by": by, "rest_ms": heard.Rest.Milliseconds()}).Info("backend_rest")
	}
	if heard.News() {
		b.Changed(instance)
	}
}

// told takes in what other routers tell.
func (b *backendNews) told(news []backend.News) {
	if b == nil {
		return
	}
	for _, learnt := range b.backends.TakeNews(clock.Now(), news) {
		if learnt.LimitChanged {
			log.WithFields(log.Fields{
				"instance": learnt.Instance, "limited": learnt.Limited, "rate": learnt.Rate, "age_ms": learnt.Age.Milliseconds(),
			}).Info("backend_limit_told")
			b.limits.wake(learnt.Instance)
		}
		if learnt.LeavingBegan {
			logLeaving(learnt.Instance, backend.ByRouter)
		}
	}
}

func logLeaving(instance ident.Incarnation, by backend.Source) {
	log.WithFields(log.Fields{"instance": instance, "by": by}).Info("backend_leaving")
}
