package canary

// hooks switch guards off in tests, which show that each of them is needed, and put another
// verdict in the place of the sequential one, for a comparison.
type hooks struct {
	ignoreClock, ignoreFence, ignoreLife, ignoreCeiling bool

	newVerdict func() verdict
}

// verdict returns the verdict of a new rollout.
func (h *hooks) verdict() verdict {
	if h.newVerdict != nil {
		return h.newVerdict()
	}
	return &sequential{}
}
