package forward

import (
	"context"
	"time"

	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/mechanism"
	"github.com/fieldpond/fieldpond/internal/wait"
)

const (
	// startHold is how long requests wait for the first configuration. After a kill of a
	// whole fleet its routers knew it 0.2 to 0.4s after they began to listen (83 routers,
	// logs of one day), and refused 1,398 requests until then, most of them of clients
	// that had been cut off by the kill and did not try a third time.
	startHold = 500 * time.Millisecond
	// startHoldPart is the part of its client's time, as a divisor, that a request waits.
	startHoldPart = 4
	// startingFor is how long after its start a router may expect its first
	// configuration; later it is cut off, and what comes is refused at once.
	startingFor = 1500 * time.Millisecond
	// startHeld bounds the requests that wait, and with them the memory of a router that
	// has just begun: a body has some ten kilobytes.
	startHeld = 200
)

// awaitStart lets a request wait for the first configuration of a router that has just
// started, for a bounded time.
func (f *Forwarder) awaitStart(ctx context.Context, request *Request) {
	if f.Holder.View().Snapshot != nil || !f.config.Disabled.On(mechanism.StartHold) {
		return
	}
	now := clock.Now()
	until := now.Add(startHold)
	if request.ClientTimeout > 0 {
		until = earlier(until, request.ReceivedAt.Add(request.ClientTimeout/startHoldPart))
	}
	until = earlier(until, f.startedAt.Add(startingFor))
	defer f.held.Add(-1)
	if f.held.Add(1) > startHeld {
		return
	}
	for f.Holder.View().Snapshot == nil && clock.Now().Before(until) {
		if !wait.For(ctx, placePause) {
			return
		}
	}
}

// awaitNews lets a request wait for news while all that is known was confirmed before this
// process stood still, for a bounded time. Keys, versions, engines and quarantines may have
// changed meanwhile also where no bound on their age says so; routers have news within some
// 20 ms if they reach a peer.
func (f *Forwarder) awaitNews(ctx context.Context, request *Request) {
	wokeAt, found := clock.WokeAt()
	if !found || f.Holder.View().Snapshot == nil {
		return
	}
	until := wokeAt.Add(startHold)
	if request.ClientTimeout > 0 {
		until = earlier(until, wokeAt.Add(request.ClientTimeout/startHoldPart))
	}
	for f.Holder.View().ConfirmedAt.Before(wokeAt) && clock.Now().Before(until) {
		if !wait.For(ctx, placePause) {
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
