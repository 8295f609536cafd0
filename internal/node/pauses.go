package node

import (
	"context"
	"sync"
	"time"

	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/wait"
)

// pauseTick is the time between two ticks of a pauseDetector.
const pauseTick = 250 * time.Millisecond

// pauseDetector finds out whether this process was paused: no tick came in time. It is safe for concurrent
// use.
type pauseDetector struct {
	mu sync.Mutex
	// tickedAt is the time of the last tick, pausedUntil the end of the last pause; both are zero before.
	tickedAt, pausedUntil time.Time
}

// run ticks until ctx ends.
func (d *pauseDetector) run(ctx context.Context) {
	wait.Every(ctx, pauseTick, func() { d.tick(clock.Now()) })
}

func (d *pauseDetector) tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.late(now) {
		d.pausedUntil = now
	}
	d.tickedAt = now
}

// late reports whether a tick is overdue; the caller holds the mutex.
func (d *pauseDetector) late(now time.Time) bool {
	return !d.tickedAt.IsZero() && now.Sub(d.tickedAt) > pauseTick+minProcessPause
}

// pausedSince reports whether the process was paused between a time and now. The tick that follows a pause
// may be still to come.
func (d *pauseDetector) pausedSince(since, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.late(now) || d.pausedUntil.After(since)
}
