package exchange

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestWhenAllConnectionsAreSuspected(t *testing.T) {
	begin := time.Unix(1000, 0)
	type event struct {
		at      time.Duration
		address string
		opened  bool
	}
	tests := []struct {
		name   string
		events []event
		want   bool
	}{
		{"nothing was found", []event{{0, "a", true}, {1, "b", true}}, false},
		{"one address", []event{{0, "a", false}, {1, "a", true}, {2, "a", true}}, false},
		{"two addresses that live", []event{{0, "a", false}, {1, "b", false}, {2, "a", true}, {3, "b", true}}, true},
		{"one of two is down", []event{{0, "a", false}, {1, "b", false}, {2, "a", true}, {3, "c", true}}, false},
		{"both are down", []event{{0, "a", false}, {1, "b", false}, {2, "c", true}}, false},
		{"one came back late", []event{{0, "a", false}, {1, "b", false}, {2, "a", true}, {3 * time.Second, "b", true}}, false},
		{"one was found long before", []event{{0, "a", false}, {1, "a", true}, {3 * time.Second, "b", false}, {3*time.Second + 1, "b", true}}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var suspects suspicion
			all := false
			for _, event := range tt.events {
				now := begin.Add(event.at)
				if !event.opened {
					suspects.silent(now, event.address, now.Add(-time.Second))
					continue
				}
				since, suspected := suspects.opened(now, event.address)
				if suspected {
					is.Equal(since, begin.Add(-time.Second)) // of the one found first
				}
				all = all || suspected
			}
			is.Equal(all, tt.want)
			_, again := suspects.opened(begin.Add(3*time.Second), "b")
			is.True(!again) // each finding is used once
		})
	}
}
