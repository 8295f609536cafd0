// Notices between routers are datagrams. A router that stood still reads those of the
// meantime all at once, and one that went a longer way comes after newer ones. No run
// showed this one: it was found by reading.
package backend_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A notice of older weights that comes late does not take back which ones an engine takes:
// requests would be sent for the older ones, and be turned away.
func TestALateNoticeOfOlderWeightsChangesNothing(t *testing.T) {
	const load = 700 * time.Millisecond
	is := is.New(t)
	known := registry(engine("a", 1))
	known.MarkLoading(start, "a", model, 3, load)
	known.MarkLoading(start.Add(100*time.Millisecond), "a", model, 2, load)
	_, _, found := known.Pick(start.Add(650*time.Millisecond), query())
	is.True(!found) // it takes weights 3
	choice, _ := pick(t, known, start.Add(load), query())
	is.Equal(choice.Version, 3)
}

// One that is known to have the newer weights stays in use.
func TestALateNoticeOfWeightsThatAreThereChangesNothing(t *testing.T) {
	is := is.New(t)
	known := registry(engine("a", 1))
	known.ObserveVersion("a", model, 3)
	for version := 2; version <= 3; version++ {
		known.MarkLoading(start, "a", model, version, time.Second)
		choice, _ := pick(t, known, start.Add(time.Millisecond), query())
		is.Equal(choice.Version, 3)
	}
}
