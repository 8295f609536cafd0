package exchange

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestTheLimitOfRestsFollowsThePeers(t *testing.T) {
	const most = 10 * time.Second
	type rest struct {
		lasted time.Duration
		ended  bool
		times  int
	}
	tests := []struct {
		name string
		most time.Duration
		rest []rest
		want time.Duration
	}{
		{"nothing seen", most, nil, most},
		{"a rest was ended", most, []rest{{5 * time.Second, true, 1}}, 3500 * time.Millisecond},
		{"a longer one after it", most, []rest{{5 * time.Second, true, 1}, {8 * time.Second, true, 1}}, 3500 * time.Millisecond},
		{"crashes of peers", most, []rest{{time.Millisecond, true, 9}}, leastIdle},
		{"short rests say nothing", most, []rest{{time.Millisecond, true, 1}, {400 * time.Millisecond, false, 99}}, leastIdle},
		{"long rests are borne again", most, []rest{{time.Millisecond, true, 1}, {most, false, 99}}, most},
		{"a short bound stands", 500 * time.Millisecond, []rest{{time.Millisecond, true, 1}}, 500 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			limit := newIdleLimit(tt.most)
			for _, seen := range tt.rest {
				for range seen.times {
					if seen.ended {
						limit.ended(seen.lasted)
					} else {
						limit.borne(seen.lasted)
					}
				}
			}
			is.Equal(limit.current, tt.want)
		})
	}
}
