package clock

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a suspension that was none: the process was preempted between its reads.
func TestPreemptedReadIsNoSuspension(t *testing.T) {
	const preempted = 156 * time.Millisecond
	at := time.Hour
	tests := []struct {
		name string
		// pauses are those before the read of the other clock and before the second read of the
		// steady one, for each try in turn.
		pauses    [][2]time.Duration
		suspended time.Duration
	}{
		{"never", nil, 0},
		{"before the other clock", [][2]time.Duration{{preempted, 0}}, 0},
		{"after it", [][2]time.Duration{{0, preempted}}, 0},
		{"some times", [][2]time.Duration{{preempted, 0}, {0, preempted}, {preempted, preempted}}, 0},
		{"some times, after a suspension", [][2]time.Duration{{preempted, 0}, {0, preempted}}, 5 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			reads := 0
			difference := compare(func() (reading, bool) {
				var pause [2]time.Duration
				if reads < len(tt.pauses) {
					pause = tt.pauses[reads]
				}
				reads++
				before := at
				at += pause[0]
				boot := at + tt.suspended
				at += pause[1]
				return reading{before, boot, at}, true
			})
			is.Equal(difference, tt.suspended)
		})
	}
	is := is.New(t)
	is.Equal(compare(func() (reading, bool) { return reading{}, false }), time.Duration(0))
}
