package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"net/url"

	"github.com/fxamacker/cbor/v2"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
)

// RowPrefix is the prefix of the table keys of claims.
const RowPrefix = "claim/"

// hashDigits is the length of the hash that ends a row's key.
const hashDigits = 2 * sha256.Size

// RowKey returns the table key of a claim.
//
// Tenant and service are path-escaped, so that no two pairs can collide. The idempotency key is
// hashed: callers put personal data into it, which must not be stored outside the tenant's
// places, and a hash has a fixed length and no special characters.
func RowKey(key Key) string {
	digest := sha256.Sum256([]byte(key.IdempotencyKey))
	tenant := url.PathEscape(string(key.Tenant))
	service := url.PathEscape(string(key.Service))
	return RowPrefix + tenant + "/" + service + "/" + hex.EncodeToString(digest[:])
}

func encodeRecord(record Record) ([]byte, error) { return cbor.Marshal(record) }

func decodeRecord(row protocol.Row) (Record, error) {
	var record Record
	if err := cbor.Unmarshal(row.Value, &record); err != nil {
		return Record{}, fault.Wrap(err, fault.Internal, "claim row %s cannot be decoded", row.Key)
	}
	return record, nil
}

func stateOf(ran fault.Ran) State {
	switch ran {
	case fault.RanNo:
		return StateNotRun
	case fault.RanYes:
		return StateRan
	default:
		return StateUnknown
	}
}
