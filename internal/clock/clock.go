// Package clock returns times that include suspensions of the machine.
//
// The system's monotonic clock, which package time uses, does not advance while the machine is
// suspended: an expired lease would still seem held, and a revoked key still confirmed. Now
// includes a suspension from the first Sync that detects it. Call Sync before decisions on the
// age of data; Now makes no system call for suspensions.
//
// Compare times of this package with each other only. Deadlines of contexts, timers and
// connections use the monotonic clock: set them from durations, such as Until returns.
package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the least difference that counts as a suspension.
const minSuspension = 50 * time.Millisecond

// Source returns the total time of suspensions since some fixed moment.
type Source func() time.Duration

var (
	// suspended is the time suspended since the process started, as of the last Sync.
	suspended atomic.Int64
	// resumed is when Sync last detected a suspension or a freeze, nil for never.
	resumed atomic.Pointer[time.Time]

	mu     sync.Mutex
	source Source = fromSystem
	base          = fromSystem()
	// detectingFreezes is true while Sync is called periodically, lastSync its last call.
	detectingFreezes bool
	lastSync         time.Time
)

// SyncInterval is the longest time between two calls of Sync under DetectFreezes.
// freezeThreshold is the time without a call that means a freeze, not just a busy processor.
const (
	SyncInterval    = 200 * time.Millisecond
	freezeThreshold = 1200 * time.Millisecond
)

// DetectFreezes has Sync treat a long time without a call as a freeze of the process. The caller
// must call Sync every SyncInterval until it calls end.
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

const (
	// maxReadTime is the time between two reads of the steady clock within which a read of the other
	// one is exact enough, maxReads the number of tries.
	maxReadTime = time.Millisecond
	maxReads    = 10
)

// reading is the clock that includes suspensions, read between two reads of the one that does not.
type reading struct{ before, boot, after time.Duration }

// fromSystem compares the clock that includes suspensions with the one that does not.
func fromSystem() time.Duration { return compare(readClocks) }

// readClocks reads the clocks of the system; ok is false if it lacks one.
func readClocks() (read reading, ok bool) {
	var before, boot, after unix.Timespec
	ok = unix.ClockGettime(unix.CLOCK_MONOTONIC, &before) == nil && unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) == nil &&
		unix.ClockGettime(unix.CLOCK_MONOTONIC, &after) == nil
	return reading{time.Duration(before.Nano()), time.Duration(boot.Nano()), time.Duration(after.Nano())}, ok
}

// compare returns the difference of the clocks. A process that is preempted between two reads would
// see a difference that is no suspension, so that the reads nearest to each other count.
func compare(read func() (reading, bool)) time.Duration {
	var best reading
	for try := range maxReads {
		next, ok := read()
		if !ok {
			return 0
		}
		if try == 0 || next.after-next.before < best.after-best.before {
			best = next
		}
		if best.after-best.before <= maxReadTime {
			break
		}
	}
	return best.boot - best.after
}

// ReplaceSource replaces the source of suspensions until restore is called. It is for tests.
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

// Sync detects suspensions of the machine and freezes of the process, and returns the time.
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

// Now returns the time, including the suspensions that Sync has detected.
func Now() time.Time { return time.Now().Add(time.Duration(suspended.Load())) }

// Since returns the time since a moment returned by this package.
func Since(at time.Time) time.Duration { return Now().Sub(at) }

// Until returns the time until a moment returned by this package.
func Until(at time.Time) time.Duration { return at.Sub(Now()) }

// ResumedAt returns when Sync last detected a suspension of the machine or a freeze of this
// process; found is false if it never did.
func ResumedAt() (at time.Time, found bool) {
	recorded := resumed.Load()
	if recorded == nil {
		return time.Time{}, false
	}
	return *recorded, true
}

// Suspended returns the time suspended since the process started, as of the last Sync.
func Suspended() time.Duration { return time.Duration(suspended.Load()) }
