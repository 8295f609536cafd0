package forward_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// A back end with a queue that peers report is awaited longer than one without, until
// peers report it silent.
func TestBusyBackendIsAwaitedLonger(t *testing.T) {
	const (
		timeout        = 675 * time.Millisecond // of the route "resumable", including the prediction
		reportInterval = 100 * time.Millisecond
	)
	tests := []struct {
		name string
		// waiting is the queue reported of all back ends, silent when they are reported silent.
		waiting int
		silent  time.Duration
		from    time.Duration
		to      time.Duration
	}{
		{"no request waits there", 0, 0, timeout, timeout + reportInterval},
		{"requests wait there", 3, 0, 2 * timeout, 2*timeout + 2*reportInterval},
		{"it falls silent", 3, timeout + reportInterval, timeout + reportInterval, timeout + 3*reportInterval},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newFixture(hanging(""), genuine(200, "id: 1\n\n"))
				startedAt := time.Now()
				reported := make(chan struct{})
				go func() {
					defer close(reported)
					for range 20 {
						time.Sleep(reportInterval)
						for _, name := range []ident.Incarnation{"a", "b", "c"} {
							b.backends.PeerQueue(time.Now(), name, tt.waiting)
						}
						if tt.silent > 0 && time.Since(startedAt) >= tt.silent {
							b.backends.PeerSilent(time.Now(), []ident.Incarnation{"a", "b", "c"})
						}
					}
				}()
				is.Equal(b.forward(t, request("resumable")).status, 200)
				took := time.Since(startedAt)
				<-reported
				t.Log(took)
				is.True(took >= tt.from)
				is.True(took <= tt.to)
			})
		})
	}
}
