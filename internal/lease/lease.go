// Package lease lets one of many routers act at a time, by rows of the table
// service, without any trust in synchronised clocks.
//
// A lease is the row "lease/<name>". A contender watches the version of that
// row. Once it has been the same for the whole duration that the row names,
// by the contender's own monotonic clock counted from the receipt of the first
// sight, the contender takes the lease over by compare-and-swap. The holder
// writes the row anew every third of the duration, and counts itself lapsed
// from the moment before its last confirmed write was sent, less a margin for
// clocks that run at different rates. So it has lapsed in its own eyes before
// any other may take over.
//
// A table that tells its own steady time shortens the wait: the holder writes the
// table's time by which the row was sent at the latest, so that a contender knows
// at the first sight for how long at least the row has been there.
//
// A paused holder cannot know that it was paused. It must ask Held before each
// action; and since it may be paused between asking and acting, every action
// carries the fence of the lease, and whoever executes actions refuses those
// with an older fence than one seen before. The fence comes from one counter
// row for all leases, raised in the same transaction that takes a lease. Fences
// are therefore unique and rise over all leases, whatever becomes of one row.
//
// A table may come back from an older copy, and tells the epoch then. What the row shows may be
// older than what the holder was told of its last write. So nobody but a holder whose time is
// not over takes the lease or renews it before a whole duration has passed since its first sight
// of the new epoch, also if the row names nobody or is missing.
//
// Machine holds the logic without I/O or clock; Elector is the shell around it.
package lease

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// CounterKey is the row of the fence counter of all leases.
const CounterKey = "lease-fence"

// RowKey returns the key of a lease's row.
func RowKey(name string) string { return "lease/" + name }

// Config fixes the times of a lease.
type Config struct {
	// Duration is how long an unrenewed lease keeps others away. Default: 9s.
	Duration time.Duration
	// DriftMargin is the part of Duration by which a holder lapses in its own
	// eyes before others may take over. Default: 0.1, clocks that differ in
	// rate by a tenth.
	DriftMargin float64
	// RetryPause is the pause after a failed exchange. Default: Duration / 18.
	RetryPause time.Duration
	// ExchangeTimeout bounds one exchange with the table. Default: Duration / 6.
	ExchangeTimeout time.Duration
	// Quiet is how long after the last action of one holder the next one may
	// act first. Default: 0.
	Quiet time.Duration
	// ActWindow is how long after its last confirmed write was sent a holder may
	// begin to act. Below Duration it shortens what the next holder has to wait
	// beyond Duration. Default: Duration.
	ActWindow time.Duration
}

const (
	defaultDuration    = 9 * time.Second
	defaultDriftMargin = 0.1
	// renewalsPerDuration is how often a lease is renewed, and watched, in its duration.
	renewalsPerDuration = 3
	// retriesPerRenewal is how many failed exchanges fit between two renewals.
	retriesPerRenewal = 6
	// timeoutsPerDuration is how many exchanges without an answer fit into the duration.
	timeoutsPerDuration = 6
	// maxDuration bounds what a row may ask others to wait for.
	maxDuration = 5 * time.Minute
)

func (c Config) withDefaults() Config {
	if c.Duration <= 0 || c.Duration > maxDuration {
		c.Duration = defaultDuration
	}
	if c.DriftMargin <= 0 || c.DriftMargin >= 1 {
		c.DriftMargin = defaultDriftMargin
	}
	if c.RetryPause <= 0 {
		c.RetryPause = c.Duration / (renewalsPerDuration * retriesPerRenewal)
	}
	if c.ExchangeTimeout <= 0 {
		c.ExchangeTimeout = c.Duration / timeoutsPerDuration
	}
	if c.ActWindow <= 0 || c.ActWindow > c.Duration {
		c.ActWindow = c.Duration
	}
	return c
}

// Grant is the right to act until a time, under a fence.
type Grant struct {
	Fence uint64
	// Until is when the holder counts itself lapsed unless renewed by then.
	Until time.Time
	// QuietUntil is when the holder may act first; see Config.Quiet.
	QuietUntil time.Time
	// ActUntil is when the holder must stop to act unless renewed by then; see
	// Config.ActWindow.
	ActUntil time.Time
}

// Counters counts what a Machine did.
type Counters struct {
	// Acquired counts takings of the lease, Renewed renewals, Released handovers.
	Acquired, Renewed, Released uint64
	// Lapsed counts times the lease ran out unrenewed, Lost times another
	// holder was seen in its place, StaleFences times a newer fence was met.
	Lapsed, Lost, StaleFences uint64
	// Reads and Transactions count exchanges with the table, Unsettled those
	// without an answer.
	Reads, Transactions, Unsettled uint64
}

// Record is the value of a lease row.
type Record struct {
	// Node is the holder's node; empty means that nobody holds the lease.
	Node ident.Node `cbor:"1,keyasint,omitempty"`
	// Session tells the lives of a node apart.
	Session string `cbor:"2,keyasint,omitempty"`
	Fence   uint64 `cbor:"3,keyasint"`
	// Duration is how long the row must stay unchanged before others may take
	// the lease over.
	Duration time.Duration `cbor:"4,keyasint"`
	// Renewals counts the renewals under this fence.
	Renewals uint64 `cbor:"5,keyasint"`
	// Quiet is what was left of Config.Quiet when the holder released the lease.
	Quiet time.Duration `cbor:"6,keyasint,omitempty"`
	// SentBy is the table's own time by which the row had been sent, 0 if the
	// writer did not know it.
	SentBy time.Duration `cbor:"7,keyasint,omitempty"`
	// Epoch is that of the table when the row was sent, as far as the writer knew.
	Epoch uint64 `cbor:"8,keyasint,omitempty"`
}

// fencesPerEpoch is the number of fences of one epoch of the table. When the table comes back from
// an older copy, the counter may go back too: fences of a later epoch are above all of an
// earlier one, however many of them the copy has lost.
const fencesPerEpoch = 1 << 20

// counterRecord is the value of the counter row.
type counterRecord struct {
	Fence uint64 `cbor:"1,keyasint"`
}

func encode(value any) []byte {
	encoded, err := cbor.Marshal(value)
	if err != nil {
		panic(err) // structs of strings and numbers always encode
	}
	return encoded
}

// DecodeRecord reads the value of a lease row.
func DecodeRecord(value []byte) (Record, error) {
	var record Record
	if cbor.Unmarshal(value, &record) != nil || record.Duration <= 0 || record.Duration > maxDuration {
		return Record{}, ErrMalformedRow
	}
	return record, nil
}

func decodeCounter(value []byte) uint64 {
	var counter counterRecord
	if cbor.Unmarshal(value, &counter) != nil {
		return 0
	}
	return counter.Fence
}
