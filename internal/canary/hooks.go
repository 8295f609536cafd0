package canary

// hooks disable guards in tests that show each to be needed, and replace the evaluator for
// comparison.
type hooks struct {
	ignoreClock, ignoreFence, ignoreIncarnation, ignoreCeiling bool

	newEvaluator func() evaluator
}

// evaluator returns the evaluator of a new rollout.
func (h *hooks) evaluator() evaluator {
	if h.newEvaluator != nil {
		return h.newEvaluator()
	}
	return &sequentialEvaluator{}
}
