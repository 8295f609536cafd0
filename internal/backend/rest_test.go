package backend

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/mechanism"
)

// resting returns a registry that knows one back end, which asked for a rest at a time.
func resting(at time.Time, rest time.Duration) *Registry {
	r := NewRegistry(Config{})
	r.ApplyList(at, listOf(1, "e@1"))
	askRest(r, at, rest)
	return r
}

func askRest(r *Registry, at time.Time, rest time.Duration) {
	r.ObserveAdvertised(at, "e@1", at, Advertised{Backoff: rest}, SourceAnswer)
}

// The longest rest holds, for that life and whatever becomes of its row.
func TestWhenARestEnds(t *testing.T) {
	at := time.Unix(1000, 0)
	tests := []struct {
		name   string
		rest   time.Duration
		course func(r *Registry)
		ends   time.Duration
	}{
		{"as asked for", 3 * time.Second, nil, 3 * time.Second},
		{"a fraction of a second", 200 * time.Millisecond, nil, 200 * time.Millisecond},
		{"a year", 365 * 24 * time.Hour, nil, 365 * 24 * time.Hour},
		{"a shorter one later", 3 * time.Second, func(r *Registry) { askRest(r, at.Add(time.Second), time.Second) }, 3 * time.Second},
		{"a longer one later", 3 * time.Second, func(r *Registry) { askRest(r, at.Add(time.Second), 3*time.Second) }, 4 * time.Second},
		{"none later", 3 * time.Second, func(r *Registry) { askRest(r, at.Add(time.Second), 0) }, 3 * time.Second},
		{"another answer later", 3 * time.Second, func(r *Registry) {
			r.ObserveAdvertised(at.Add(time.Second), "e@1", at, Advertised{Limit: Unlimited{}}, SourceAnswer)
		}, 3 * time.Second},
		{"its row is written anew", 3 * time.Second, func(r *Registry) { r.ApplyList(at.Add(time.Second), listOf(2, "e@1")) }, 3 * time.Second},
		{"its row goes and comes back", 3 * time.Second, func(r *Registry) {
			r.ApplyList(at.Add(time.Second), nil)
			r.ApplyList(at.Add(2*time.Second), listOf(2, "e@1"))
		}, 3 * time.Second},
		{"another router's word", 3 * time.Second, func(r *Registry) {
			r.ApplyUpdates(at.Add(time.Second), []StateUpdate{{Instance: "e@1", Sequence: 1, Limited: true, Rate: 100}})
		}, 3 * time.Second},
		{"its next life begins", time.Hour, func(r *Registry) { r.ApplyList(at.Add(time.Second), listOf(2, "e@2")) }, time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := resting(at, tt.rest)
			if tt.course != nil {
				tt.course(r)
			}
			if tt.ends > time.Second {
				_, _, found := r.Pick(at.Add(tt.ends-time.Millisecond), &wordsQuery)
				is.True(!found)
			}
			_, _, found := r.Pick(at.Add(tt.ends), &wordsQuery)
			is.True(found)
		})
	}
}

// A back end that is told what to do by its own word is neither paused nor marked as failing.
func TestARestIsNoMarkOfFailure(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	r := NewRegistry(Config{})
	r.ApplyList(at, listOf(1, "e@1"))
	for range 5 {
		_, flight, found := r.Pick(at, &wordsQuery)
		is.True(found)
		askRest(r, at, 100*time.Millisecond)
		flight.End(at, Refused)
		at = at.Add(100 * time.Millisecond)
	}
	known := r.byID["e@1"]
	is.Equal(known.failed, 0.0)
	is.True(!at.Before(known.pausedUntil))
}

// After a rest attempts come as answers do: one, then two, four and so on, and all after a time.
func TestABackEndIsTriedWithFewAttemptsAfterItsRest(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	r := resting(at, time.Second)
	now := at.Add(time.Second)
	place := func() (placed []*Attempt) {
		for range 2 * allRoom {
			_, flight, found := r.Pick(now, &wordsQuery)
			if !found {
				break
			}
			placed = append(placed, flight)
		}
		return placed
	}
	is.Equal(len(place()), firstRoom)
	is.Equal(r.Availability(now, &wordsQuery), AvailableSoon{}) // the first awaits its answer
	now = now.Add(reopening)
	is.Equal(len(place()), 2*allRoom) // answers are slow
	r, now = resting(at, time.Second), at.Add(time.Second)
	for room := firstRoom; room <= allRoom; room *= 2 {
		placed := place()
		is.Equal(len(placed), room)
		placed[0].ObserveBytes(now)
		for _, flight := range placed {
			flight.End(now, Answered)
		}
	}
	is.Equal(len(place()), 2*allRoom)
}

// An attempt that was placed before is not sent once the back end wants rest.
func TestAnAttemptIsWithdrawnByARest(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	r := NewRegistry(Config{})
	r.ApplyList(at, listOf(1, "e@1"))
	_, flight, _ := r.Pick(at, &wordsQuery)
	is.True(!flight.MustWithdraw(at))
	askRest(r, at, time.Second)
	is.True(flight.MustWithdraw(at.Add(999 * time.Millisecond)))
	is.True(!flight.MustWithdraw(at.Add(time.Second)))
}

