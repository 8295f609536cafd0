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
		want   int
	}{
		{"nothing was found", []event{{0, "a", true}, {1, "b", true}}, 0},
		{"an address that lives", []event{{0, "a", false}, {1, "a", true}, {2, "a", true}}, 1},
		{"an address that is down", []event{{0, "a", false}, {1, "b", true}}, 0},
		{"one of two is down", []event{{0, "a", false}, {1, "b", false}, {2, "a", true}, {3, "c", true}}, 1},
		{"one that came back late", []event{{0, "a", false}, {3 * time.Second, "a", true}}, 0},
		{"one found again, as it came back", []event{{0, "a", false}, {3 * time.Second, "a", false}, {3*time.Second + 1, "a", true}}, 1},
		{"the first finding counts", []event{{0, "a", false}, {time.Second, "a", false}, {time.Second + 1, "a", true}}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var suspects suspicion
			silentSince := map[string]time.Time{}
			count := 0
			for _, event := range tt.events {
				now := begin.Add(event.at)
				if !event.opened {
					if now.Sub(silentSince[event.address]) > suspicionMemory+time.Second {
						silentSince[event.address] = now.Add(-time.Second)
					}
					suspects.silent(now, event.address, now.Add(-time.Second))
					continue
				}
				since, all := suspects.opened(now, event.address)
				if all {
					count++
					is.Equal(since, silentSince[event.address])
				}
			}
			is.Equal(count, tt.want)
		})
	}
}

func TestFindingsAreForgotten(t *testing.T) {
	is := is.New(t)
	begin := time.Unix(1000, 0)
	var suspects suspicion
	suspects.silent(begin, "a", begin)
	suspects.prune(begin.Add(suspicionMemory))
	is.Equal(len(suspects.found), 1)
	suspects.prune(begin.Add(suspicionMemory + 1))
	is.Equal(len(suspects.found), 0)
}
