// Notifications between routers are datagrams, which may arrive late and out of order.
package backend_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A late notification of older weights must not replace the version that an engine is loading:
// requests sent for the older version would be refused.
func TestLateNotificationOfOlderWeightsIsIgnored(t *testing.T) {
	const load = 700 * time.Millisecond
	is := is.New(t)
	known := registry(engine("a", 1))
	known.MarkLoading(start, "a", model, 3, load)
	known.MarkLoading(start.Add(100*time.Millisecond), "a", model, 2, load)
	_, _, found := known.Pick(start.Add(650*time.Millisecond), query())
	is.True(!found) // it is loading version 3
	choice, _ := pick(t, known, start.Add(load), query())
	is.Equal(choice.Version, 3)
}

// An engine known to have the newer weights stays in use.
func TestLateNotificationOfLoadedWeightsIsIgnored(t *testing.T) {
	is := is.New(t)
	known := registry(engine("a", 1))
	known.ObserveVersion("a", model, 3)
	for version := 2; version <= 3; version++ {
		known.MarkLoading(start, "a", model, version, time.Second)
		choice, _ := pick(t, known, start.Add(time.Millisecond), query())
		is.Equal(choice.Version, 3)
	}
}
