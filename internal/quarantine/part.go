package quarantine

import (
	"bytes"
	"crypto/sha256"

	"github.com/fieldpond/fieldpond/internal/ident"
)

const (
	// partTag begins the fingerprints of parts of prompts, so that evidence on them can be told from
	// that on requests.
	partTag = "prt"
	// partKeyBytes is the length of the tag and of what identifies the part itself. The rest
	// identifies its scope.
	partKeyBytes = 10
	// maxParts is the number of parts of one prompt that are considered, from its beginning.
	maxParts = 128
	// partBuffer holds the id of a part, or the names of a scope, in most cases.
	partBuffer = 128
)

// partKey identifies a part of prompts in all scopes.
type partKey [partKeyBytes]byte

// scopeKey identifies a tenant and model. Evidence on a part is kept by scope: an answer to one tenant, or
// by one model, is no proof for others.
type scopeKey [FingerprintBytes - partKeyBytes]byte

// IsPart reports whether the fingerprint is that of a part of prompts in one scope.
func (f Fingerprint) IsPart() bool { return bytes.HasPrefix(f[:], []byte(partTag)) }

func (f Fingerprint) partKey() partKey { return partKey(f[:partKeyBytes]) }

func newScopeKey(tenant ident.Tenant, model ident.Model) scopeKey {
	var buffer [partBuffer]byte
	digest := sha256.Sum256(append(append(append(buffer[:0], tenant...), 0), model...))
	return scopeKey(digest[:len(scopeKey{})])
}

// partFingerprint returns the fingerprint of a part in a scope.
func partFingerprint(scope scopeKey, id string) Fingerprint {
	var buffer [partBuffer]byte
	digest := sha256.Sum256(append(buffer[:0], id...))
	var fingerprint Fingerprint
	copy(fingerprint[copy(fingerprint[:], partTag):partKeyBytes], digest[:])
	copy(fingerprint[partKeyBytes:], scope[:])
	return fingerprint
}
