package forward

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/memory"
)

// Events of many streams that are each below the limit of one must not fill the memory together.
func TestEventsHeldTogetherAreBounded(t *testing.T) {
	is := is.New(t)
	const limit, size = 200 << 10, 60 << 10
	held := memory.NewBudget(limit)
	event := "data: " + strings.Repeat("x", size) + "\n\n"
	var readers []*eventReader
	whole := 0
	for range 10 {
		reader := newEventReader(strings.NewReader(event), held)
		readers = append(readers, reader)
		next, err := reader.next()
		if err == nil {
			whole++
			is.Equal(string(next.raw), event)
			continue
		}
		is.Equal(err, errEventTooLarge)
	}
	is.True(whole > 0 && whole < 10)
	for _, reader := range readers {
		reader.close()
	}
	is.Equal(held.Used(), int64(0))
}

// After a large event, the memory for it must be free for those of other streams.
func TestLargeEventHoldsNoMemoryAfterwards(t *testing.T) {
	is := is.New(t)
	held := memory.NewBudget(1 << 20)
	large, small := "data: "+strings.Repeat("x", 100<<10)+"\n\n", "data: x\n\n"
	events := newEventReader(strings.NewReader(large+small+large), held)
	for _, want := range []string{large, small, large} {
		next, err := events.next()
		is.NoErr(err)
		is.Equal(string(next.raw), want)
		is.True(held.Used() >= int64(cap(next.raw)-memory.UnreservedBytes)) // counted as allocated
		is.True(held.Used() > 0 == (want == large))
	}
	events.close()
	is.Equal(held.Used(), int64(0))
}

// Small events must be read while large ones use up the memory.
func TestSmallEventsNeedNoReservation(t *testing.T) {
	is := is.New(t)
	events := newEventReader(strings.NewReader("id: 1\n"+strings.Repeat("x", memory.UnreservedBytes/2)+"\n\n"), memory.NewBudget(1))
	defer events.close()
	_, err := events.next()
	is.NoErr(err)
}
