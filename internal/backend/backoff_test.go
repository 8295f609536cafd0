package backend

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/mechanism"
)

// backingOffRegistry returns a registry with one back end that asked for a back-off at a time.
func backingOffRegistry(at time.Time, duration time.Duration) *Registry {
	r := NewRegistry(Config{})
	r.ApplyList(at, listOf(1, "e@1"))
	advertiseBackoff(r, at, duration)
	return r
}

func advertiseBackoff(r *Registry, at time.Time, duration time.Duration) {
	r.ObserveAdvertised(at, "e@1", at, Advertised{Backoff: duration}, SourceAnswer)
}

// The longest back-off applies, for its incarnation only, whatever the list shows.
func TestEndOfBackoff(t *testing.T) {
	at := time.Unix(1000, 0)
	tests := []struct {
		name    string
		backoff time.Duration
		course  func(r *Registry)
		ends    time.Duration
	}{
		{"as asked for", 3 * time.Second, nil, 3 * time.Second},
		{"a fraction of a second", 200 * time.Millisecond, nil, 200 * time.Millisecond},
		{"a year", 365 * 24 * time.Hour, nil, 365 * 24 * time.Hour},
		{"a shorter one later", 3 * time.Second, func(r *Registry) { advertiseBackoff(r, at.Add(time.Second), time.Second) }, 3 * time.Second},
		{"a longer one later", 3 * time.Second, func(r *Registry) { advertiseBackoff(r, at.Add(time.Second), 3*time.Second) }, 4 * time.Second},
		{"none later", 3 * time.Second, func(r *Registry) { advertiseBackoff(r, at.Add(time.Second), 0) }, 3 * time.Second},
		{"another answer later", 3 * time.Second, func(r *Registry) {
			r.ObserveAdvertised(at.Add(time.Second), "e@1", at, Advertised{Limit: Unlimited{}}, SourceAnswer)
		}, 3 * time.Second},
		{"its entry is written again", 3 * time.Second, func(r *Registry) { r.ApplyList(at.Add(time.Second), listOf(2, "e@1")) }, 3 * time.Second},
		{"it is unlisted and listed again", 3 * time.Second, func(r *Registry) {
			r.ApplyList(at.Add(time.Second), nil)
			r.ApplyList(at.Add(2*time.Second), listOf(2, "e@1"))
		}, 3 * time.Second},
		{"a peer's state update", 3 * time.Second, func(r *Registry) {
			r.ApplyUpdates(at.Add(time.Second), []StateUpdate{{Instance: "e@1", Sequence: 1, Limited: true, Rate: 100}})
		}, 3 * time.Second},
		{"its next incarnation begins", time.Hour, func(r *Registry) { r.ApplyList(at.Add(time.Second), listOf(2, "e@2")) }, time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := backingOffRegistry(at, tt.backoff)
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

// A back end that advertised a back-off is neither paused nor counted as failing.
func TestBackoffIsNoFailure(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	r := NewRegistry(Config{})
	r.ApplyList(at, listOf(1, "e@1"))
	for range 5 {
		_, attempt, found := r.Pick(at, &modelQuery)
		is.True(found)
		advertiseBackoff(r, at, 100*time.Millisecond)
		attempt.End(at, Refused)
		at = at.Add(100 * time.Millisecond)
	}
	known := r.byID["e@1"]
	is.Equal(known.failed, 0.0)
	is.True(!at.Before(known.pausedUntil))
}

// After a back-off the number of attempts grows with answers, 1, 2, 4 and so on, and is
// unbounded after a time.
func TestFewAttemptsAfterBackoff(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	r := backingOffRegistry(at, time.Second)
	now := at.Add(time.Second)
	place := func() (placed []*Attempt) {
		for range 2 * lastReopenLimit {
			_, attempt, found := r.Pick(now, &modelQuery)
			if !found {
				break
			}
			placed = append(placed, attempt)
		}
		return placed
	}
	is.Equal(len(place()), firstReopenLimit)
	is.Equal(r.Availability(now, &modelQuery), AvailableSoon{}) // the first awaits its answer
	now = now.Add(reopenPeriod)
	is.Equal(len(place()), 2*lastReopenLimit) // answers are slow
	r, now = backingOffRegistry(at, time.Second), at.Add(time.Second)
	for allowed := firstReopenLimit; allowed <= lastReopenLimit; allowed *= 2 {
		placed := place()
		is.Equal(len(placed), allowed)
		placed[0].ObserveBytes(now)
		for _, attempt := range placed {
			attempt.End(now, Answered)
		}
	}
	is.Equal(len(place()), 2*lastReopenLimit)
}

// An attempt that was placed before is not sent once the back end asks for a back-off.
func TestBackoffWithdrawsAttempt(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	r := NewRegistry(Config{})
	r.ApplyList(at, listOf(1, "e@1"))
	_, attempt, _ := r.Pick(at, &modelQuery)
	is.True(!attempt.MustWithdraw(at))
	advertiseBackoff(r, at, time.Second)
	is.True(attempt.MustWithdraw(at.Add(999 * time.Millisecond)))
	is.True(!attempt.MustWithdraw(at.Add(time.Second)))
}

// Two reports or load orders may go to a back end in each back-off.
func TestCallsDuringBackoffAreBounded(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	r := backingOffRegistry(at, time.Second)
	allowed := func(now time.Time) (count int) {
		for range 5 {
			if r.AllowCall(now, "e@1") {
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

// Of back-offs and used-up limits the first one to end counts.
func TestAvailabilityDuringBackoff(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	r := NewRegistry(Config{})
	r.ApplyList(at, listOf(1, "e@1", "f", "g"))
	advertiseBackoff(r, at, 3*time.Second)
	is.Equal(r.Availability(at, &modelQuery), AvailableSoon{})
	r.ObserveAdvertised(at, "f", at, Advertised{Limit: LimitedTo{Rate: 1}, Backoff: time.Second}, SourceAnswer)
	r.ObserveLimitUsedUp("f", at.Add(2*time.Second))
	r.ObserveAdvertised(at, "g", at, Advertised{Draining: true}, SourceAnswer)
	is.Equal(r.Availability(at, &modelQuery), AvailableAfter{At: at.Add(2 * time.Second)})
	r.ObserveLimitUsedUp("f", at)
	is.Equal(r.Availability(at, &modelQuery), AvailableAfter{At: at.Add(time.Second), Backoff: true})
}

func TestAdvertisedStateIsIgnoredWhenDisabled(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	disabled, err := mechanism.ParseDisabled([]string{string(mechanism.BackendAdvertised)})
	is.NoErr(err)
	r := NewRegistry(Config{Disabled: disabled})
	r.ApplyList(at, listOf(1, "e@1"))
	r.ObserveAdvertised(at, "e@1", at, Advertised{Draining: true, Backoff: time.Hour}, SourceAnswer)
	r.ApplyUpdates(at, []StateUpdate{{Instance: "e@1", Draining: true}})
	_, _, found := r.Pick(at, &modelQuery)
	is.True(found)
}

// A choice reports that a faster back end was skipped, and why.
func TestChoiceReportsSkippedFasterBackend(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	r := NewRegistry(Config{Zone: "near"})
	records := listOf(1, "e@1", "f")
	records[0].Zone, records[1].Zone = "near", "far"
	r.ApplyList(at, records)
	choice, attempt, _ := r.Pick(at, &modelQuery)
	is.Equal(choice.Instance, records[0].Instance)
	is.Equal(choice.FasterSkip, SkipNone)
	attempt.End(at, Abandoned)
	advertiseBackoff(r, at, time.Second)
	choice, _, _ = r.Pick(at, &modelQuery)
	is.Equal(choice.FasterSkip, SkipBackoff)
	is.Equal(choice.BackoffSkips, 1)
	r.ObserveAdvertised(at, "e@1", at, Advertised{Draining: true}, SourceAnswer)
	choice, _, _ = r.Pick(at, &modelQuery)
	is.Equal(choice.FasterSkip, SkipDraining)
	is.Equal(choice.DrainingSkips, 1)
}

// When no retry is left, back ends that recently backed off are skipped as long as there are
// others.
func TestAvoidRecentBackoff(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	r := NewRegistry(Config{})
	r.ApplyList(at, listOf(1, "e@1", "f"))
	advertiseBackoff(r, at, time.Second)
	after := at.Add(time.Second)
	recent := 0
	for key := range uint64(20) {
		choice, attempt, _ := r.Pick(after, &Query{Service: "s", Model: "m", SpreadKey: key})
		is.Equal(choice.RecentBackoff, choice.Instance == "e@1")
		if choice.RecentBackoff {
			recent++
		}
		attempt.End(after, Abandoned)
		choice, attempt, _ = r.Pick(after, &Query{Service: "s", Model: "m", SpreadKey: key, AvoidRecentBackoff: true})
		is.True(choice.Instance != "e@1")
		attempt.End(after, Abandoned)
	}
	is.True(recent > 0)
	r.ObserveAdvertised(after, "f", after, Advertised{Draining: true}, SourceAnswer)
	query := modelQuery
	query.AvoidRecentBackoff = true
	choice, _, found := r.Pick(after.Add(time.Second), &query)
	is.True(found)
	is.True(!choice.RecentBackoff) // there is no other
}
