package exchange

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestIdleLimitAdaptsToPeers(t *testing.T) {
	const most = 10 * time.Second
	type idlePeriod struct {
		lasted time.Duration
		ended  bool
		times  int
	}
	tests := []struct {
		name    string
		most    time.Duration
		periods []idlePeriod
		want    time.Duration
	}{
		{"no observation", most, nil, most},
		{"closed by the peer", most, []idlePeriod{{5 * time.Second, true, 1}}, 3500 * time.Millisecond},
		{"closed again after a longer time", most, []idlePeriod{{5 * time.Second, true, 1}, {8 * time.Second, true, 1}}, 3500 * time.Millisecond},
		{"crashes of peers", most, []idlePeriod{{time.Millisecond, true, 9}}, minIdle},
		{"short idle times do not extend", most, []idlePeriod{{time.Millisecond, true, 1}, {400 * time.Millisecond, false, 99}}, minIdle},
		{"long idle times extend", most, []idlePeriod{{time.Millisecond, true, 1}, {most, false, 99}}, most},
		{"a short configured limit is kept", 500 * time.Millisecond, []idlePeriod{{time.Millisecond, true, 1}}, 500 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			limit := newIdleLimit(tt.most)
			for _, observed := range tt.periods {
				for range observed.times {
					if observed.ended {
						limit.shorten(observed.lasted)
					} else {
						limit.extend(observed.lasted)
					}
				}
			}
			is.Equal(limit.current, tt.want)
		})
	}
}
