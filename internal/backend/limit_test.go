package backend

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/ident"
)

func TestLimitsAdvertisedInAnswers(t *testing.T) {
	at := time.Unix(1000, 0)
	type answer struct {
		sent       time.Duration
		advertised AdvertisedLimit
	}
	tests := []struct {
		name    string
		before  []answer
		last    answer
		changed bool
		rate    float64
	}{
		{"nothing is advertised", nil, answer{0, nil}, false, 0},
		{"no limit", nil, answer{0, Unlimited{}}, false, 0},
		{"the first limit", nil, answer{0, LimitedTo{Rate: 2}}, true, 2},
		{"the same again", []answer{{0, LimitedTo{Rate: 2}}}, answer{1, LimitedTo{Rate: 2}}, false, 2},
		{"one that cannot be parsed", []answer{{0, LimitedTo{Rate: 2}}}, answer{5, LimitNotAdvertised{}}, false, 2},
		{"a lower one in a reordered answer", []answer{{3, LimitedTo{Rate: 2}}}, answer{0, LimitedTo{Rate: 1}}, true, 1},
		{"a higher one in a reordered answer", []answer{{3, LimitedTo{Rate: 1}}}, answer{0, LimitedTo{Rate: 2}}, false, 1},
		{"a higher one afterwards", []answer{{0, LimitedTo{Rate: 1}}}, answer{2, LimitedTo{Rate: 2}}, true, 2},
		{"none in a reordered answer", []answer{{3, LimitedTo{Rate: 1}}}, answer{0, Unlimited{}}, false, 1},
		{"none afterwards", []answer{{0, LimitedTo{Rate: 1}}}, answer{2, Unlimited{}}, true, 4},
		{"none after a high one", []answer{{0, LimitedTo{Rate: 20}}}, answer{2, Unlimited{}}, true, 0},
		{"a slightly higher one", []answer{{0, LimitedTo{Rate: 1}}}, answer{2, LimitedTo{Rate: 1.05}}, false, 1},
		{"a limit of zero", []answer{{0, LimitedTo{Rate: 1}}}, answer{0, LimitedTo{Rate: 0}}, true, minLimit},
		{"above the maximum", nil, answer{0, LimitedTo{Rate: 1e308}}, true, maxLimit},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := NewRegistry(Config{})
			r.ApplyList(at, []Record{{Instance: "e", Service: "s"}})
			observe := func(step int, given answer) (LimitChange, bool) {
				now := at.Add(time.Duration(step) * time.Second)
				return observeLimit(r, now, "e", at.Add(given.sent*time.Second), given.advertised)
			}
			for step, given := range tt.before {
				observe(step+1, given)
			}
			change, changed := observe(len(tt.before)+1, tt.last)
			is.Equal(changed, tt.changed)
			is.Equal(r.byID["e"].limit.rate, tt.rate)
			if changed {
				is.Equal(change.Rate, tt.rate)
			}
		})
	}
}

func TestNextIncarnationHasNoLimit(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	r := NewRegistry(Config{})
	r.ApplyList(at, []Record{{Instance: "e@1", Service: "s"}})
	_, changed := observeLimit(r, at, "e@1", at, LimitedTo{Rate: 1})
	is.True(changed)
	is.Equal(len(r.LimitedInstances(at)), 1)
	r.ApplyList(at.Add(time.Second), []Record{{Instance: "e@2", Service: "s"}})
	is.Equal(len(r.LimitedInstances(at)), 0)
}

// limitedRegistry returns a registry with one back end that advertised a limit.
func limitedRegistry(at time.Time, rate float64) *Registry {
	r := NewRegistry(Config{})
	r.ApplyList(at, []Record{{Instance: "e", Service: "s", Models: map[ident.Model]int{"m": 1}}})
	observeLimit(r, at, "e", at, LimitedTo{Rate: rate})
	return r
}

// The limit of a back end that advertises none any more ends after a few answers, not with the
// first one.
func TestLimitEndsAfterSeveralAnswersWithoutOne(t *testing.T) {
	tests := []struct {
		rate    float64
		answers int
	}{{0.25, 4}, {1.3, 4}, {9, 2}, {300, 1}}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.rate), func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			r := limitedRegistry(now, tt.rate)
			for answer := range tt.answers {
				is.Equal(len(r.LimitedInstances(now)), 1)
				now = now.Add(time.Second)
				change, changed := observeLimit(r, now, "e", now, Unlimited{})
				is.True(changed)
				is.Equal(change.Limited, answer < tt.answers-1)
			}
			is.Equal(len(r.LimitedInstances(now)), 0)
		})
	}
}

func TestLimitOmittedOnceIsRestored(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := limitedRegistry(now, 1.3)
	observeLimit(r, now.Add(time.Second), "e", now.Add(time.Second), Unlimited{})
	change, changed := observeLimit(r, now.Add(2*time.Second), "e", now, LimitedTo{Rate: 1.3})
	is.True(changed)
	is.Equal(change, LimitChange{Limited: true, Rate: 1.3, PreviousRate: 4.6})
}

