package wait

import (
	"context"
	"sync"
	"time"
)

// silenceKey is the key of the silence of a context.
type silenceKey struct{}

// silence cancels a context that makes no progress.
type silence struct {
	mu     sync.Mutex
	timer  *time.Timer
	length time.Duration
	// until is when the context ends in any case.
	until time.Time
}

// WithSilence returns a context that ends when there is no progress for a time: for first after the
// call, and for length after each call of Progress. It ends after most in any case.
func WithSilence(ctx context.Context, first, length, most time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	bound := &silence{length: length, until: time.Now().Add(most)}
	bound.timer = time.AfterFunc(min(first, most), func() { cancel(context.DeadlineExceeded) })
	return context.WithValue(ctx, silenceKey{}, bound), func() {
		bound.timer.Stop()
		cancel(context.Canceled)
	}
}

// Progress records progress of the work under a context of WithSilence; with any other it does
// nothing.
func Progress(ctx context.Context) {
	bound, found := ctx.Value(silenceKey{}).(*silence)
	if !found {
		return
	}
	bound.mu.Lock()
	defer bound.mu.Unlock()
	// A timer that has expired must not be started again.
	if bound.timer.Stop() {
		bound.timer.Reset(min(bound.length, time.Until(bound.until)))
	}
}
