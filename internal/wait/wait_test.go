package wait_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/wait"
)

func TestForEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		start := time.Now()
		is.True(wait.For(ctx, time.Second))
		is.Equal(time.Since(start), time.Second)
		time.AfterFunc(time.Second, cancel)
		is.True(!wait.For(ctx, time.Hour))
		is.Equal(time.Since(start), 2*time.Second)
	})
}

func TestEveryCallsOncePerInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), 5500*time.Millisecond)
		defer cancel()
		count := 0
		wait.Every(ctx, time.Second, func() { count++ })
		is.Equal(count, 5)
	})
}
