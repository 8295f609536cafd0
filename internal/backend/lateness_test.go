package backend_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// A router of a large fleet hears a few answers a second, of a few of many engines. It
// notices by them that the whole service is late.
func TestARouterOfALargeFleetNoticesCongestion(t *testing.T) {
	const engines = 90
	tests := []struct {
		name string
		// answers came late by a time, each some time after the one before.
		answers int
		by      time.Duration
		apart   time.Duration
		// after is the time from the last answer to the choice.
		after     time.Duration
		congested bool
	}{
		{"answers in time", 20, 0, 100 * time.Millisecond, 0, false},
		{"one very late answer", 1, 600 * time.Millisecond, 0, 0, false},
		{"late answers, four a second", 8, 400 * time.Millisecond, 250 * time.Millisecond, 0, true},
		{"late answers some time ago", 8, 400 * time.Millisecond, 250 * time.Millisecond, 4 * time.Second, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var records []backend.Record
			for index := range engines {
				records = append(records, engine(ident.Incarnation(fmt.Sprint("e", index)), 1))
			}
			known := registry(records...)
			now := start
			for key := range uint64(tt.answers) {
				wanted := query()
				wanted.HomeKey, wanted.SpreadKey = key+1, key+1
				choice, flight := pick(t, known, now, wanted)
				now = now.Add(tt.apart)
				flight.ObserveBytes(now.Add(choice.Predicted - tt.apart + tt.by))
				flight.End(now, backend.Answered)
			}
			choice, _ := pick(t, known, now.Add(tt.by+tt.after), query())
			t.Log(choice.Congestion)
			is.Equal(choice.Congestion >= 0.7, tt.congested)
		})
	}
}

// What other routers saw waiting at an engine counts as a wait there.
func TestToldQueuesCountAsAWait(t *testing.T) {
	is := is.New(t)
	known := registry(engine("a", 1))
	before, flight := pick(t, known, start, query())
	flight.End(start, backend.Answered)
	known.PeerQueue(start, "a", 10)
	choice, _ := pick(t, known, start, query())
	is.Equal(choice.Wait()-before.Wait(), 500*time.Millisecond)
}
