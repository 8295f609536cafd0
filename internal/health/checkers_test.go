package health_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/health"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// Every engine must be checked by two routers, so that a dead one leaves none unchecked, and no
// router may get far more engines than its part.
func TestChecksAreSharedAmongCheckers(t *testing.T) {
	tests := []struct{ checkers, engines int }{{1, 50}, {2, 100}, {32, 2000}, {32, 4000}}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d checkers, %d engines", tt.checkers, tt.engines), func(t *testing.T) {
			is := is.New(t)
			var checkers []ident.Node
			for index := range tt.checkers {
				checkers = append(checkers, ident.Node(fmt.Sprintf("edge-%d", index)))
			}
			load := make(map[ident.Node]int)
			for engine := range tt.engines {
				instance := ident.Incarnation(fmt.Sprintf("i-%08x@1", engine*7919))
				count := 0
				for _, node := range checkers {
					if health.Checks(node, checkers, instance) {
						load[node]++
						count++
					}
				}
				is.Equal(count, min(2, tt.checkers))
			}
			mean := tt.engines * min(2, tt.checkers) / tt.checkers
			for _, count := range load {
				is.True(count <= mean*3/2)
			}
		})
	}
}
