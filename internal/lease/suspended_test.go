package lease

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/clock"
)

// A holder whose machine was suspended for longer than its lease lasts acts no more: another
// one may hold it, and the steady clock does not count that time.
func TestASuspendedHolderHoldsNoMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		asleep := time.Duration(0)
		defer clock.ReplaceSource(func() time.Duration { return asleep })()
		elector := NewElector(&link{fakeTable: &fakeTable{model: newTableModel()}}, Config{Duration: duration}, "x", "n")
		elector.Contend(true)
		go elector.Run(t.Context())
		time.Sleep(2 * duration)
		_, err := elector.Held()
		is.NoErr(err)
		asleep = 2 * duration
		_, err = elector.Held()
		is.True(errors.Is(err, ErrNotHeld))
		_, err = elector.Act()
		is.True(errors.Is(err, ErrNotHeld))
	})
}
