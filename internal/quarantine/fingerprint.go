// Package quarantine identifies requests that crash back ends.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// FingerprintBytes is the length of a Fingerprint, enough that no client can construct a
// request with the fingerprint of another one.
const FingerprintBytes = 16

// Fingerprint identifies what a request asks for; it is the same for all retries of a client. Others
// identify a part of prompts in one scope. It may be logged, as the request cannot be recovered from it.
type Fingerprint [FingerprintBytes]byte

// String returns the fingerprint as hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Identity is what makes two requests the same one.
type Identity struct {
	// Tenant is the caller's, empty where requests need no key.
	Tenant ident.Tenant
	// Target is the request target as sent by the client.
	Method, Host, Target string
	Body                 []byte
}

// Fingerprint returns the fingerprint of the identity.
func (i *Identity) Fingerprint() Fingerprint {
	digest := sha256.New()
	i.writeTo(digest)
	var fingerprint Fingerprint
	copy(fingerprint[:], digest.Sum(nil))
	if fingerprint.IsPart() {
		fingerprint[0] = ^fingerprint[0]
	}
	return fingerprint
}

func (i *Identity) writeTo(digest hash.Hash) {
	for _, text := range []string{string(i.Tenant), i.Method, i.Host, i.Target} {
		writeField(digest, []byte(text))
	}
	writeField(digest, i.Body)
}

// writeField writes a field after its length, so that different lists of fields never write the
// same bytes.
func writeField(digest hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	// A hash never fails.
	_, _ = digest.Write(length[:])
	_, _ = digest.Write(field)
}
