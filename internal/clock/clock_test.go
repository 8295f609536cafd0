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
	is.True(clock.Since(before) < 4*time.Second) // nobody has looked yet
	is.True(clock.Sync().Sub(before) >= 5*time.Second)
	is.True(clock.Since(before) >= 5*time.Second)
	resumedAt, found := clock.ResumedAt()
	is.True(found)
	is.True(clock.Since(resumedAt) < time.Second)
	// What lies between two looks at the clocks is no suspension.
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

// A process that is frozen, while the clocks of its machine go on, has stood still too.
func TestFreezeIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		defer clock.ReplaceSource(func() time.Duration { return 0 })()
		clock.Sync()
		time.Sleep(time.Minute)
		clock.Sync()
		_, found := clock.ResumedAt()
		is.True(!found) // nobody looks all the time
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
