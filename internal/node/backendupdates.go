package node

import (
	"math"
	"time"

	"github.com/apex/log"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/forward"
	"github.com/fieldpond/fieldpond/internal/ident"
)

const updatesPerDatagram = 20

// backendUpdates exchanges with other routers which limits back ends advertise and which are
// draining. Each change is sent once, and again to routers that pull with another digest.
type backendUpdates struct {
	backends *backend.Registry
	limits   *backendLimits
	// send sends updates to all other routers; it does nothing before this one runs.
	send func([]backend.StateUpdate)
	// sendFull notifies all other routers that a brittle back end refused for want of room.
	sendFull func(ident.Incarnation)
	// sendOverloads notifies all other routers of services whose back ends are brittle.
	sendOverloads func([]backend.ServiceOverload)
	// routers returns the number of all routers, 0 if unknown.
	routers func() int
}

var _ forward.BackendNotifier = (*backendUpdates)(nil)

func newBackendUpdates(backends *backend.Registry, limits *backendLimits, routers func() int) *backendUpdates {
	return &backendUpdates{
		backends: backends, limits: limits, routers: routers,
		send: func([]backend.StateUpdate) {}, sendFull: func(ident.Incarnation) {},
		sendOverloads: func([]backend.ServiceOverload) {},
	}
}

// Notify implements forward.BackendNotifier.
func (b *backendUpdates) Notify(instance ident.Incarnation) {
	update, known := b.backends.StateUpdateOf(clock.Now(), instance)
	if !known {
		return
	}
	b.send([]backend.StateUpdate{update})
	if update.Limited {
		b.limits.joinPool(instance)
	}
}

// NotifyFull implements forward.BackendNotifier.
func (b *backendUpdates) NotifyFull(instance ident.Incarnation) {
	routers := b.routers()
	room := b.backends.Room(clock.Now(), instance, routers)
	log.WithFields(log.Fields{
		"instance": instance, "in_flight": room.InFlight, "places": room.Places, "room_share": math.Round(room.Share*100) / 100,
		"routers": routers,
	}).Info("backend_full")
	b.sendFull(instance)
}

// NotifyBrittle implements forward.BackendNotifier.
func (b *backendUpdates) NotifyBrittle(service ident.Service, maxRefusals int) {
	b.sendOverloads([]backend.ServiceOverload{{Service: service, Brittle: true, MaxRefusals: maxRefusals}})
}

// observeAdvertised applies what a back end advertised in an answer to a report or an order.
func (b *backendUpdates) observeAdvertised(instance ident.Incarnation, sentAt time.Time, advertised backend.Advertised, by backend.Source) {
	observed := b.backends.ObserveAdvertised(clock.Now(), instance, sentAt, advertised, by)
	if observed.LimitChanged {
		change := &observed.Limit
		log.WithFields(log.Fields{
			"instance": instance, "limited": change.Limited, "rate": change.Rate, "rate_before": change.PreviousRate,
		}).Info("backend_limit_reported")
	}
	if observed.DrainBegan {
		logDraining(instance, by)
	}
	if observed.Backoff > 0 {
		log.WithFields(log.Fields{"instance": instance, "by": by, "rest_ms": observed.Backoff.Milliseconds()}).Info("backend_rest")
	}
	if observed.BecameBrittle {
		log.WithFields(log.Fields{"instance": instance, "refusals": advertised.Brittleness.MaxRefusals}).Info("backends_brittle")
	}
	if observed.ConcernsPeers() {
		b.Notify(instance)
	}
}

// applyUpdates applies updates of other routers.
func (b *backendUpdates) applyUpdates(updates []backend.StateUpdate) {
	if b == nil {
		return
	}
	for _, applied := range b.backends.ApplyUpdates(clock.Now(), updates) {
		if applied.LimitChanged {
			log.WithFields(log.Fields{
				"instance": applied.Instance, "limited": applied.Limited, "rate": applied.Rate, "age_ms": applied.Age.Milliseconds(),
			}).Info("backend_limit_told")
			b.limits.joinPool(applied.Instance)
		}
		if applied.DrainBegan {
			logDraining(applied.Instance, backend.SourcePeer)
		}
	}
}

func logDraining(instance ident.Incarnation, by backend.Source) {
	log.WithFields(log.Fields{"instance": instance, "by": by}).Info("backend_leaving")
}
