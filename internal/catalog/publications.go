package catalog

import (
	"cmp"
	"maps"
	"slices"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// maxPublications bounds the publications kept for each model.
const maxPublications = 16

// Published records a published version of a model's weights; publications may arrive in any
// order. It reports whether it adds an unknown version, or the age of one seen at start.
func (h *Holder) Published(model ident.Model, publication Publication) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	publications, changed := withPublication(h.view.Models[model].Publications, publication)
	if !changed {
		return false
	}
	models := make(map[ident.Model]PublishedVersion, len(h.view.Models)+1)
	maps.Copy(models, h.view.Models)
	models[model] = PublishedVersion{Version: publications[len(publications)-1].Version, Publications: publications}
	h.view.Models = models
	return true
}

// withPublication returns the known publications with another one, and whether that changes
// them. Versions older than the newest count as well: an engine with even older weights has
// been out of date since their publication, not only since the newest.
func withPublication(known []Publication, publication Publication) ([]Publication, bool) {
	at, found := slices.BinarySearchFunc(known, publication.Version, func(each Publication, version int) int {
		return cmp.Compare(each.Version, version)
	})
	publications := slices.Clone(known)
	switch {
	case found && !refinesAge(&known[at], &publication):
		return known, false
	case found:
		publications[at] = publication
	case at == 0 && len(known) == maxPublications:
		return known, false
	default:
		publications = slices.Insert(publications, at, publication)
	}
	publications = publications[max(len(publications)-maxPublications, 0):]
	// Versions are published in rising order, so each is at least as old as the next.
	for i := len(publications) - 2; i >= 0; i-- {
		if publications[i].SeenAt.After(publications[i+1].SeenAt) {
			publications[i].SeenAt = publications[i+1].SeenAt
		}
	}
	return publications, true
}

// refinesAge reports whether a publication provides the age of a version that was only seen
// at start. Known ages stay: routers compute them slightly differently, and taking the
// earliest would age a version with each exchange.
func refinesAge(known, received *Publication) bool {
	return known.SeenAtStart && !received.SeenAtStart && received.SeenAt.Before(known.SeenAt)
}
