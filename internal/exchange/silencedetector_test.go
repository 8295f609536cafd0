package exchange

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestAllConnectionsAreSuspected(t *testing.T) {
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
		{"no silent connection", []event{{0, "a", true}, {1, "b", true}}, 0},
		{"a reachable address", []event{{0, "a", false}, {1, "a", true}, {2, "a", true}}, 1},
		{"an address that is down", []event{{0, "a", false}, {1, "b", true}}, 0},
		{"one of two is down", []event{{0, "a", false}, {1, "b", false}, {2, "a", true}, {3, "c", true}}, 1},
		{"one reachable again late", []event{{0, "a", false}, {3 * time.Second, "a", true}}, 0},
		{"one found silent again and then reachable", []event{{0, "a", false}, {3 * time.Second, "a", false}, {3*time.Second + 1, "a", true}}, 1},
		{"the first finding counts", []event{{0, "a", false}, {time.Second, "a", false}, {time.Second + 1, "a", true}}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var suspects silenceDetector
			silentSince := map[string]time.Time{}
			count := 0
			for _, event := range tt.events {
				now := begin.Add(event.at)
				if !event.opened {
					if now.Sub(silentSince[event.address]) > confirmationWindow+time.Second {
						silentSince[event.address] = now.Add(-time.Second)
					}
					suspects.recordSilent(now, event.address, now.Add(-time.Second))
					continue
				}
				since, all := suspects.recordConnected(now, event.address)
				if all {
					count++
					is.Equal(since, silentSince[event.address])
				}
			}
			is.Equal(count, tt.want)
		})
	}
}

func TestOldFindingsArePruned(t *testing.T) {
	is := is.New(t)
	begin := time.Unix(1000, 0)
	var suspects silenceDetector
	suspects.recordSilent(begin, "a", begin)
	suspects.prune(begin.Add(confirmationWindow))
	is.Equal(len(suspects.findings), 1)
	suspects.prune(begin.Add(confirmationWindow + 1))
	is.Equal(len(suspects.findings), 0)
}