// Two reports or orders may go to a back end that rests, in each rest.
func TestFewCallsGoToABackEndThatRests(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	r := resting(at, time.Second)
	allowed := func(now time.Time) (count int) {
		for range 5 {
			if r.AllowCall(now, "e@1") {
				count++
			}
		}
		return count
	}
	is.Equal(allowed(at), callsInRest)
	askRest(r, at.Add(500*time.Millisecond), time.Second)
	is.Equal(allowed(at.Add(500*time.Millisecond)), 0)
	is.Equal(allowed(at.Add(1500*time.Millisecond)), 5)
	askRest(r, at.Add(2*time.Second), time.Second)
	is.Equal(allowed(at.Add(2*time.Second)), callsInRest)
}

// Of back ends at rest, and of those whose limits are used up, the first that is free counts.
func TestOutlookOfBackEndsAtRest(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	r := NewRegistry(Config{})
	r.ApplyList(at, listOf(1, "e@1", "f", "g"))
	askRest(r, at, 3*time.Second)
	is.Equal(r.Availability(at, &wordsQuery), AvailableSoon{})
	r.ObserveAdvertised(at, "f", at, Advertised{Limit: LimitedTo{Rate: 1}, Backoff: time.Second}, SourceAnswer)
	r.ObserveLimitUsedUp("f", at.Add(2*time.Second))
	r.ObserveAdvertised(at, "g", at, Advertised{Draining: true}, SourceAnswer)
	is.Equal(r.Availability(at, &wordsQuery), AvailableAfter{At: at.Add(2 * time.Second)})
	r.ObserveLimitUsedUp("f", at)
	is.Equal(r.Availability(at, &wordsQuery), AvailableAfter{At: at.Add(time.Second), Backoff: true})
}

// Without the mechanism words are passed over.
func TestWithoutBackendWords(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	off, err := mechanism.Without([]string{string(mechanism.BackendWords)})
	is.NoErr(err)
	r := NewRegistry(Config{Disabled: off})
	r.ApplyList(at, listOf(1, "e@1"))
	r.ObserveAdvertised(at, "e@1", at, Advertised{Draining: true, Backoff: time.Hour}, SourceAnswer)
	r.ApplyUpdates(at, []StateUpdate{{Instance: "e@1", Draining: true}})
	_, _, found := r.Pick(at, &wordsQuery)
	is.True(found)
}

// A choice tells that it went elsewhere, if a back end that rests would have been faster.
func TestAChoiceTellsWhyItWentElsewhere(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	r := NewRegistry(Config{Zone: "near"})
	records := listOf(1, "e@1", "f")
	records[0].Zone, records[1].Zone = "near", "far"
	r.ApplyList(at, records)
	choice, flight, _ := r.Pick(at, &wordsQuery)
	is.Equal(choice.Instance, records[0].Instance)
	is.Equal(choice.FasterSkip, SkipNone)
	flight.End(at, Abandoned)
	askRest(r, at, time.Second)
	choice, _, _ = r.Pick(at, &wordsQuery)
	is.Equal(choice.FasterSkip, SkipBackoff)
	is.Equal(choice.BackoffSkips, 1)
	r.ObserveAdvertised(at, "e@1", at, Advertised{Draining: true}, SourceAnswer)
	choice, _, _ = r.Pick(at, &wordsQuery)
	is.Equal(choice.FasterSkip, SkipDraining)
	is.Equal(choice.DrainingSkips, 1)
}

// Where no repeat is to spare, back ends that asked for rest lately are passed over as long as there
// are others.
func TestBackEndsThatMayRefuseAgainAreAvoided(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	r := NewRegistry(Config{})
	r.ApplyList(at, listOf(1, "e@1", "f"))
	askRest(r, at, time.Second)
	after := at.Add(time.Second)
	doubted := 0
	for key := range uint64(20) {
		choice, flight, _ := r.Pick(after, &Query{Service: "s", Model: "m", SpreadKey: key})
		is.Equal(choice.RecentBackoff, choice.Instance == "e@1")
		if choice.RecentBackoff {
			doubted++
		}
		flight.End(after, Abandoned)
		choice, flight, _ = r.Pick(after, &Query{Service: "s", Model: "m", SpreadKey: key, AvoidRecentBackoff: true})
		is.True(choice.Instance != "e@1")
		flight.End(after, Abandoned)
	}
	is.True(doubted > 0)
	r.ObserveAdvertised(after, "f", after, Advertised{Draining: true}, SourceAnswer)
	query := wordsQuery
	query.AvoidRecentBackoff = true
	choice, _, found := r.Pick(after.Add(time.Second), &query)
	is.True(found)
	is.True(!choice.RecentBackoff) // there is no other
}
