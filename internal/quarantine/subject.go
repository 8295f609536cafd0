package quarantine

import (
	"iter"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// Subject is a request to be checked, with its fingerprints computed on first use. It is not
// safe for concurrent use.
type Subject struct {
	Identity
	// Model and SharedParts are the model and the ids of the parts of the prompt that other
	// requests may have as well. SharedParts is nil if there are none.
	Model       ident.Model
	SharedParts iter.Seq[string]

	fingerprint Fingerprint
	made        bool
	parts       []Part
	partsMade   bool
}

// Part is a shared part of a prompt.
type Part struct {
	ID          string
	Fingerprint Fingerprint
}

// Fingerprint returns the fingerprint of the request.
func (s *Subject) Fingerprint() Fingerprint {
	if !s.made {
		s.fingerprint, s.made = s.Identity.Fingerprint(), true
	}
	return s.fingerprint
}

// Parts returns the first shared parts, at most maxParts.
func (s *Subject) Parts() []Part {
	if !s.partsMade {
		s.partsMade = true
		for id, fingerprint := range s.eachPart {
			s.parts = append(s.parts, Part{ID: id, Fingerprint: fingerprint})
		}
	}
	return s.parts
}

// eachPart yields the ids and fingerprints of the first shared parts, without an allocation for each.
func (s *Subject) eachPart(yield func(string, Fingerprint) bool) {
	if s.SharedParts == nil {
		return
	}
	scope, count := newScopeKey(s.Tenant, s.Model), 0
	for id := range s.SharedParts {
		if count == maxParts || !yield(id, partFingerprint(scope, id)) {
			return
		}
		count++
	}
}
