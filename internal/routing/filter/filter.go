// Package filter holds the Filter plug-ins of a routing decision. Each compacts
// its candidates in place, without allocations, and keeps their order.
package filter

import "github.com/fieldpond/fieldpond/internal/routing/framework"

func keep(candidates []framework.Candidate, accept func(*framework.Candidate) bool) []framework.Candidate {
	kept := 0
	for index := range candidates {
		if !accept(&candidates[index]) {
			continue
		}
		if kept != index {
			candidates[kept] = candidates[index]
		}
		kept++
	}
	return candidates[:kept]
}
