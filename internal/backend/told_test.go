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
		// same says that the choice stays where the prompt was at home, home that it is
		// a home: that of a silent engine passes to the next one.
		same, home bool
	}{
		{"nothing", func(*backend.Registry, ident.Incarnation) {}, 0, true, true},
		{"silent", func(known *backend.Registry, home ident.Incarnation) {
			known.PeerSilent(start, []ident.Incarnation{home})
		}, 0, false, true},
		{"silent, some time ago", func(known *backend.Registry, home ident.Incarnation) {
			known.PeerSilent(start, []ident.Incarnation{home})
		}, backend.PeerSilentFor, true, true},
		{"silent, and answering since", func(known *backend.Registry, home ident.Incarnation) {
			known.PeerSilent(start, []ident.Incarnation{home})
			known.PeerAnswering([]ident.Incarnation{home})
		}, 0, true, true},
		{"silent, but heard here since", func(known *backend.Registry, home ident.Incarnation) {
			_, flight, _ := known.Pick(start, query())
			known.PeerSilent(start, []ident.Incarnation{home})
			flight.ObserveBytes(start.Add(time.Millisecond))
			known.PeerSilent(start.Add(2*time.Millisecond), []ident.Incarnation{home})
			flight.End(start.Add(2*time.Millisecond), backend.Answered)
		}, 3 * time.Millisecond, true, true},
		{"unknown engines", func(known *backend.Registry, _ ident.Incarnation) {
			known.PeerSilent(start, []ident.Incarnation{"x"})
			known.PeerAnswering([]ident.Incarnation{"x"})
			known.PeerQueue(start, "x", 9)
		}, 0, true, true},
		{"a long queue", func(known *backend.Registry, home ident.Incarnation) { known.PeerQueue(start, home, 16) }, 0, false, false},
		{"a short queue", func(known *backend.Registry, home ident.Incarnation) { known.PeerQueue(start, home, 1) }, 0, true, true},
		{"a queue that ended", func(known *backend.Registry, home ident.Incarnation) {
			known.PeerQueue(start, home, 16)
			known.PeerQueue(start, home, 0)
		}, 0, true, true},
		{"no possible queue", func(known *backend.Registry, home ident.Incarnation) { known.PeerQueue(start, home, -5) }, 0, true, true},
		{"an old queue", func(known *backend.Registry, home ident.Incarnation) {
			known.PeerQueue(start, home, 1<<30)
		}, 1001 * time.Millisecond, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			known := registry(engine("a", 1), engine("b", 1), engine("c", 1))
			home, _ := pick(t, registry(engine("a", 1), engine("b", 1), engine("c", 1)), start, query())
			tt.tell(known, home.Instance)
			choice, _ := pick(t, known, start.Add(tt.after), query())
			is.Equal(choice.Instance == home.Instance, tt.same)
			is.Equal(choice.Home, tt.home)
		})
	}
}

// A teller that is wrong about all engines shuts none out.
func TestEnginesThatAreAllToldSilentAreStillUsed(t *testing.T) {
	is := is.New(t)
	known := registry(engine("a", 1), engine("b", 1))
	known.PeerSilent(start, []ident.Incarnation{"a", "b"})
	for _, instance := range []ident.Incarnation{"a", "b"} {
		known.PeerQueue(start, instance, 1<<30)
	}
	choice, _ := pick(t, known, start, query())
	is.True(choice.Home)
}

// Routers agree on the next home of a prompt whose home was told silent, and it takes
// its prompts back when it answers.
func TestTheHomeOfASilentEngineIsTheSameAtAllRouters(t *testing.T) {
	is := is.New(t)
	first, second := registry(engine("a", 1), engine("b", 1), engine("c", 1)), registry(engine("c", 1), engine("a", 1), engine("b", 1))
	home, _ := pick(t, registry(engine("a", 1), engine("b", 1), engine("c", 1)), start, query())
	for _, known := range []*backend.Registry{first, second} {
		known.PeerSilent(start, []ident.Incarnation{home.Instance})
	}
	one, flight := pick(t, first, start, query())
	other, _ := pick(t, second, start, query())
	is.True(one.Home)
	is.Equal(one.Instance, other.Instance)
	is.True(one.Instance != home.Instance)
	flight.End(start, backend.Answered)
	first.PeerAnswering([]ident.Incarnation{home.Instance})
	back, _ := pick(t, first, start, query())
	is.Equal(back.Instance, home.Instance)
}
