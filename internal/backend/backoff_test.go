package backend

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/mechanism"
)

// resting returns a registry that knows one back end, which asked for a rest at a time.
func backingOffRegistry(at time.Time, duration time.Duration) *Registry {
	r := NewRegistry(Config{})
	r.Update(at, listOf(1, "e@1"))
	advertiseBackoff(r, at, duration)
	return r
}

func advertiseBackoff(r *Registry, at time.Time, duration time.Duration) {
	r.TakeSaid(at, "e@1", at, Said{Rest: duration}, ByAnswer)
}

// The longest rest holds, for that life and whatever becomes of its row.
func TestEndOfBackoff(t *testing.T) {
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
		{"a shorter one later", 3 * time.Second, func(r *Registry) { advertiseBackoff(r, at.Add(time.Second), time.Second) }, 3 * time.Second},
		{"a longer one later", 3 * time.Second, func(r *Registry) { advertiseBackoff(r, at.Add(time.Second), 3*time.Second) }, 4 * time.Second},
		{"none later", 3 * time.Second, func(r *Registry) { advertiseBackoff(r, at.Add(time.Second), 0) }, 3 * time.Second},
		{"another answer later", 3 * time.Second, func(r *Registry) {
			r.TakeSaid(at.Add(time.Second), "e@1", at, Said{Limit: Unlimited{}}, ByAnswer)
		}, 3 * time.Second},
		{"its row is written anew", 3 * time.Second, func(r *Registry) { r.Update(at.Add(time.Second), listOf(2, "e@1")) }, 3 * time.Second},
		{"its row goes and comes back", 3 * time.Second, func(r *Registry) {
			r.Update(at.Add(time.Second), nil)
			r.Update(at.Add(2*time.Second), listOf(2, "e@1"))
		}, 3 * time.Second},
		{"another router's word", 3 * time.Second, func(r *Registry) {
			r.TakeNews(at.Add(time.Second), []News{{Instance: "e@1", Sequence: 1, Limited: true, Rate: 100}})
		}, 3 * time.Second},
		{"its next life begins", time.Hour, func(r *Registry) { r.Update(at.Add(time.Second), listOf(2, "e@2")) }, time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := backingOffRegistry(at, tt.rest)
			if tt.course != nil {
				tt.course(r)
			}
			if tt.ends > time.Second {
				_, _, found := r.Pick(at.Add(tt.ends-time.Millisecond), &modelQuery)
				is.True(!found)
			}
			_, _, found := r.Pick(at.Add(tt.ends), &modelQuery)
			is.True(found)
		})
	}
}

// A back end that is told what to do by its own word is neither paused nor marked as failing.
func TestBackoffIsNoFailure(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	r := NewRegistry(Config{})
	r.Update(at, listOf(1, "e@1"))
	for range 5 {
		_, flight, found := r.Pick(at, &modelQuery)
		is.True(found)
		advertiseBackoff(r, at, 100*time.Millisecond)
		flight.Ended(at, Refused)
		at = at.Add(100 * time.Millisecond)
	}
	known := r.byID["e@1"]
	is.Equal(known.failed, 0.0)
	is.True(!at.Before(known.pausedUntil))
}

// After a rest attempts come as answers do: one, then two, four and so on, and all after a time.
func TestFewAttemptsAfterBackoff(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	r := backingOffRegistry(at, time.Second)
	now := at.Add(time.Second)
	place := func() (placed []*Flight) {
		for range 2 * lastReopenLimit {
			_, flight, found := r.Pick(now, &modelQuery)
			if !found {
				break
			}
			placed = append(placed, flight)
		}
		return placed
	}
	is.Equal(len(place()), firstReopenLimit)
	is.Equal(r.Outlook(now, &modelQuery), MaySoon{}) // the first awaits its answer
	now = now.Add(reopenPeriod)
	is.Equal(len(place()), 2*lastReopenLimit) // answers are slow
	r, now = backingOffRegistry(at, time.Second), at.Add(time.Second)
	for allowed := firstReopenLimit; allowed <= lastReopenLimit; allowed *= 2 {
		placed := place()
		is.Equal(len(placed), allowed)
		placed[0].Heard(now)
		for _, flight := range placed {
			flight.Ended(now, Answered)
		}
	}
	is.Equal(len(place()), 2*lastReopenLimit)
}

// An attempt that was placed before is not sent once the back end wants rest.
func TestBackoffWithdrawsAttempt(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	r := NewRegistry(Config{})
	r.Update(at, listOf(1, "e@1"))
	_, flight, _ := r.Pick(at, &modelQuery)
	is.True(!flight.Withdrawn(at))
	advertiseBackoff(r, at, time.Second)
	is.True(flight.Withdrawn(at.Add(999 * time.Millisecond)))
	is.True(!flight.Withdrawn(at.Add(time.Second)))
}

