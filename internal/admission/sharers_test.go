package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/admission"
)

func TestTheLargestCountOfTheWindowDivides(t *testing.T) {
	start := time.Unix(1000, 0)
	cfg := admission.SharersConfig{Window: 10 * time.Second, Lag: 5 * time.Second}
	type counted struct {
		after   time.Duration
		routers int
	}
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
				sharers.Joined(start)
			}
			for _, counted := range tt.counts {
				sharers.Counted(start.Add(counted.after), counted.routers)
			}
			is.New(t).Equal(sharers.Among(start.Add(tt.at)), tt.among)
		})
	}
}
