package backend_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// Reports of a peer about the home of a prompt divert work for a short time, unless this router
// has newer evidence.
func TestPeerReportsAboutHome(t *testing.T) {
	tests := []struct {
		name   string
		report func(known *backend.Registry, home ident.Incarnation)
		// after is the time between the report and the choice.
		after time.Duration
		// same is whether the same back end is chosen, home whether the chosen one is a home:
		// that of a silent engine passes to the next one.
		same, home bool
	}{
		{"nothing", func(*backend.Registry, ident.Incarnation) {}, 0, true, true},
		{"silent", func(known *backend.Registry, home ident.Incarnation) {
			known.PeerSilent(start, []ident.Incarnation{home})
		}, 0, false, true},
		{"silent, some time ago", func(known *backend.Registry, home ident.Incarnation) {
			known.PeerSilent(start, []ident.Incarnation{home})
		}, backend.PeerSilentFor, true, true},
		{"silent, answering later", func(known *backend.Registry, home ident.Incarnation) {
			known.PeerSilent(start, []ident.Incarnation{home})
			known.PeerAnswering([]ident.Incarnation{home})
		}, 0, true, true},
		{"silent, but answered this router later", func(known *backend.Registry, home ident.Incarnation) {
			_, attempt, _ := known.Pick(start, query())
			known.PeerSilent(start, []ident.Incarnation{home})
			attempt.ObserveBytes(start.Add(time.Millisecond))
			known.PeerSilent(start.Add(2*time.Millisecond), []ident.Incarnation{home})
			attempt.End(start.Add(2*time.Millisecond), backend.Answered)
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
		{"an invalid queue", func(known *backend.Registry, home ident.Incarnation) { known.PeerQueue(start, home, -5) }, 0, true, true},
		{"an old queue", func(known *backend.Registry, home ident.Incarnation) {
			known.PeerQueue(start, home, 1<<30)
		}, 1001 * time.Millisecond, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			known := registry(engine("a", 1), engine("b", 1), engine("c", 1))
			home, _ := pick(t, registry(engine("a", 1), engine("b", 1), engine("c", 1)), start, query())
			tt.report(known, home.Instance)
			choice, _ := pick(t, known, start.Add(tt.after), query())
			is.Equal(choice.Instance == home.Instance, tt.same)
			is.Equal(choice.Home, tt.home)
		})
	}
}

// A peer that wrongly reports all engines excludes none.
func TestAllEnginesReportedSilentAreStillUsed(t *testing.T) {
	is := is.New(t)
	known := registry(engine("a", 1), engine("b", 1))
	known.PeerSilent(start, []ident.Incarnation{"a", "b"})
	for _, instance := range []ident.Incarnation{"a", "b"} {
		known.PeerQueue(start, instance, 1<<30)
	}
	choice, _ := pick(t, known, start, query())
	is.True(choice.Home)
}

// Routers agree on the next home of a prompt whose home was reported silent, and the home gets
// its prompts again when it answers.
func TestRoutersAgreeOnNextHomeOfSilentEngine(t *testing.T) {
	is := is.New(t)
	first, second := registry(engine("a", 1), engine("b", 1), engine("c", 1)), registry(engine("c", 1), engine("a", 1), engine("b", 1))
	home, _ := pick(t, registry(engine("a", 1), engine("b", 1), engine("c", 1)), start, query())
	for _, known := range []*backend.Registry{first, second} {
		known.PeerSilent(start, []ident.Incarnation{home.Instance})
	}
	one, attempt := pick(t, first, start, query())
	other, _ := pick(t, second, start, query())
	is.True(one.Home)
	is.Equal(one.Instance, other.Instance)
	is.True(one.Instance != home.Instance)
	attempt.End(start, backend.Answered)
	first.PeerAnswering([]ident.Incarnation{home.Instance})
	back, _ := pick(t, first, start, query())
	is.Equal(back.Instance, home.Instance)
}
