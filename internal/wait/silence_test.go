package wait_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/wait"
)

func TestSilenceEndsTheContext(t *testing.T) {
	tests := []struct {
		name     string
		progress []time.Duration
		ends     time.Duration
	}{
		{"no progress", nil, 3 * time.Second},
		{"progress ends", []time.Duration{2 * time.Second, 2500 * time.Millisecond}, 3500 * time.Millisecond},
		{"an early start shortens it", []time.Duration{time.Second}, 2 * time.Second},
		{"progress does not end", []time.Duration{2 * time.Second, 2900 * time.Millisecond, 3800 * time.Millisecond, 4700 * time.Millisecond}, 5 * time.Second},
		{"progress after the end", []time.Duration{4 * time.Second}, 3 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				begun := time.Now()
				ctx, cancel := wait.WithSilence(t.Context(), 3*time.Second, time.Second, 5*time.Second)
				defer cancel()
				for _, at := range tt.progress {
					time.AfterFunc(at, func() { wait.Progress(ctx) })
				}
				<-ctx.Done()
				is.Equal(time.Since(begun), tt.ends)
				is.Equal(context.Cause(ctx), context.DeadlineExceeded)
			})
		})
	}
}

func TestProgressOfOtherContextsIsIgnored(t *testing.T) { wait.Progress(t.Context()) }
