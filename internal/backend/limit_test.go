package backend

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/ident"
)

func TestWhatAnswersTellOfLimits(t *testing.T) {
	at := time.Unix(1000, 0)
	type answer struct {
		sent time.Duration
		told AdvertisedLimit
	}
	tests := []struct {
		name    string
		before  []answer
		last    answer
		changed bool
		rate    float64
	}{
		{"nothing is told", nil, answer{0, nil}, false, 0},
		{"there is none", nil, answer{0, Unlimited{}}, false, 0},
		{"the first", nil, answer{0, LimitedTo{Rate: 2}}, true, 2},
		{"the same again", []answer{{0, LimitedTo{Rate: 2}}}, answer{1, LimitedTo{Rate: 2}}, false, 2},
		{"one that can't be read", []answer{{0, LimitedTo{Rate: 2}}}, answer{5, LimitNotAdvertised{}}, false, 2},
		{"a lower one in an answer that was overtaken", []answer{{3, LimitedTo{Rate: 2}}}, answer{0, LimitedTo{Rate: 1}}, true, 1},
		{"a higher one in an answer that was overtaken", []answer{{3, LimitedTo{Rate: 1}}}, answer{0, LimitedTo{Rate: 2}}, false, 1},
		{"a higher one afterwards", []answer{{0, LimitedTo{Rate: 1}}}, answer{2, LimitedTo{Rate: 2}}, true, 2},
		{"none in an answer that was overtaken", []answer{{3, LimitedTo{Rate: 1}}}, answer{0, Unlimited{}}, false, 1},
		{"none afterwards", []answer{{0, LimitedTo{Rate: 1}}}, answer{2, Unlimited{}}, true, 4},
		{"none after a high one", []answer{{0, LimitedTo{Rate: 20}}}, answer{2, Unlimited{}}, true, 0},
		{"a little more", []answer{{0, LimitedTo{Rate: 1}}}, answer{2, LimitedTo{Rate: 1.05}}, false, 1},
		{"one of nothing", []answer{{0, LimitedTo{Rate: 1}}}, answer{0, LimitedTo{Rate: 0}}, true, leastLimit},
		{"one that nothing reaches", nil, answer{0, LimitedTo{Rate: 1e308}}, true, mostLimit},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := NewRegistry(Config{})
			r.ApplyList(at, []Record{{Instance: "e", Service: "s"}})
			take := func(step int, given answer) (LimitChange, bool) {
				now := at.Add(time.Duration(step) * time.Second)
				return takeLimit(r, now, "e", at.Add(given.sent*time.Second), given.told)
			}
			for step, given := range tt.before {
				take(step+1, given)
			}
			change, changed := take(len(tt.before)+1, tt.last)
			is.Equal(changed, tt.changed)
			is.Equal(r.byID["e"].limit.rate, tt.rate)
			if changed {
				is.Equal(change.Rate, tt.rate)
			}
		})
	}
}

func TestANextLifeHasNoLimitBefore(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	r := NewRegistry(Config{})
	r.ApplyList(at, []Record{{Instance: "e@1", Service: "s"}})
	_, changed := takeLimit(r, at, "e@1", at, LimitedTo{Rate: 1})
	is.True(changed)
	is.Equal(len(r.LimitedInstances(at)), 1)
	r.ApplyList(at.Add(time.Second), []Record{{Instance: "e@2", Service: "s"}})
	is.Equal(len(r.LimitedInstances(at)), 0)
}

// limited returns a registry with one back end that has named a limit.
func limited(at time.Time, rate float64) *Registry {
	r := NewRegistry(Config{})
	r.ApplyList(at, []Record{{Instance: "e", Service: "s", Models: map[ident.Model]int{"m": 1}}})
	takeLimit(r, at, "e", at, LimitedTo{Rate: rate})
	return r
}

// A back end that names no limit any more is free after a few answers, and one that leaves its
// limit out of one answer is not.
func TestALimitEndsOverAFewAnswers(t *testing.T) {
	tests := []struct {
		rate    float64
		answers int
	}{{0.25, 4}, {1.3, 4}, {9, 2}, {300, 1}}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.rate), func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			r := limited(now, tt.rate)
			for answer := range tt.answers {
				is.Equal(len(r.LimitedInstances(now)), 1)
				now = now.Add(time.Second)
				change, changed := takeLimit(r, now, "e", now, Unlimited{})
				is.True(changed)
				is.Equal(change.Limited, answer < tt.answers-1)
			}
			is.Equal(len(r.LimitedInstances(now)), 0)
		})
	}
}

