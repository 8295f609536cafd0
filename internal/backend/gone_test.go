package backend_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// A back end at whose address another one was found gets no work for a time, and its
// prompts have another home.
func TestABackEndThatIsGoneGetsNoWork(t *testing.T) {
	tests := []struct {
		name string
		find func(known *backend.Registry, home ident.Incarnation)
		// after is the time between the finding and the choice.
		after time.Duration
		same  bool
		// told is what the other routers are told.
		told bool
	}{
		{name: "by a request", told: true, find: func(known *backend.Registry, _ ident.Incarnation) {
			_, flight, _ := known.Pick(start, query())
			flight.End(start, backend.Misdirected)
		}},
		{name: "by a check", told: true, find: func(known *backend.Registry, home ident.Incarnation) {
			known.ObserveGone(start, home)
		}},
		{name: "by a request and a check", told: true, find: func(known *backend.Registry, home ident.Incarnation) {
			_, flight, _ := known.Pick(start, query())
			flight.End(start, backend.Misdirected)
			known.ObserveGone(start, home)
		}},
		{name: "by another router", find: func(known *backend.Registry, home ident.Incarnation) {
			known.PeerGone(start, []ident.Incarnation{home})
		}},
		{name: "by another router before this one", find: func(known *backend.Registry, home ident.Incarnation) {
			known.PeerGone(start, []ident.Incarnation{home})
			known.ObserveGone(start, home)
		}},
		{name: "some time ago", after: 4 * time.Second, same: true, find: func(known *backend.Registry, home ident.Incarnation) {
			known.PeerGone(start, []ident.Incarnation{home})
		}},
		{name: "unknown back ends", same: true, find: func(known *backend.Registry, _ ident.Incarnation) {
			known.PeerGone(start, []ident.Incarnation{"x"})
			known.ObserveGone(start, "x")
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			known := registry(engine("a", 1), engine("b", 1), engine("c", 1))
			home, _ := pick(t, registry(engine("a", 1), engine("b", 1), engine("c", 1)), start, query())
			tt.find(known, home.Instance)
			choice, _ := pick(t, known, start.Add(tt.after), query())
			is.Equal(choice.Instance == home.Instance, tt.same)
			is.True(choice.Home)
			var told []ident.Incarnation
			if tt.told {
				told = []ident.Incarnation{home.Instance}
			}
			is.Equal(known.NewlyGone(), told)
			is.Equal(len(known.NewlyGone()), 0) // told once
		})
	}
}
