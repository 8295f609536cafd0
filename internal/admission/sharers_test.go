package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/admission"
)

// counted is a number of routers that is listed from a time on.
type counted struct {
	after   time.Duration
	routers int
}

// confirmed counts each number at its time, and again each second until the next one.
func confirmed(counts []counted, until time.Duration, count func(after time.Duration, routers int)) {
	for index, current := range counts {
		end := until
		if index+1 < len(counts) {
			end = counts[index+1].after - 1
		}
		for after := current.after; after <= end; after += time.Second {
			count(after, current.routers)
		}
	}
}

func TestTheLargestCountOfTheWindowDivides(t *testing.T) {
	start := time.Unix(1000, 0)
	cfg := admission.SharersConfig{Window: 10 * time.Second, Lag: 5 * time.Second}
	tests := []struct {
		name   string
		joined bool
		counts []counted
		at     time.Duration
		among  int
	}{
		{"not joined", false, []counted{{0, 7}}, time.Hour, 0},
		{"just joined", true, []counted{{0, 7}}, time.Second, 0},
		{"shortly before it was counted for a window", true, []counted{{0, 7}}, 15*time.Second - 1, 0},
		{"counted for a window", true, []counted{{0, 7}}, 15 * time.Second, 7},
		{"fewer, a moment ago", true, []counted{{0, 7}, {20 * time.Second, 2}}, 20 * time.Second, 7},
		{"fewer, a window ago", true, []counted{{0, 7}, {20 * time.Second, 2}}, 30 * time.Second, 7},
		{"fewer, longer ago", true, []counted{{0, 7}, {20 * time.Second, 2}}, 30*time.Second + 1, 2},
		{"fewer for a moment only", true, []counted{{0, 7}, {20 * time.Second, 1}, {21 * time.Second, 7}}, 31 * time.Second, 7},
		{"fewer and fewer", true, []counted{{0, 7}, {20 * time.Second, 5}, {25 * time.Second, 3}}, 32 * time.Second, 5},
		{"more", true, []counted{{0, 7}, {20 * time.Second, 12}}, 20 * time.Second, 12},
		{"more for a moment", true, []counted{{0, 7}, {20 * time.Second, 12}, {21 * time.Second, 7}}, 25 * time.Second, 12},
		{"not known", true, nil, time.Hour, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sharers := admission.NewSharers(cfg)
			if tt.joined {
				sharers.SetJoined(start)
			}
			confirmed(tt.counts, tt.at, func(after time.Duration, routers int) {
				sharers.RecordCount(start.Add(after), start.Add(after), routers)
			})
			is.New(t).Equal(sharers.Count(start.Add(tt.at)), tt.among)
		})
	}
}

func TestAnOldCountDividesNothing(t *testing.T) {
	start := time.Unix(1000, 0)
	cfg := admission.SharersConfig{Window: 10 * time.Second, Lag: 5 * time.Second}
	type told struct {
		at, age time.Duration
		routers int
	}
	tests := []struct {
		name  string
		told  []told
		at    time.Duration
		among int
	}{
		{"as old as all rely on", nil, 35 * time.Second, 7},
		{"older", nil, 35*time.Second + 1, 0},
		{"counted again in time", []told{{35 * time.Second, 0, 7}}, 40 * time.Second, 7},
		{"told in time, but too old", []told{{34 * time.Second, 3 * time.Second, 7}}, 36*time.Second + 1, 0},
		{"told once more what is known", []told{{34 * time.Second, 5 * time.Second, 7}}, 35*time.Second + 1, 0},
		{"an older count", []told{{34 * time.Second, 6 * time.Second, 9}}, 35 * time.Second, 7},
		{"counted again too late", []told{{35*time.Second + 1, 0, 7}}, 36 * time.Second, 0},
		{
			"counted again for less than a window",
			[]told{{36 * time.Second, 0, 7}, {41 * time.Second, 0, 7}}, 46*time.Second - 1, 0,
		},
		{
			"counted again for a window",
			[]told{{36 * time.Second, 0, 7}, {41 * time.Second, 0, 7}}, 46 * time.Second, 7,
		},
		{
			"more were counted before",
			[]told{{36 * time.Second, 0, 5}, {41 * time.Second, 0, 5}}, 46 * time.Second, 7,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sharers := admission.NewSharers(cfg)
			sharers.SetJoined(start)
			confirmed([]counted{{0, 7}}, 30*time.Second, func(after time.Duration, routers int) {
				sharers.RecordCount(start.Add(after), start.Add(after), routers)
			})
			for _, told := range tt.told {
				sharers.RecordCount(start.Add(told.at), start.Add(told.at-told.age), told.routers)
			}
			is.New(t).Equal(sharers.Count(start.Add(tt.at)), tt.among)
		})
	}
}
