package forward

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/catalog"
)

func TestAckTimeoutIsAFractionOfTheTarget(t *testing.T) {
	tests := []struct{ target, want time.Duration }{
		{0, maxAckTimeout},
		{100 * time.Millisecond, minAckTimeout},
		{800 * time.Millisecond, 400 * time.Millisecond},
		{time.Minute, maxAckTimeout},
	}
	for _, tt := range tests {
		r := &run{route: &catalog.Route{Target: tt.target}}
		is.New(t).Equal(r.ackTimeout(), tt.want)
	}
}