// Two reports or orders may go to a back end that rests, in each rest.
func TestCallsDuringBackoffAreBounded(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	r := backingOffRegistry(at, time.Second)
	allowed := func(now time.Time) (count int) {
		for range 5 {
			if r.MayCall(now, "e@1") {
				count++
			}
		}
		return count
	}
	is.Equal(allowed(at), maxBackoffCalls)
	advertiseBackoff(r, at.Add(500*time.Millisecond), time.Second)
	is.Equal(allowed(at.Add(500*time.Millisecond)), 0)
	is.Equal(allowed(at.Add(1500*time.Millisecond)), 5)
	advertiseBackoff(r, at.Add(2*time.Second), time.Second)
	is.Equal(allowed(at.Add(2*time.Second)), maxBackoffCalls)
}

// Of back ends at rest, and of those whose limits are used up, the first that is free counts.
func TestAvailabilityDuringBackoff(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	r := NewRegistry(Config{})
	r.Update(at, listOf(1, "e@1", "f", "g"))
	advertiseBackoff(r, at, 3*time.Second)
	is.Equal(r.Outlook(at, &modelQuery), MaySoon{})
	r.TakeSaid(at, "f", at, Said{Limit: LimitedTo{Rate: 1}, Rest: time.Second}, ByAnswer)
	r.LimitUsedUp("f", at.Add(2*time.Second))
	r.TakeSaid(at, "g", at, Said{Leaving: true}, ByAnswer)
	is.Equal(r.Outlook(at, &modelQuery), NotBefore{At: at.Add(2 * time.Second)})
	r.LimitUsedUp("f", at)
	is.Equal(r.Outlook(at, &modelQuery), NotBefore{At: at.Add(time.Second), Rest: true})
}

// Without the mechanism words are passed over.
func TestAdvertisedStateIsIgnoredWhenDisabled(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	disabled, err := mechanism.Without([]string{string(mechanism.BackendWords)})
	is.NoErr(err)
	r := NewRegistry(Config{Off: disabled})
	r.Update(at, listOf(1, "e@1"))
	r.TakeSaid(at, "e@1", at, Said{Leaving: true, Rest: time.Hour}, ByAnswer)
	r.TakeNews(at, []News{{Instance: "e@1", Leaving: true}})
	_, _, found := r.Pick(at, &modelQuery)
	is.True(found)
}

// A choice tells that it went elsewhere, if a back end that rests would have been faster.
func TestChoiceReportsSkippedFasterBackend(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	r := NewRegistry(Config{Zone: "near"})
	records := listOf(1, "e@1", "f")
	records[0].Zone, records[1].Zone = "near", "far"
	r.Update(at, records)
	choice, flight, _ := r.Pick(at, &modelQuery)
	is.Equal(choice.Instance, records[0].Instance)
	is.Equal(choice.Instead, NotPassedOver)
	flight.Ended(at, Abandoned)
	advertiseBackoff(r, at, time.Second)
	choice, _, _ = r.Pick(at, &modelQuery)
	is.Equal(choice.Instead, PassedOverRest)
	is.Equal(choice.Resting, 1)
	r.TakeSaid(at, "e@1", at, Said{Leaving: true}, ByAnswer)
	choice, _, _ = r.Pick(at, &modelQuery)
	is.Equal(choice.Instead, PassedOverLeft)
	is.Equal(choice.Leaving, 1)
}

// Where no repeat is to spare, back ends that asked for rest lately are passed over as long as there
// are others.
func TestAvoidRecentBackoff(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	r := NewRegistry(Config{})
	r.Update(at, listOf(1, "e@1", "f"))
	advertiseBackoff(r, at, time.Second)
	after := at.Add(time.Second)
	recent := 0
	for key := range uint64(20) {
		choice, flight, _ := r.Pick(after, &Query{Service: "s", Model: "m", SpreadKey: key})
		is.Equal(choice.Doubted, choice.Instance == "e@1")
		if choice.Doubted {
			recent++
		}
		flight.Ended(after, Abandoned)
		choice, flight, _ = r.Pick(after, &Query{Service: "s", Model: "m", SpreadKey: key, AvoidDoubted: true})
		is.True(choice.Instance != "e@1")
		flight.Ended(after, Abandoned)
	}
	is.True(recent > 0)
	r.TakeSaid(after, "f", after, Said{Leaving: true}, ByAnswer)
	query := modelQuery
	query.AvoidDoubted = true
	choice, _, found := r.Pick(after.Add(time.Second), &query)
	is.True(found)
	is.True(!choice.Doubted) // there is no other
}
