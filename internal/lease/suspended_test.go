package lease

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/clock"
)

// A holder whose machine was suspended for longer than the lease must not act: another may hold it,
// and the monotonic clock does not count that time.
func TestSuspendedHolderLosesLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		suspended := time.Duration(0)
		defer clock.ReplaceSource(func() time.Duration { return suspended })()
		elector := NewElector(&link{fakeTable: &fakeTable{model: newTableModel()}}, Config{Duration: duration}, "x", "n")
		elector.Contend(true)
		go elector.Run(t.Context())
		time.Sleep(2 * duration)
		_, err := elector.Held()
		is.NoErr(err)
		suspended = 2 * duration
		_, err = elector.Held()
		is.True(errors.Is(err, ErrNotHeld))
		_, err = elector.Act()
		is.True(errors.Is(err, ErrNotHeld))
	})
}
