package fleet

import (
	"context"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/store"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
)

const (
	// HeadKey is the key of the row that names the file in force.
	HeadKey = "fleet/head"
	// bodyPrefix is the key prefix of the rows that hold bodies.
	bodyPrefix = "fleet/body/"
	// chunkBytes is the size of a body's part in one row.
	chunkBytes = 512 << 10
	// historyLength is how many applies the head row keeps, the one in force
	// included, so that an operator whose answer was lost finds the apply.
	historyLength = 32
	// headSchema is the value of Head.Schema that this program reads.
	headSchema = 1
)

// FileRef identifies one accepted fleet file.
type FileRef struct {
	Version Version `cbor:"1,keyasint"`
	Digest  Digest  `cbor:"2,keyasint"`
}

// HistoryEntry is one accepted apply.
type HistoryEntry struct {
	Ref     FileRef `cbor:"1,keyasint"`
	ApplyID string  `cbor:"2,keyasint"`
	// Size is the size of the body in bytes.
	Size int `cbor:"3,keyasint"`
}

// Head is the value of the head row. History holds the last applies, the one in
// force first; it is never empty.
type Head struct {
	Schema  int            `cbor:"1,keyasint"`
	History []HistoryEntry `cbor:"2,keyasint"`
	// AppliedAt is the time by the operator's clock, for display only.
	AppliedAt time.Time `cbor:"3,keyasint"`
}

// CurrentRef identifies the file in force.
func (h Head) CurrentRef() FileRef { return h.History[0].Ref }

// find returns the accepted apply with the given identifier.
func (h Head) find(applyID string) (HistoryEntry, bool) {
	for _, entry := range h.History {
		if entry.ApplyID == applyID {
			return entry, true
		}
	}
	return HistoryEntry{}, false
}

// successor returns the head after one more apply, and the entries it evicts.
func (h Head) successor(entry HistoryEntry, appliedAt time.Time) (next Head, evicted []HistoryEntry) {
	history := append([]HistoryEntry{entry}, h.History...)
	if len(history) > historyLength {
		history, evicted = history[:historyLength], history[historyLength:]
	}
	return Head{Schema: headSchema, History: history, AppliedAt: appliedAt}, evicted
}

// maxHeadEntries bounds the arrays in a head row that is read.
const maxHeadEntries = 1024

var headDecoding = mustDecMode()

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxHeadEntries, MaxNestedLevels: 8, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func encodeHead(head Head) ([]byte, error) {
	value, err := cbor.Marshal(head)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "encoding the fleet's head row")
	}
	return value, nil
}

func decodeHead(value []byte) (Head, error) {
	var head Head
	if err := headDecoding.Unmarshal(value, &head); err != nil {
		return Head{}, fault.Wrap(err, fault.Internal, "the table row %s is not a fleet head", HeadKey).
			WithRemedy("restore the row from the platform's backup")
	}
	if head.Schema != headSchema || len(head.History) == 0 || head.CurrentRef().Version == 0 {
		return Head{}, fault.New(fault.Internal, "the table row %s has schema %d, this program reads %d", HeadKey, head.Schema, headSchema).
			WithRemedy("use the fieldpond release that wrote the row, or a newer one")
	}
	return head, nil
}

// chunkKey returns the key of the row that holds chunk index of a body. Its fixed
// width keeps the keys in the order of the body.
func chunkKey(digest Digest, index int) string {
	return fmt.Sprintf("%s%s/%04d", bodyPrefix, digest, index)
}

func chunkCount(size int) int { return (size + chunkBytes - 1) / chunkBytes }

// ReadHead reads the head row; found is false when no file was accepted yet.
func ReadHead(ctx context.Context, table store.Table) (head Head, found bool, err error) {
	row, found, err := table.Read(ctx, HeadKey)
	if err != nil || !found {
		return Head{}, false, err
	}
	head, err = decodeHead(row.Value)
	return head, err == nil, err
}

// readChunk reads one row of a body. It retries after rate limits until ctx ends,
// since a new read of the whole body would add load.
func readChunk(ctx context.Context, table store.Table, key string) (protocol.Row, bool, error) {
	for {
		row, found, err := table.Read(ctx, key)
		if !fault.Is(err, fault.RateLimited) {
			return row, found, err
		}
		if pauseErr := pause(ctx, max(firstRetryDelay, fault.From(err).RetryAfter)); pauseErr != nil {
			return protocol.Row{}, false, err
		}
	}
}

// ReadBody reads a body from the table and verifies its digest.
func ReadBody(ctx context.Context, table store.Table, digest Digest) ([]byte, error) {
	var body []byte
	for index := 0; index < chunkCount(MaxFileBytes); index++ {
		row, found, err := readChunk(ctx, table, chunkKey(digest, index))
		if err != nil {
			return nil, err
		}
		if !found {
			break
		}
		body = append(body, row.Value...)
		if len(row.Value) < chunkBytes {
			break
		}
	}
	if DigestOf(body) != digest {
		return nil, fault.New(fault.Internal, "the table has no complete body for fleet digest %s", digest).
			WithRemedy("it may have been superseded: read the head again; if the error persists, apply the file again")
	}
	return body, nil
}

// Stored is the file in force as read from the table.
type Stored struct {
	Head     Head
	Body     []byte
	Document *Document
}

// ReadStored reads the file in force; found is false when there is none.
func ReadStored(ctx context.Context, table store.Table) (stored Stored, found bool, err error) {
	head, found, err := ReadHead(ctx, table)
	if err != nil || !found {
		return Stored{}, false, err
	}
	body, err := ReadBody(ctx, table, head.CurrentRef().Digest)
	if err != nil {
		return Stored{}, false, err
	}
	document, problems := Parse(body, fmt.Sprintf("version %d", head.CurrentRef().Version))
	return Stored{Head: head, Body: body, Document: document}, document != nil, problems.Err()
}

func chunkWrite(digest Digest, body []byte, index int) protocol.Transaction {
	end := min(len(body), (index+1)*chunkBytes)
	return protocol.Transaction{Writes: []protocol.Write{{Key: chunkKey(digest, index), Value: body[index*chunkBytes : end]}}}
}
