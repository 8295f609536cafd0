package catalog_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/catalog"
)

func TestGapIsBounded(t *testing.T) {
	const wait = 2 * time.Second
	start := time.Unix(1000, 0)
	for _, tt := range []struct {
		name string
		// observed are the times of reads that confirm nothing, closed that of one that confirms.
		observed []time.Duration
		closed   time.Duration
		askedAt  time.Duration
		due      bool
		length   time.Duration
	}{
		{"no read", nil, 0, time.Hour, false, 0},
		{"too short", []time.Duration{0, time.Second}, 0, 2*time.Second - 1, false, 2*time.Second - 1},
		{"long enough", []time.Duration{0, time.Second}, 0, 2 * time.Second, true, 2 * time.Second},
		{"counts from the first read", []time.Duration{0, 1900 * time.Millisecond}, 0, 2 * time.Second, true, 2 * time.Second},
		{"closed", []time.Duration{0}, time.Second, 2 * time.Second, false, 0},
		{"opened again", []time.Duration{0, 2 * time.Second}, time.Second, 3 * time.Second, false, time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var gap catalog.Gap
			for _, at := range tt.observed {
				if tt.closed > 0 && at > tt.closed {
					gap.Close()
				}
				gap.Observe(start.Add(at))
			}
			if tt.closed > 0 && len(tt.observed) == 1 {
				gap.Close()
			}
			is.Equal(gap.Due(start.Add(tt.askedAt), wait), tt.due)
			is.Equal(gap.Length(start.Add(tt.askedAt)), tt.length)
		})
	}
}
