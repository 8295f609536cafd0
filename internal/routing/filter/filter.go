// Package filter holds the Filter plug-ins of a routing decision, one a file.
// Each keeps the order of its candidates and compacts them in place, so that a
// decision allocates nothing.
package filter

import "github.com/fieldpond/fieldpond/internal/routing/framework"

func keep(candidates []framework.Candidate, wanted func(*framework.Candidate) bool) []framework.Candidate {
	kept := 0
	for index := range candidates {
		if !wanted(&candidates[index]) {
			continue
		}
		if kept != index {
			candidates[kept] = candidates[index]
		}
		kept++
	}
	return candidates[:kept]
}
