package upstream

import (
	"bytes"
	"compress/flate"
	"io"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// maxUnpackedBytes bounds packed content after decompression.
const maxUnpackedBytes = 8 << 20

// ErrPacked means that packed content is malformed or too large.
var ErrPacked = errors.New("the packed content is malformed or too large")

// packedRecords are the records of an instance list, column by column, as columns compress far
// better than records. All columns but Kinds have one element per record.
type packedRecords struct {
	Instances []string         `cbor:"1,keyasint"`
	Addresses []netip.AddrPort `cbor:"2,keyasint"`
	// Kinds are the distinct combinations of the other fields, KindOf is the index of each
	// record's kind.
	Kinds  []recordKind `cbor:"3,keyasint"`
	KindOf []uint32     `cbor:"4,keyasint"`
	// Revisions has the differences between the revisions of consecutive records.
	Revisions []int64 `cbor:"5,keyasint"`
	// OtherAddresses has the addresses that are not IP:PORT, by the record's index.
	OtherAddresses map[int]string `cbor:"6,keyasint,omitempty"`
}

// recordKind is what many records have in common.
type recordKind struct {
	Service  ident.Service       `cbor:"1,keyasint"`
	Zone     ident.Zone          `cbor:"2,keyasint"`
	Release  ident.Release       `cbor:"3,keyasint"`
	Slots    int                 `cbor:"4,keyasint"`
	Draining bool                `cbor:"5,keyasint,omitempty"`
	Models   map[ident.Model]int `cbor:"6,keyasint,omitempty"`
}

// key identifies the kind among those of one list.
func (k *recordKind) key() string {
	var text strings.Builder
	for _, part := range []string{string(k.Service), string(k.Zone), string(k.Release), strconv.Itoa(k.Slots), strconv.FormatBool(k.Draining)} {
		text.WriteString(strconv.Quote(part))
	}
	for _, model := range slices.Sorted(maps.Keys(k.Models)) {
		text.WriteString(strconv.Quote(string(model)))
		text.WriteString(strconv.Itoa(k.Models[model]))
	}
	return text.String()
}

// PackRecords encodes and compresses the records of an instance list.
func PackRecords(records []backend.Record) ([]byte, error) {
	packed := packedRecords{
		Instances: make([]string, len(records)), Addresses: make([]netip.AddrPort, len(records)),
		KindOf: make([]uint32, len(records)), Revisions: make([]int64, len(records)),
	}
	kinds := make(map[string]uint32)
	var previous uint64
	for index, record := range records {
		kind := recordKind{
			Service: record.Service, Zone: record.Zone, Release: record.Release, Slots: record.Slots, Draining: record.Draining, Models: record.Models,
		}
		key := kind.key()
		place, known := kinds[key]
		if !known {
			place = uint32(len(packed.Kinds))
			kinds[key] = place
			packed.Kinds = append(packed.Kinds, kind)
		}
		packed.Instances[index], packed.KindOf[index] = string(record.Instance), place
		packed.Revisions[index] = int64(record.Revision - previous)
		previous = record.Revision
		addr, err := netip.ParseAddrPort(record.Address)
		if err != nil || addr.String() != record.Address {
			if packed.OtherAddresses == nil {
				packed.OtherAddresses = make(map[int]string)
			}
			packed.OtherAddresses[index] = record.Address
			continue
		}
		packed.Addresses[index] = addr
	}
	encoded, err := cbor.Marshal(packed)
	if err != nil {
		return nil, errors.Wrap(err, "encode the instance list")
	}
	return Compress(encoded)
}

// UnpackRecords decodes the records of an instance list. Malformed content gives ErrPacked.
func UnpackRecords(data []byte) ([]backend.Record, error) {
	encoded, err := Decompress(data)
	if err != nil {
		return nil, err
	}
	var packed packedRecords
	if err := cbor.Unmarshal(encoded, &packed); err != nil {
		return nil, errors.Wrap(ErrPacked, err.Error())
	}
	count := len(packed.Instances)
	if len(packed.Addresses) != count || len(packed.KindOf) != count || len(packed.Revisions) != count {
		return nil, errors.Wrap(ErrPacked, "its columns differ in length")
	}
	records := make([]backend.Record, count)
	var revision uint64
	for index := range records {
		if int(packed.KindOf[index]) >= len(packed.Kinds) {
			return nil, errors.Wrap(ErrPacked, "a record has an unknown kind")
		}
		kind := &packed.Kinds[packed.KindOf[index]]
		revision += uint64(packed.Revisions[index])
		address, other := packed.OtherAddresses[index]
		if !other {
			address = packed.Addresses[index].String()
		}
		records[index] = backend.Record{
			Instance: ident.Incarnation(packed.Instances[index]), Address: address, Revision: revision,
			Service: kind.Service, Zone: kind.Zone, Release: kind.Release, Slots: kind.Slots, Draining: kind.Draining, Models: kind.Models,
		}
	}
	return records, nil
}

// Compress compresses content for Decompress.
func Compress(content []byte) ([]byte, error) {
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress content")
	}
	if _, err := writer.Write(content); err != nil {
		return nil, errors.Wrap(err, "compress content")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress content")
	}
	return compressed.Bytes(), nil
}

// Decompress returns the content that Compress compressed. Malformed or too large content gives
// ErrPacked.
func Decompress(data []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(data))
	content, err := io.ReadAll(io.LimitReader(reader, maxUnpackedBytes+1))
	if err != nil {
		return nil, errors.Wrap(ErrPacked, err.Error())
	}
	if len(content) > maxUnpackedBytes {
		return nil, errors.Wrap(ErrPacked, "it is too large")
	}
	return content, nil
}
