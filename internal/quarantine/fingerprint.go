// Package quarantine tells requests apart under which back ends crash.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// FingerprintBytes is the length of a Fingerprint. Sixteen bytes of a cryptographic hash
// keep a client from making a request that shares the fingerprint of another one.
const FingerprintBytes = 16

// Fingerprint names what a request asks for, whichever try of its client it is: ids of
// requests are new with each try. Its text may be logged: it holds nothing of the request
// that can be read back.
type Fingerprint [FingerprintBytes]byte

// String returns the fingerprint as hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Identity is what makes two requests the same one.
type Identity struct {
	// Tenant is that of the caller, empty where requests need no key.
	Tenant ident.Tenant
	// Target is the request target as the client wrote it.
	Method, Host, Target string
	Body                 []byte
}

// Fingerprint returns the fingerprint of a request.
func (i *Identity) Fingerprint() Fingerprint {
	digest := sha256.New()
	i.writeTo(digest)
	var fingerprint Fingerprint
	copy(fingerprint[:], digest.Sum(nil))
	return fingerprint
}

// writeTo writes to a hash what makes two requests the same one.
func (i *Identity) writeTo(digest hash.Hash) {
	for _, text := range []string{string(i.Tenant), i.Method, i.Host, i.Target} {
		writeField(digest, []byte(text))
	}
	writeField(digest, i.Body)
}

// writeField writes a field after its length, so that no two lists of fields read alike.
func writeField(digest hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	// A hash never fails.
	_, _ = digest.Write(length[:])
	_, _ = digest.Write(field)
}
