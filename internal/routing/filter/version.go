package filter

import (
	"slices"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/routing/framework"
)

// Version keeps endpoints that have loaded a permitted version of the model, with
// the adapter, and sets Candidate.Version to the most preferred loaded version.
type Version struct{}

// Name implements framework.Filter.
func (Version) Name() string { return "version" }

// Filter implements framework.Filter.
func (Version) Filter(request *framework.Request, _ *framework.Snapshot, candidates []framework.Candidate) []framework.Candidate {
	return keep(candidates, func(candidate *framework.Candidate) bool {
		for _, version := range request.Versions {
			if serves(candidate.Endpoint, request, version) {
				candidate.Version = version
				return true
			}
		}
		return false
	})
}

func serves(endpoint *framework.Endpoint, request *framework.Request, version ident.ModelVersion) bool {
	for index := range endpoint.Loaded {
		loaded := &endpoint.Loaded[index]
		if loaded.Version != version || loaded.Model != request.Model {
			continue
		}
		if request.Adapter == "" || slices.Contains(loaded.Adapters, request.Adapter) {
			return true
		}
	}
	return false
}
