// Package peer implements calls between routers: CBOR bodies over HTTP, authenticated in
// both directions with the cluster key.
//
// A request carries a random nonce and an HMAC-SHA256 over method, nonce and body; the reply
// carries one over method, nonce, status and body, so that it cannot pass for the reply to
// another request. There is no timestamp: the routers' clocks may differ, and a window wide
// enough for that would still allow replays. A recorded request can therefore be replayed by
// anyone who can reach a router, so every method must be idempotent. Bodies are
// authenticated, not encrypted.
package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/fieldpond/fieldpond/internal/fault"
)

const (
	// Prefix is the path at which a Server must be mounted.
	Prefix = "/peer/v1/"
	// DefaultMaxBody bounds requests and replies, in bytes.
	DefaultMaxBody = 4 << 20
	// minKey is the minimum length of a cluster key in bytes.
	minKey = 16
	// nonceSize is the length of a request's nonce in bytes.
	nonceSize = 16

	nonceHeader = "Fieldpond-Nonce"
	macHeader   = "Fieldpond-Mac"
	contentType = "application/cbor"
	// keyContext separates this use of the cluster key from every other.
	keyContext = "fieldpond/peer/1"
	// Labels prevent a request's MAC from passing for a reply's.
	requestLabel = "request"
	replyLabel   = "reply"

	maxMethod      = 64
	maxNesting     = 16
	maxCollection  = 1 << 20
	methodAlphabet = "abcdefghijklmnopqrstuvwxyz0123456789-."
)

// sealer computes and checks MACs.
type sealer struct {
	key     []byte
	decoder cbor.DecMode
}

func newSealer(clusterKey []byte) (*sealer, error) {
	if len(clusterKey) < minKey {
		return nil, fault.New(fault.InvalidSettings, "the cluster key has %d bytes, at least %d are needed", len(clusterKey), minKey)
	}
	decoder, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxCollection,
		MaxMapPairs:      maxCollection,
	}.DecMode()
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "create the peer decoder")
	}
	derive := hmac.New(sha256.New, clusterKey)
	derive.Write([]byte(keyContext))
	return &sealer{key: derive.Sum(nil), decoder: decoder}, nil
}

// mac returns the MAC of the parts, each preceded by its length, so that no bytes can be
// moved from one part to the next.
func (s *sealer) mac(parts ...[]byte) string {
	sum := hmac.New(sha256.New, s.key)
	var length [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		sum.Write(length[:])
		sum.Write(part)
	}
	return hex.EncodeToString(sum.Sum(nil))
}

func (s *sealer) requestMAC(method, nonce string, body []byte) string {
	return s.mac([]byte(requestLabel), []byte(method), []byte(nonce), body)
}

func (s *sealer) replyMAC(method, nonce string, status int, body []byte) string {
	var code [8]byte
	binary.BigEndian.PutUint64(code[:], uint64(status))
	return s.mac([]byte(replyLabel), []byte(method), []byte(nonce), code[:], body)
}

func (s *sealer) decode(body []byte, target any) error {
	return s.decoder.Unmarshal(body, target)
}

func validMethod(method string) bool {
	return method != "" && len(method) <= maxMethod && strings.Trim(method, methodAlphabet) == ""
}

// wireFault is a fault on the wire, without its cause.
type wireFault struct {
	Kind       fault.Kind `cbor:"1,keyasint"`
	Detail     string     `cbor:"2,keyasint"`
	Remedy     string     `cbor:"3,keyasint,omitempty"`
	Ran        fault.Ran  `cbor:"4,keyasint,omitempty"`
	RetryAfter int64      `cbor:"5,keyasint,omitempty"` // milliseconds
}

func toWire(err error) wireFault {
	found := fault.From(err)
	return wireFault{
		Kind: found.Kind, Detail: found.Detail, Remedy: found.Remedy, Ran: found.Ran,
		RetryAfter: found.RetryAfter.Milliseconds(),
	}
}

func (w wireFault) fault() *fault.Fault {
	return &fault.Fault{
		Kind: w.Kind, Detail: w.Detail, Remedy: w.Remedy, Ran: w.Ran,
		RetryAfter: time.Duration(w.RetryAfter) * time.Millisecond,
	}
}
