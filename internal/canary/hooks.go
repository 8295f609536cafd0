package canary

// hooks switch guards off in tests, which show that each of them is needed, and put another
// verdict in the place of the sequential one, for a comparison.
type hooks struct {
	ignoreClock, ignoreFence, ignoreIncarnation, ignoreCeiling bool

	newEvaluator func() evaluator
}

// evaluator returns the verdict of a new rollout.
func (h *hooks) evaluator() evaluator {
	if h.newEvaluator != nil {
		return h.newEvaluator()
	}
	return &sequentialEvaluator{}
}
