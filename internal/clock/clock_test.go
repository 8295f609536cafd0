package clock_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/clock"
)

func TestSuspensionIsCounted(t *testing.T) {
	is := is.New(t)
	suspended := time.Duration(0)
	defer clock.ReplaceSource(func() time.Duration { return suspended })()
	before := clock.Sync()
	suspended = 5 * time.Second
	is.True(clock.Since(before) < 4*time.Second) // before Sync
	is.True(clock.Sync().Sub(before) >= 5*time.Second)
	is.True(clock.Since(before) >= 5*time.Second)
	resumedAt, found := clock.ResumedAt()
	is.True(found)
	is.True(clock.Since(resumedAt) < time.Second)
	// A small difference between the two clocks is not a suspension.
	suspended += 10 * time.Millisecond
	clock.Sync()
	is.Equal(clock.Suspended(), 5*time.Second)
}

func TestSyncReadsSystemClock(t *testing.T) {
	is := is.New(t)
	before := clock.Sync()
	time.Sleep(time.Millisecond)
	is.True(clock.Sync().After(before))
}

// A freeze of the process counts, though the machine's clocks advance.
func TestFreezeIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		defer clock.ReplaceSource(func() time.Duration { return 0 })()
		clock.Sync()
		time.Sleep(time.Minute)
		clock.Sync()
		_, found := clock.ResumedAt()
		is.True(!found) // detection is off
		defer clock.DetectFreezes()()
		time.Sleep(clock.SyncInterval)
		clock.Sync()
		_, found = clock.ResumedAt()
		is.True(!found)
		time.Sleep(3 * time.Second)
		now := clock.Sync()
		resumedAt, found := clock.ResumedAt()
		is.True(found)
		is.Equal(resumedAt, now)
	})
}