func TestUnconfirmedLimitExpires(t *testing.T) {
	tests := []struct {
		name    string
		confirm func(r *Registry, at time.Time)
		kept    bool
	}{
		{"nothing", func(*Registry, time.Time) {}, false},
		{"an answer", func(r *Registry, at time.Time) { observeLimit(r, at, "e", at, LimitedTo{Rate: 2}) }, true},
		{"an answer that cannot be parsed", func(r *Registry, at time.Time) { observeLimit(r, at, "e", at, LimitNotAdvertised{}) }, false},
		{"a reservation at a peer", func(r *Registry, at time.Time) { r.ConfirmLimit(at, "e") }, true},
		{"a state update", func(r *Registry, at time.Time) {
			r.ApplyUpdates(at, []StateUpdate{{Instance: "e", Sequence: 1, Limited: true, Rate: 2}})
		}, true},
		{"an old state update", func(r *Registry, at time.Time) {
			r.ApplyUpdates(at, []StateUpdate{{Instance: "e", Sequence: 1, Limited: true, Rate: 2, Age: 40 * time.Second}})
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			at := time.Unix(1000, 0)
			r := limitedRegistry(at, 2)
			is.Equal(len(r.LimitedInstances(at.Add(limitTTL))), 1)
			tt.confirm(r, at.Add(40*time.Second))
			is.Equal(len(r.LimitedInstances(at.Add(limitTTL+time.Second))) == 1, tt.kept)
		})
	}
}

func TestStateUpdatesOfLimits(t *testing.T) {
	tests := []struct {
		name    string
		update  StateUpdate
		changed bool
		rate    float64
	}{
		{"the same", StateUpdate{Sequence: 1, Limited: true, Rate: 2}, false, 2},
		{"newer and higher", StateUpdate{Sequence: 2, Limited: true, Rate: 9}, true, 9},
		{"newer, none", StateUpdate{Sequence: 2}, true, 0},
		{"late", StateUpdate{Sequence: 0, Limited: true, Rate: 1}, false, 2},
		{"as new and lower", StateUpdate{Sequence: 1, Limited: true, Rate: 1}, true, 1},
		{"as new and higher", StateUpdate{Sequence: 1, Limited: true, Rate: 3}, false, 2},
		{"as new, none", StateUpdate{Sequence: 1}, false, 2},
		{"not a number", StateUpdate{Sequence: 2, Limited: true, Rate: math.NaN()}, false, 2},
		{"negative", StateUpdate{Sequence: 2, Limited: true, Rate: -1}, false, 2},
		{"infinite", StateUpdate{Sequence: 2, Limited: true, Rate: math.Inf(1)}, false, 2},
		{"from the future", StateUpdate{Sequence: 2, Limited: true, Rate: 1, Age: -time.Second}, false, 2},
		{"a sequence above the maximum", StateUpdate{Sequence: math.MaxUint64, Limited: true, Rate: 1}, false, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			at := time.Unix(1000, 0)
			r := limitedRegistry(at, 2)
			tt.update.Instance = "e"
			is.Equal(len(r.ApplyUpdates(at, []StateUpdate{tt.update})) == 1, tt.changed)
			is.Equal(r.byID["e"].limit.rate, tt.rate)
		})
	}
}

func TestStateUpdateOfUnknownBackendIsIgnored(t *testing.T) {
	r := limitedRegistry(time.Unix(1000, 0), 2)
	is.New(t).Equal(r.ApplyUpdates(time.Unix(1000, 0), []StateUpdate{{Instance: "other", Sequence: 1, Limited: true, Rate: 1}}), nil)
}

func TestBackendWithUsedUpLimitIsSkipped(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := limitedRegistry(now, 2)
	query := Query{Service: "s", Model: "m", SpreadKey: 1}
	choice, attempt, found := r.Pick(now, &query)
	is.True(found)
	is.Equal(choice.Limit, Limit{Rate: 2, Sequence: 1})
	is.True(choice.AllLimited)
	attempt.End(now, Abandoned)
	until := now.Add(300 * time.Millisecond)
	r.ObserveLimitUsedUp("e", until)
	_, _, found = r.Pick(now, &query)
	is.True(!found)
	is.Equal(r.Availability(now, &query), AvailableAfter{At: until})
	r.ApplyList(now.Add(time.Millisecond), []Record{
		{Instance: "e", Service: "s", Models: map[ident.Model]int{"m": 1}}, {Instance: "f", Service: "s", Models: map[ident.Model]int{"m": 1}},
	})
	choice, _, found = r.Pick(now, &query)
	is.True(found)
	is.Equal(choice.Instance, ident.Incarnation("f"))
	is.Equal(choice.LimitSkips, 1)
	is.Equal(r.Availability(now, &query), AvailableSoon{})
	choice, _, found = r.Pick(until, &query)
	is.True(found)
	is.True(!choice.AllLimited)
}

// A back end that is paused after a refusal is worth a short wait, though the limits of all
// others are used up.
func TestPausedBackendMayBeAvailableSoon(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := limitedRegistry(now, 2)
	r.ApplyList(now.Add(time.Millisecond), []Record{
		{Instance: "e", Service: "s", Models: map[ident.Model]int{"m": 1}}, {Instance: "f", Service: "s", Models: map[ident.Model]int{"m": 1}},
	})
	r.ObserveLimitUsedUp("e", now.Add(time.Second))
	query := Query{Service: "s", Model: "m", SpreadKey: 1}
	choice, attempt, found := r.Pick(now, &query)
	is.True(found)
	is.Equal(choice.Instance, ident.Incarnation("f"))
	attempt.End(now, Refused)
	_, _, found = r.Pick(now, &query)
	is.True(!found)
	is.Equal(r.Availability(now, &query), AvailableSoon{})
}

// observeLimit applies the limit that the answer to a call sent at sentAt advertises.
func observeLimit(r *Registry, now time.Time, instance ident.Incarnation, sentAt time.Time, advertised AdvertisedLimit) (LimitChange, bool) {
	change := r.ObserveAdvertised(now, instance, sentAt, Advertised{Limit: advertised}, SourceAnswer)
	return change.Limit, change.LimitChanged
}