func TestALimitThatIsLeftOutOnceIsBackAtOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := limited(now, 1.3)
	takeLimit(r, now.Add(time.Second), "e", now.Add(time.Second), Unlimited{})
	change, changed := takeLimit(r, now.Add(2*time.Second), "e", now, LimitedTo{Rate: 1.3})
	is.True(changed)
	is.Equal(change, LimitChange{Limited: true, Rate: 1.3, PreviousRate: 4.6})
}

func TestALimitThatNothingConfirmsIsForgotten(t *testing.T) {
	tests := []struct {
		name    string
		confirm func(r *Registry, at time.Time)
		kept    bool
	}{
		{"nothing", func(*Registry, time.Time) {}, false},
		{"an answer", func(r *Registry, at time.Time) { takeLimit(r, at, "e", at, LimitedTo{Rate: 2}) }, true},
		{"an answer that can't be read", func(r *Registry, at time.Time) { takeLimit(r, at, "e", at, LimitNotAdvertised{}) }, false},
		{"a claim at another router", func(r *Registry, at time.Time) { r.ConfirmLimit(at, "e") }, true},
		{"news", func(r *Registry, at time.Time) {
			r.ApplyUpdates(at, []StateUpdate{{Instance: "e", Sequence: 1, Limited: true, Rate: 2}})
		}, true},
		{"old news", func(r *Registry, at time.Time) {
			r.ApplyUpdates(at, []StateUpdate{{Instance: "e", Sequence: 1, Limited: true, Rate: 2, Age: 40 * time.Second}})
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			at := time.Unix(1000, 0)
			r := limited(at, 2)
			is.Equal(len(r.LimitedInstances(at.Add(limitKept))), 1)
			tt.confirm(r, at.Add(40*time.Second))
			is.Equal(len(r.LimitedInstances(at.Add(limitKept+time.Second))) == 1, tt.kept)
		})
	}
}

func TestNewsOfLimits(t *testing.T) {
	tests := []struct {
		name    string
		told    StateUpdate
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
		{"less than nothing", StateUpdate{Sequence: 2, Limited: true, Rate: -1}, false, 2},
		{"without end", StateUpdate{Sequence: 2, Limited: true, Rate: math.Inf(1)}, false, 2},
		{"from the future", StateUpdate{Sequence: 2, Limited: true, Rate: 1, Age: -time.Second}, false, 2},
		{"a sequence that leaves no room", StateUpdate{Sequence: math.MaxUint64, Limited: true, Rate: 1}, false, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			at := time.Unix(1000, 0)
			r := limited(at, 2)
			tt.told.Instance = "e"
			is.Equal(len(r.ApplyUpdates(at, []StateUpdate{tt.told})) == 1, tt.changed)
			is.Equal(r.byID["e"].limit.rate, tt.rate)
		})
	}
}

func TestNewsOfUnknownBackEndsArePassedOver(t *testing.T) {
	r := limited(time.Unix(1000, 0), 2)
	is.New(t).Equal(r.ApplyUpdates(time.Unix(1000, 0), []StateUpdate{{Instance: "other", Sequence: 1, Limited: true, Rate: 1}}), nil)
}

func TestABackEndWhoseLimitIsUsedUpIsPassedOver(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := limited(now, 2)
	query := Query{Service: "s", Model: "m", SpreadKey: 1}
	choice, flight, found := r.Pick(now, &query)
	is.True(found)
	is.Equal(choice.Limit, Limit{Rate: 2, Sequence: 1})
	is.True(choice.AllLimited)
	flight.End(now, Abandoned)
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

// A back end that rests after a refusal is worth a short wait, though all others are used up.
func TestABackEndThatRestsIsLeft(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := limited(now, 2)
	r.ApplyList(now.Add(time.Millisecond), []Record{
		{Instance: "e", Service: "s", Models: map[ident.Model]int{"m": 1}}, {Instance: "f", Service: "s", Models: map[ident.Model]int{"m": 1}},
	})
	r.ObserveLimitUsedUp("e", now.Add(time.Second))
	query := Query{Service: "s", Model: "m", SpreadKey: 1}
	choice, flight, found := r.Pick(now, &query)
	is.True(found)
	is.Equal(choice.Instance, ident.Incarnation("f"))
	flight.End(now, Refused)
	_, _, found = r.Pick(now, &query)
	is.True(!found)
	is.Equal(r.Availability(now, &query), AvailableSoon{})
}

// takeLimit takes in what an answer to an attempt that was sent at a time says of a limit.
func takeLimit(r *Registry, now time.Time, instance ident.Incarnation, sentAt time.Time, told AdvertisedLimit) (LimitChange, bool) {
	heard := r.ObserveAdvertised(now, instance, sentAt, Advertised{Limit: told}, SourceAnswer)
	return heard.Limit, heard.LimitChanged
}
