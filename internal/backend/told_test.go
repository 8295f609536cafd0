package backend_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// What another router told of the home of a prompt moves work elsewhere, for a short
// time, unless this router knows better.
func TestWhatOthersToldOfAHome(t *testing.T) {
	tests := []struct {
		name string
		tell func(known *backend.Registry, home ident.Incarnation)
		// after is the time between the telling and the choice.
		after time.Duration
		home  bool
	}{
		{"nothing", func(*backend.Registry, ident.Incarnation) {}, 0, true},
		{"silent", func(known *backend.Registry, home ident.Incarnation) {
			known.ToldSilent(start, []ident.Incarnation{home})
		}, 0, false},
		{"silent, some time ago", func(known *backend.Registry, home ident.Incarnation) {
			known.ToldSilent(start, []ident.Incarnation{home})
		}, backend.SilentFor, true},
		{"silent, and answering since", func(known *backend.Registry, home ident.Incarnation) {
			known.ToldSilent(start, []ident.Incarnation{home})
			known.ToldAnswering([]ident.Incarnation{home})
		}, 0, true},
		{"silent, but heard here since", func(known *backend.Registry, home ident.Incarnation) {
			_, flight, _ := known.Pick(start, query())
			known.ToldSilent(start, []ident.Incarnation{home})
			flight.Heard(start.Add(time.Millisecond))
			known.ToldSilent(start.Add(2*time.Millisecond), []ident.Incarnation{home})
			flight.Ended(start.Add(2*time.Millisecond), backend.Answered)
		}, 3 * time.Millisecond, true},
		{"unknown engines", func(known *backend.Registry, _ ident.Incarnation) {
			known.ToldSilent(start, []ident.Incarnation{"x"})
			known.ToldAnswering([]ident.Incarnation{"x"})
			known.ToldQueue(start, "x", 9)
		}, 0, true},
		{"a long queue", func(known *backend.Registry, home ident.Incarnation) { known.ToldQueue(start, home, 16) }, 0, false},
		{"a short queue", func(known *backend.Registry, home ident.Incarnation) { known.ToldQueue(start, home, 1) }, 0, true},
		{"a queue that ended", func(known *backend.Registry, home ident.Incarnation) {
			known.ToldQueue(start, home, 16)
			known.ToldQueue(start, home, 0)
		}, 0, true},
		{"no possible queue", func(known *backend.Registry, home ident.Incarnation) { known.ToldQueue(start, home, -5) }, 0, true},
		{"an old queue", func(known *backend.Registry, home ident.Incarnation) {
			known.ToldQueue(start, home, 1<<30)
		}, 1001 * time.Millisecond, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			known := registry(engine("a", 1), engine("b", 1), engine("c", 1))
			home, _ := pick(t, registry(engine("a", 1), engine("b", 1), engine("c", 1)), start, query())
			tt.tell(known, home.Instance)
			choice, _ := pick(t, known, start.Add(tt.after), query())
			is.Equal(choice.Home, tt.home)
		})
	}
}

// A teller that is wrong about all engines shuts none out.
func TestEnginesThatAreAllToldSilentAreStillUsed(t *testing.T) {
	is := is.New(t)
	known := registry(engine("a", 1), engine("b", 1))
	known.ToldSilent(start, []ident.Incarnation{"a", "b"})
	for _, instance := range []ident.Incarnation{"a", "b"} {
		known.ToldQueue(start, instance, 1<<30)
	}
	choice, _ := pick(t, known, start, query())
	is.True(choice.Home)
}
