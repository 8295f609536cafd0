package forward

import (
	"context"
	"time"

	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/mechanism"
	"github.com/fieldpond/fieldpond/internal/wait"
)

const (
	// configurationWait bounds the wait of a request for a configuration: after a restart of the
	// whole fleet, clients reconnect before the routers have one.
	configurationWait = 500 * time.Millisecond
	// nextReadWait bounds the wait for a read of the store that is under way.
	nextReadWait = 80 * time.Millisecond
	// configurationWaitDivisor divides a client's timeout into the longest wait of its request.
	configurationWaitDivisor = 4
	// startupPeriod is the time after the start of a router in which requests wait; a router
	// without a configuration by then has lost contact with the fleet and refuses at once.
	startupPeriod = 1500 * time.Millisecond
	// maxWaiting bounds the waiting requests and thus the memory for their bodies.
	maxWaiting = 200
)

// awaitConfiguration waits a bounded time for the first configuration after the router's start.
func (f *Forwarder) awaitConfiguration(ctx context.Context, request *Request) {
	if f.Holder.View().Snapshot != nil || !f.config.Disabled.Enabled(mechanism.StartHold) {
		return
	}
	now := clock.Now()
	until := now.Add(configurationWait)
	if request.ClientTimeout > 0 {
		until = earlier(until, request.ReceivedAt.Add(request.ClientTimeout/configurationWaitDivisor))
	}
	until = earlier(until, f.startedAt.Add(startupPeriod))
	defer f.waiting.Add(-1)
	if f.waiting.Add(1) > maxWaiting {
		return
	}
	for f.Holder.View().Snapshot == nil && clock.Now().Before(until) {
		if !wait.For(ctx, placeInterval) {
			return
		}
	}
}

// awaitConfirmation waits a bounded time, after this process was suspended, until the
// configuration is confirmed again: keys, versions, engines and quarantines may have changed
// during the suspension, even where no bound on their age is exceeded.
func (f *Forwarder) awaitConfirmation(ctx context.Context, request *Request) {
	resumedAt, found := clock.ResumedAt()
	if !found || f.Holder.View().Snapshot == nil {
		return
	}
	until := resumedAt.Add(configurationWait)
	if request.ClientTimeout > 0 {
		until = earlier(until, resumedAt.Add(request.ClientTimeout/configurationWaitDivisor))
	}
	for f.Holder.View().ConfirmedAt.Before(resumedAt) && clock.Now().Before(until) {
		if !wait.For(ctx, placeInterval) {
			return
		}
	}
}

// awaitNextRead waits a bounded time if the configuration is not valid any more, and no read of the
// store has failed since it was confirmed: the process was paused, and a read is under way. After a
// failed read the request is refused at once.
func (f *Forwarder) awaitNextRead(ctx context.Context) {
	expired := func() bool {
		view := f.Holder.View()
		return view.Snapshot != nil && view.Unconfirmed.Reason == "" && view.Age(clock.Now()) > f.config.Freshness.Keyed
	}
	if !expired() {
		return
	}
	until := clock.Now().Add(nextReadWait)
	defer f.waiting.Add(-1)
	if f.waiting.Add(1) > maxWaiting {
		return
	}
	for expired() && clock.Now().Before(until) {
		if !wait.For(ctx, placeInterval) {
			return
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
