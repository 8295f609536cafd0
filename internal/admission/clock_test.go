package admission_test

// Users saw engines get more repeats in ten seconds than the budget grants. One way to
// it: the pieces of the window were counted by the wall clock. When the clock was set
// ahead, the budget forgot repeats that had just been sent and granted as many again;
// when it was set back, the requests of long ago stayed in the window and paid for
// repeats now. The tests below, on times whose clock was set but that are a moment
// apart, showed both.

import (
	"testing"
	"time"
	"unsafe"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/admission"
)

// clockSet returns a time as time.Now returns it after the wall clock was set by whole
// seconds: its monotonic reading is the one of now.
func clockSet(t *testing.T, now time.Time, by time.Duration) time.Time {
	t.Helper()
	// The word that begins a time with a monotonic reading counts seconds from bit 30 on.
	const secondsFrom = 30
	set := now
	*(*uint64)(unsafe.Pointer(&set)) += uint64(by/time.Second) << secondsFrom
	if set.Sub(now) != 0 || set.Round(0).Sub(now.Round(0)) != by {
		t.Fatal("the layout of time.Time is another one")
	}
	return set
}

func TestASetClockForgetsNoRepeat(t *testing.T) {
	tests := []struct {
		name string
		by   time.Duration
	}{
		{"ahead by a window", 10 * time.Second},
		{"ahead by a day", 24 * time.Hour},
		{"back by a window", -10 * time.Second},
		{"not at all", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			start := time.Now()
			budget := admission.NewWindowBudget(window, start)
			now := start.Add(time.Minute)
			granted := 0
			for range 20 {
				if budget.Allow(now, slack) {
					granted++
				}
				if budget.Allow(clockSet(t, now, tt.by).Add(time.Second), slack) {
					granted++
				}
			}
			is.Equal(granted, slack)
		})
	}
}

func TestRequestsLeaveTheWindowWhenTheClockIsSetBack(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	budget := admission.NewWindowBudget(window, start)
	now := start.Add(time.Minute)
	for range 1000 {
		budget.RecordRequest(now)
	}
	for range slack {
		is.True(budget.Allow(now, slack))
	}
	later := clockSet(t, now, -time.Hour).Add(30 * time.Second)
	granted := 0
	for budget.Allow(later, slack) {
		granted++
	}
	is.Equal(granted, slack)
}
