package quarantine

// Subject is a request to be checked, with its fingerprint computed on first use. It is not
// safe for concurrent use.
type Subject struct {
	Identity
	fingerprint Fingerprint
	made        bool
}

// Fingerprint returns the fingerprint of the request.
func (s *Subject) Fingerprint() Fingerprint {
	if !s.made {
		s.fingerprint, s.made = s.Identity.Fingerprint(), true
	}
	return s.fingerprint
}
