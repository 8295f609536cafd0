package directory

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/prefix"
)

// Message is one message between directory nodes; exactly one field is set.
type Message struct {
	Lookup       *Lookup       `cbor:"1,keyasint,omitempty"`
	Answer       *Answer       `cbor:"2,keyasint,omitempty"`
	Report       *Report       `cbor:"3,keyasint,omitempty"`
	Watch        *Watch        `cbor:"4,keyasint,omitempty"`
	Notification *Notification `cbor:"5,keyasint,omitempty"`
}

// Lookup asks a root's shard which engines hold chains of that root.
type Lookup struct {
	Root prefix.Hash `cbor:"1,keyasint"`
	// Tag is that of the sender's cached answer, or zero.
	Tag uint32 `cbor:"2,keyasint,omitempty"`
}

// Answer is the reply to a Lookup. It covers every chain of the root, so that
// one answer serves all requests that share a prefix.
type Answer struct {
	Root prefix.Hash `cbor:"1,keyasint"`
	// Tag identifies the content. An answer with the Tag of the Lookup has no
	// content: the cached answer is still valid.
	Tag uint32 `cbor:"2,keyasint"`
	// TTLMillis is how long the receiver may use the answer.
	TTLMillis uint32 `cbor:"3,keyasint"`
	// Paths lists the chains held, each as the low 4 bytes of its landmarks'
	// hashes, big-endian. Within one root these distinguish chains.
	Paths   [][]byte `cbor:"4,keyasint,omitempty"`
	Holders []Holder `cbor:"5,keyasint,omitempty"`
}

// Holder is an engine that holds a part of a path.
type Holder struct {
	Engine ident.Engine `cbor:"1,keyasint"`
	// IncarnationDigest is the digest of the incarnation that holds it.
	IncarnationDigest uint32 `cbor:"2,keyasint"`
	// Path is an index of Answer.Paths.
	Path int `cbor:"3,keyasint"`
	// Landmarks is the number of landmarks of the path that are held.
	Landmarks int `cbor:"4,keyasint"`
}

// Report sends holdings to a shard.
type Report struct {
	Holdings []Holding `cbor:"1,keyasint"`
}

// Holding is one engine incarnation holding the leading blocks of a chain.
type Holding struct {
	Engine      ident.Engine      `cbor:"1,keyasint"`
	Incarnation ident.Incarnation `cbor:"2,keyasint"`
	// Hashes holds the landmarks held, 8 bytes each, big-endian, the root first.
	Hashes []byte `cbor:"3,keyasint"`
}

// Watch asks the owner of an engine's event stream to check blocks of one
// chain, the root first, and to notify the sender when one is evicted.
type Watch struct {
	Engine      ident.Engine      `cbor:"1,keyasint"`
	Incarnation ident.Incarnation `cbor:"2,keyasint"`
	Hashes      []byte            `cbor:"3,keyasint"`
}

// Notification reports evicted and checked blocks to a shard.
type Notification struct {
	Engine      ident.Engine      `cbor:"1,keyasint"`
	Incarnation ident.Incarnation `cbor:"2,keyasint"`
	// Lost lists blocks that are not held: pairs of root and hash, 8 bytes each.
	Lost []byte `cbor:"3,keyasint,omitempty"`
	// Checked lists roots whose watched blocks were just checked: those not
	// among Lost are held.
	Checked []byte `cbor:"4,keyasint,omitempty"`
	// Cleared means that the incarnation no longer holds any block.
	Cleared bool `cbor:"5,keyasint,omitempty"`
}

// Envelope is a message to be sent.
type Envelope struct {
	To      ident.Node
	Message Message
}

// Encode returns the message in CBOR.
func Encode(message Message) ([]byte, error) {
	encoded, err := cbor.Marshal(message)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "encoding a directory message")
	}
	return encoded, nil
}

// Decode reads a message; a malformed one is a *fault.Fault of kind BadRequest.
func Decode(encoded []byte) (Message, error) {
	var message Message
	if err := cbor.Unmarshal(encoded, &message); err != nil {
		return Message{}, fault.Wrap(err, fault.BadRequest, "decoding a directory message")
	}
	return message, nil
}

// IncarnationDigest shortens an incarnation for answers. A collision makes a
// belief wrong; the engine's own check of the incarnation makes that harmless.
func IncarnationDigest(incarnation ident.Incarnation) uint32 {
	return uint32(xxhash.Sum64String(string(incarnation)))
}

const (
	shortHashBytes = 4
	hashBytes      = 8
	// maxLandmarks bounds the landmarks of a chain.
	maxLandmarks = 16
)

// landmarks are the block indices of a chain that the directory stores: some of
// the checkpoints of package prefix, few enough to keep messages small.
var landmarks = [...]int{3, 7, 15, 23, 31, 47, 63, 95, 127, 191, 255, 383, 511, 1023, 2047, 4095}

// landmarkCount returns how many landmarks a chain of this many blocks has.
func landmarkCount(blocks int) int {
	count := 0
	for count < len(landmarks) && landmarks[count] < blocks {
		count++
	}
	if count == 0 && blocks > 0 {
		return 1
	}
	return count
}

// landmarkAt returns the block index of a landmark; a chain shorter than the
// first landmark has its last block as the only one.
func landmarkAt(landmark, blocks int) int { return min(landmarks[landmark], blocks-1) }

func shortHashesOf(chain prefix.Chain) []byte {
	count := landmarkCount(len(chain))
	hashes := make([]byte, 0, count*shortHashBytes)
	for landmark := range count {
		hashes = binary.BigEndian.AppendUint32(hashes, uint32(chain[landmarkAt(landmark, len(chain))]))
	}
	return hashes
}

// holdingOf returns the holding of the first blocks blocks of a chain; ok is
// false if that is less than the root.
func holdingOf(engine ident.Engine, incarnation ident.Incarnation, chain prefix.Chain, blocks int) (holding Holding, ok bool) {
	holding = Holding{Engine: engine, Incarnation: incarnation}
	for landmark := range landmarkCount(len(chain)) {
		index := landmarkAt(landmark, len(chain))
		if index >= blocks {
			break
		}
		holding.Hashes = binary.BigEndian.AppendUint64(holding.Hashes, uint64(chain[index]))
	}
	return holding, len(holding.Hashes) > 0
}

// shortHashes returns the low 4 bytes of each of the holding's hashes.
func (h *Holding) shortHashes() []byte {
	hashes := make([]byte, 0, len(h.Hashes)/hashBytes*shortHashBytes)
	for landmark := range len(h.Hashes) / hashBytes {
		hashes = binary.BigEndian.AppendUint32(hashes, uint32(hashAt(h.Hashes, landmark)))
	}
	return hashes
}

// sharedLandmarks returns how many leading short hashes two paths share.
func sharedLandmarks(first, second []byte) int {
	shared := 0
	for end := shortHashBytes; end <= min(len(first), len(second)); end += shortHashBytes {
		if !bytes.Equal(first[end-shortHashBytes:end], second[end-shortHashBytes:end]) {
			break
		}
		shared++
	}
	return shared
}

func hashAt(hashes []byte, landmark int) prefix.Hash {
	return prefix.Hash(binary.BigEndian.Uint64(hashes[landmark*hashBytes:]))
}

// validHashes reports whether a list of hashes of width bytes has a valid length.
func validHashes(list []byte, width int) bool {
	return len(list) > 0 && len(list)%width == 0 && len(list)/width <= maxLandmarks
}
