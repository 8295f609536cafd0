package forward

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/catalog"
)

func TestAcknowledgementsAreDueWithinAPartOfTheTarget(t *testing.T) {
	tests := []struct{ target, want time.Duration }{
		{0, mostAck},
		{100 * time.Millisecond, leastAck},
		{800 * time.Millisecond, 400 * time.Millisecond},
		{time.Minute, mostAck},
	}
	for _, tt := range tests {
		r := &run{route: &catalog.Route{Target: tt.target}}
		is.New(t).Equal(r.ackWithin(), tt.want)
	}
}
