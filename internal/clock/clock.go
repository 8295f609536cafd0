// Package clock tells the time that has really passed.
//
// A machine may be suspended, and the steady clock of the system, which package time goes by,
// does not count that: after five seconds of it a lease that has run out looks held, and a key
// that was taken away looks confirmed. Now counts such spans from the first Sync that sees
// them. Sync is called where a decision is made on the age of what is known; Now costs no
// system call.
//
// Times of this package are compared with each other only. Deadlines of contexts, timers and
// connections go by the steady clock: they take durations, such as Until returns.
package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the least difference that counts as a suspension. The two clocks are read one after
// the other, and a process may have to wait between.
const minSuspension = 50 * time.Millisecond

// Source returns for how long the machine has been suspended since some moment.
type Source func() time.Duration

var (
	// suspended is the time suspended since the process started, as Sync saw it last.
	suspended atomic.Int64
	// resumed is when Sync saw last that this process had stood still, nil for never.
	resumed atomic.Pointer[time.Time]

	mu     sync.Mutex
	source Source = fromSystem
	base          = fromSystem()
	// detectingFreezes is true while Sync is called all the time, last when it was called last.
	detectingFreezes bool
	lastSync         time.Time
)

// SyncInterval is the longest time between two calls of Sync under Watch. freezeThreshold is how
// much longer tells that the process stood still, rather than waited for its processor.
const (
	SyncInterval    = 200 * time.Millisecond
	freezeThreshold = 1200 * time.Millisecond
)

// DetectFreezes says that Sync is called every SyncInterval from now on, so that a longer span without
// a call means that the process was frozen. It returns what ends that.
func DetectFreezes() (end func()) {
	mu.Lock()
	defer mu.Unlock()
	detectingFreezes, lastSync = true, time.Now()
	return func() {
		mu.Lock()
		defer mu.Unlock()
		detectingFreezes = false
	}
}

// fromSystem compares the clock that counts suspensions with the one that does not.
func fromSystem() time.Duration {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}

// ReplaceSource has another source tell suspensions, and returns what restores the one before. It is
// for tests.
func ReplaceSource(other Source) (restore func()) {
	mu.Lock()
	defer mu.Unlock()
	formerSource, formerBase, formerSuspended, formerResumed := source, base, suspended.Load(), resumed.Load()
	source, base = other, other()-time.Duration(formerSuspended)
	return func() {
		mu.Lock()
		defer mu.Unlock()
		source, base = formerSource, formerBase
		suspended.Store(formerSuspended)
		resumed.Store(formerResumed)
	}
}

// Sync looks whether the machine was suspended, or the process frozen, and returns the time.
func Sync() time.Time {
	mu.Lock()
	defer mu.Unlock()
	steady := time.Now()
	frozen := detectingFreezes && steady.Sub(lastSync) >= freezeThreshold
	lastSync = steady
	total := source() - base
	newlySuspended := total-time.Duration(suspended.Load()) >= minSuspension
	if newlySuspended {
		suspended.Store(int64(total))
	}
	now := Now()
	if newlySuspended || frozen {
		resumed.Store(&now)
	}
	return now
}

// Now returns the time, with the suspensions that Sync has seen.
func Now() time.Time { return time.Now().Add(time.Duration(suspended.Load())) }

// Since returns the time since a moment that this package told.
func Since(at time.Time) time.Duration { return Now().Sub(at) }

// Until returns the time until a moment that this package told.
func Until(at time.Time) time.Duration { return at.Sub(Now()) }

// ResumedAt returns when this process was last found to have stood still, as its machine was
// suspended or it was frozen; found is false if it never was.
func ResumedAt() (at time.Time, found bool) {
	recorded := resumed.Load()
	if recorded == nil {
		return time.Time{}, false
	}
	return *recorded, true
}

// Suspended returns for how long the machine has been suspended since the process started.
func Suspended() time.Duration { return time.Duration(suspended.Load()) }
