package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/admission"
)

// listedCount is a number of routers that is listed from a time on.
type listedCount struct {
	after   time.Duration
	routers int
}

// repeatCounts reports each count at its time and each second until the next one.
func repeatCounts(counts []listedCount, until time.Duration, count func(after time.Duration, routers int)) {
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

func TestLargestCountOfWindowApplies(t *testing.T) {
	start := time.Unix(1000, 0)
	cfg := admission.SharersConfig{Window: 10 * time.Second, Lag: 5 * time.Second}
	tests := []struct {
		name   string
		joined bool
		counts []listedCount
		at     time.Duration
		among  int
	}{
		{"not joined", false, []listedCount{{0, 7}}, time.Hour, 0},
		{"just joined", true, []listedCount{{0, 7}}, time.Second, 0},
		{"listed for almost a window", true, []listedCount{{0, 7}}, 15*time.Second - 1, 0},
		{"listed for a window", true, []listedCount{{0, 7}}, 15 * time.Second, 7},
		{"fewer, a moment ago", true, []listedCount{{0, 7}, {20 * time.Second, 2}}, 20 * time.Second, 7},
		{"fewer, a window ago", true, []listedCount{{0, 7}, {20 * time.Second, 2}}, 30 * time.Second, 7},
		{"fewer, longer ago", true, []listedCount{{0, 7}, {20 * time.Second, 2}}, 30*time.Second + 1, 2},
		{"fewer for a moment only", true, []listedCount{{0, 7}, {20 * time.Second, 1}, {21 * time.Second, 7}}, 31 * time.Second, 7},
		{"repeatedly fewer", true, []listedCount{{0, 7}, {20 * time.Second, 5}, {25 * time.Second, 3}}, 32 * time.Second, 5},
		{"more", true, []listedCount{{0, 7}, {20 * time.Second, 12}}, 20 * time.Second, 12},
		{"more for a moment", true, []listedCount{{0, 7}, {20 * time.Second, 12}, {21 * time.Second, 7}}, 25 * time.Second, 12},
		{"unknown", true, nil, time.Hour, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sharers := admission.NewSharers(cfg)
			if tt.joined {
				sharers.SetJoined(start)
			}
			repeatCounts(tt.counts, tt.at, func(after time.Duration, routers int) {
				sharers.RecordCount(start.Add(after), start.Add(after), routers)
			})
			is.New(t).Equal(sharers.Count(start.Add(tt.at)), tt.among)
		})
	}
}

func TestStaleCountIsNotUsed(t *testing.T) {
	start := time.Unix(1000, 0)
	cfg := admission.SharersConfig{Window: 10 * time.Second, Lag: 5 * time.Second}
	type update struct {
		at, age time.Duration
		routers int
	}
	tests := []struct {
		name    string
		updates []update
		at      time.Duration
		among   int
	}{
		{"of the age limit", nil, 35 * time.Second, 7},
		{"older", nil, 35*time.Second + 1, 0},
		{"counted again in time", []update{{35 * time.Second, 0, 7}}, 40 * time.Second, 7},
		{"received in time, but too old", []update{{34 * time.Second, 3 * time.Second, 7}}, 36*time.Second + 1, 0},
		{"the same count again", []update{{34 * time.Second, 5 * time.Second, 7}}, 35*time.Second + 1, 0},
		{"an older count", []update{{34 * time.Second, 6 * time.Second, 9}}, 35 * time.Second, 7},
		{"counted again too late", []update{{35*time.Second + 1, 0, 7}}, 36 * time.Second, 0},
		{
			"counted again for less than a window",
			[]update{{36 * time.Second, 0, 7}, {41 * time.Second, 0, 7}}, 46*time.Second - 1, 0,
		},
		{
			"counted again for a window",
			[]update{{36 * time.Second, 0, 7}, {41 * time.Second, 0, 7}}, 46 * time.Second, 7,
		},
		{
			"more were counted before",
			[]update{{36 * time.Second, 0, 5}, {41 * time.Second, 0, 5}}, 46 * time.Second, 7,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sharers := admission.NewSharers(cfg)
			sharers.SetJoined(start)
			repeatCounts([]listedCount{{0, 7}}, 30*time.Second, func(after time.Duration, routers int) {
				sharers.RecordCount(start.Add(after), start.Add(after), routers)
			})
			for _, counted := range tt.updates {
				sharers.RecordCount(start.Add(counted.at), start.Add(counted.at-counted.age), counted.routers)
			}
			is.New(t).Equal(sharers.Count(start.Add(tt.at)), tt.among)
		})
	}
}
