package forward_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// A back end that is known to be busy is awaited for longer than one of which nothing is
// known; one that falls silent meanwhile is given up.
func TestABusyBackEndIsAwaitedLonger(t *testing.T) {
	const (
		patience = 675 * time.Millisecond // of the route "resumable", with what is predicted
		tell     = 100 * time.Millisecond
	)
	tests := []struct {
		name string
		// waiting is told of all back ends, silent from a time on.
		waiting int
		silent  time.Duration
		from    time.Duration
		to      time.Duration
	}{
		{"nothing is known", 0, 0, patience, patience + tell},
		{"requests wait there", 3, 0, 2 * patience, 2*patience + 2*tell},
		{"it falls silent", 3, patience + tell, patience + tell, patience + 3*tell},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newBench(hanging(""), genuine(200, "id: 1\n\n"))
				begun := time.Now()
				told := make(chan struct{})
				go func() {
					defer close(told)
					for range 20 {
						time.Sleep(tell)
						for _, name := range []ident.Incarnation{"a", "b", "c"} {
							b.backends.PeerQueue(time.Now(), name, tt.waiting)
						}
						if tt.silent > 0 && time.Since(begun) >= tt.silent {
							b.backends.PeerSilent(time.Now(), []ident.Incarnation{"a", "b", "c"})
						}
					}
				}()
				is.Equal(b.forward(t, request("resumable")).status, 200)
				took := time.Since(begun)
				<-told
				t.Log(took)
				is.True(took >= tt.from)
				is.True(took <= tt.to)
			})
		})
	}
}
