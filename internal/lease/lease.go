// Package lease lets one of many routers act at a time, by rows of the table service, without
// relying on synchronised clocks.
//
// A lease is the row "lease/<name>". A contender watches the version of that row. Once it has not
// changed for the whole duration given in the row, by the contender's own monotonic clock and from
// its first observation, the contender acquires the lease by compare-and-swap. The holder renews
// the row every third of the duration, and regards the lease as expired one duration after its last
// confirmed write was sent, less a margin for clocks that run at different rates. So the lease
// expires for its holder before any other may acquire it.
//
// A table that reports its own monotonic time shortens the wait: the holder writes the latest table
// time at which the row can have been sent, so that a contender learns the row's minimum age at
// its first observation.
//
// A holder cannot detect that it was paused. It must call Held before each action; and since it may
// be paused in between, every action carries the lease's fence, and its executor refuses a fence
// older than one seen before. Fences come from one counter row for all leases, raised in the
// transaction that acquires a lease. They are therefore unique and rise over all leases, even if a
// lease row is lost.
//
// A table may be restored from an older copy, and then reports a new epoch. The row may be older
// than the holder's last confirmed write. So only a holder whose lease has not expired may renew or
// acquire it before a whole duration has passed since its first observation of the new epoch, even
// if the row names no holder or is missing.
//
// Machine holds the logic without I/O or clock; Elector runs it.
package lease

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// CounterKey is the key of the row with the fence counter of all leases.
const CounterKey = "lease-fence"

// RowKey returns the key of a lease's row.
func RowKey(name string) string { return "lease/" + name }

// Config sets the times of a lease.
type Config struct {
	// Duration is the time from a renewal until others may acquire the lease. Default: 9s.
	Duration time.Duration
	// DriftMargin is the part of Duration by which the lease expires earlier for its holder than
	// for others, for clocks that differ in rate. Default: 0.1.
	DriftMargin float64
	// RetryPause is the pause after a failed exchange. Default: Duration / 18.
	RetryPause time.Duration
	// ExchangeTimeout bounds one exchange with the table. Default: Duration / 6.
	ExchangeTimeout time.Duration
	// Quiet is the time after the last action of one holder before the first one of the next.
	// Default: 0.
	Quiet time.Duration
	// ActWindow is the time after a holder's last confirmed write was sent in which it may begin
	// actions. A value below Duration shortens the next holder's wait beyond Duration. Default:
	// Duration.
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
	// maxDuration bounds the wait that a row may require of others.
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
	// Until is when the lease expires for its holder unless renewed.
	Until time.Time
	// QuietUntil is the earliest time of the holder's first action; see Config.Quiet.
	QuietUntil time.Time
	// ActUntil is from when the holder may begin no action unless the lease is renewed; see
	// Config.ActWindow.
	ActUntil time.Time
}

// Counters counts the events of a Machine.
type Counters struct {
	// Acquired, Renewed and Released count confirmed writes of the lease row.
	Acquired, Renewed, Released uint64
	// Lapsed counts leases that expired unrenewed, Lost those under which another holder was
	// observed, StaleFences newer fences passed to StepDown.
	Lapsed, Lost, StaleFences uint64
	// Reads and Transactions count exchanges with the table, Unsettled those
	// without an answer.
	Reads, Transactions, Unsettled uint64
}

// Record is the value of a lease row.
type Record struct {
	// Node is the holder; empty if there is none.
	Node ident.Node `cbor:"1,keyasint,omitempty"`
	// Session differs between the incarnations of a node.
	Session string `cbor:"2,keyasint,omitempty"`
	Fence   uint64 `cbor:"3,keyasint"`
	// Duration is how long the row must stay unchanged before others may acquire the lease.
	Duration time.Duration `cbor:"4,keyasint"`
	// Renewals counts the renewals under this fence.
	Renewals uint64 `cbor:"5,keyasint"`
	// Quiet is the rest of Config.Quiet when the holder released the lease.
	Quiet time.Duration `cbor:"6,keyasint,omitempty"`
	// SentBy is the latest table time at which the row can have been sent, 0 if unknown to the
	// writer.
	SentBy time.Duration `cbor:"7,keyasint,omitempty"`
	// Epoch is the newest epoch of the table that the writer had observed.
	Epoch uint64 `cbor:"8,keyasint,omitempty"`
}

// fencesPerEpoch is the number of fences of one epoch of the table. A restored copy may have an
// older counter: fences of a later epoch are above all of an earlier one nevertheless.
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
