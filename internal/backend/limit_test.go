package backend

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestWhatAnswersTellOfLimits(t *testing.T) {
	at := time.Unix(1000, 0)
	type answer struct {
		sent time.Duration
		told ToldLimit
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
		{"one that can't be read", []answer{{0, LimitedTo{Rate: 2}}}, answer{5, LimitUntold{}}, false, 2},
		{"a lower one in an answer that was overtaken", []answer{{3, LimitedTo{Rate: 2}}}, answer{0, LimitedTo{Rate: 1}}, true, 1},
		{"a higher one in an answer that was overtaken", []answer{{3, LimitedTo{Rate: 1}}}, answer{0, LimitedTo{Rate: 2}}, false, 1},
		{"a higher one afterwards", []answer{{0, LimitedTo{Rate: 1}}}, answer{2, LimitedTo{Rate: 2}}, true, 2},
		{"none in an answer that was overtaken", []answer{{3, LimitedTo{Rate: 1}}}, answer{0, Unlimited{}}, false, 1},
		{"none afterwards", []answer{{0, LimitedTo{Rate: 1}}}, answer{2, Unlimited{}}, true, 0},
		{"one of nothing", []answer{{0, LimitedTo{Rate: 1}}}, answer{0, LimitedTo{Rate: 0}}, true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := NewRegistry(Config{})
			r.Update(at, []Record{{Instance: "e", Service: "s"}})
			take := func(step int, given answer) (LimitChange, bool) {
				now := at.Add(time.Duration(step) * time.Second)
				return r.TakeLimit(now, "e", at.Add(given.sent*time.Second), given.told)
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
	r.Update(at, []Record{{Instance: "e@1", Service: "s"}})
	_, changed := r.TakeLimit(at, "e@1", at, LimitedTo{Rate: 1})
	is.True(changed)
	is.Equal(r.Limited(), 1)
	r.Update(at.Add(time.Second), []Record{{Instance: "e@2", Service: "s"}})
	is.Equal(r.Limited(), 0)
}
