package membership

import (
	"crypto/hmac"
	"crypto/sha256"

	"github.com/fxamacker/cbor/v2"

	"github.com/fieldpond/fieldpond/internal/fault"
)

const (
	// wireVersion is the first byte of every datagram.
	wireVersion = 1
	// macSize is the length of the truncated HMAC-SHA256 in bytes.
	macSize = 16
	// headerSize is the length of version byte and MAC in bytes.
	headerSize = 1 + macSize
	// MaxDatagram is the largest datagram sent or accepted, in bytes.
	MaxDatagram = 1200
	// MinKey is the minimum length of a cluster key in bytes.
	MinKey = 16
	// maxName and maxAddress bound the strings of a datagram, in bytes.
	maxName    = 64
	maxAddress = 128
	// maxIncarnation prevents an overflow when a rumour is refuted.
	maxIncarnation = 1 << 62
	maxItems       = 256
	maxNesting     = 6
)

// keyContext separates this use of the cluster key from every other.
const keyContext = "fieldpond/gossip/1"

// Codec encodes and authenticates datagrams with the cluster key. It is safe for concurrent
// use.
type Codec struct {
	key     []byte
	decoder cbor.DecMode
}

// NewCodec returns a codec for a cluster key of at least MinKey bytes.
func NewCodec(clusterKey []byte) (*Codec, error) {
	if len(clusterKey) < MinKey {
		return nil, fault.New(fault.InvalidSettings, "the cluster key has %d bytes, at least %d are needed", len(clusterKey), MinKey)
	}
	decoder, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		MaxArrayElements:  maxItems,
		MaxMapPairs:       maxItems,
		MaxNestedLevels:   maxNesting,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "create the gossip decoder")
	}
	derive := hmac.New(sha256.New, clusterKey)
	derive.Write([]byte(keyContext))
	return &Codec{key: derive.Sum(nil), decoder: decoder}, nil
}

// Seal encodes and authenticates a message.
func (c *Codec) Seal(message *Message) ([]byte, error) {
	body, err := cbor.Marshal(message)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "encode a gossip message")
	}
	if len(body)+headerSize > MaxDatagram {
		return nil, fault.New(fault.TooLarge, "a gossip message of %d bytes exceeds the datagram limit of %d", len(body)+headerSize, MaxDatagram)
	}
	datagram := make([]byte, headerSize, headerSize+len(body))
	datagram[0] = wireVersion
	copy(datagram[1:], c.sum(body))
	return append(datagram, body...), nil
}

// Open verifies and decodes a datagram. Invalid input yields a typed fault.
func (c *Codec) Open(datagram []byte) (*Message, error) {
	if len(datagram) <= headerSize || len(datagram) > MaxDatagram {
		return nil, fault.New(fault.BadRequest, "a gossip datagram has %d bytes", len(datagram))
	}
	if datagram[0] != wireVersion {
		return nil, fault.New(fault.BadRequest, "gossip protocol version %d is not %d", datagram[0], wireVersion).
			WithRemedy("run router versions that share a gossip protocol version")
	}
	body := datagram[headerSize:]
	if !hmac.Equal(datagram[1:headerSize], c.sum(body)) {
		return nil, fault.New(fault.Unauthorized, "a gossip datagram is not authenticated with this cluster's key").
			WithRemedy("give every router of the cluster the same cluster key")
	}
	var message Message
	if err := c.decoder.Unmarshal(body, &message); err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, "cannot decode a gossip datagram")
	}
	if err := message.validate(); err != nil {
		return nil, err
	}
	return &message, nil
}

func (c *Codec) sum(body []byte) []byte {
	mac := hmac.New(sha256.New, c.key)
	mac.Write([]byte{wireVersion})
	mac.Write(body)
	return mac.Sum(nil)[:macSize]
}

// validate rejects values that no correct router sends.
func (m *Message) validate() error {
	valid := m.Kind >= KindPing && m.Kind <= KindGossip &&
		m.From != "" && len(m.From) <= maxName && m.Incarnation < maxIncarnation &&
		len(m.Target) <= maxName && len(m.TargetAddress) <= maxAddress
	if m.Kind == KindSync || m.Kind == KindSyncAnswer {
		valid = valid && len(m.Buckets) == bucketCount*bucketBytes
	}
	for i := range m.Rumours {
		valid = valid && m.Rumours[i].valid()
	}
	for i := range m.Reports {
		valid = valid && m.Reports[i].valid()
	}
	if m.Head != nil {
		valid = valid && len(m.Head.Digest) <= maxAddress && len(m.Head.Holder) <= maxName
	}
	if !valid {
		return fault.New(fault.BadRequest, "a gossip message of kind %d has values out of range", m.Kind)
	}
	return nil
}

func (r *Rumour) valid() bool {
	return r.Node != "" && len(r.Node) <= maxName && len(r.Zone) <= maxName &&
		len(r.HTTPAddress) <= maxAddress && len(r.GossipAddress) <= maxAddress &&
		r.Incarnation < maxIncarnation && r.State <= Dead
}

func (s *BackendReport) valid() bool {
	return s.Backend != "" && len(s.Backend) <= maxAddress && len(s.Incarnation) <= maxName &&
		len(s.Observer) <= maxName && s.Kind >= ReportDraining && s.Kind <= ReportRestarted
}
