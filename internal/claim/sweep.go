package claim

import (
	"cmp"
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
)

// Bounds of what a sweep deletes.
const (
	// MinRetention is the least Retention, longer than any request, retry of a transaction or
	// shutdown.
	MinRetention = time.Hour
	// ClockSkew is the largest difference between the clocks of two routers; it is added to the
	// retention.
	ClockSkew = time.Hour
	// openRetentionFactor multiplies the retention of rows without an outcome: their holder may
	// be paused or a suspended machine.
	openRetentionFactor = 4
	// hexDigits are the characters of the hash that ends a row's key.
	hexDigits = "0123456789abcdef"
)

// SweepConfig bounds the work of a Sweep.
type SweepConfig struct {
	// Retention is how long a row is kept after its claim; at least MinRetention. Default: 48h.
	Retention time.Duration
	// PassPause is the time from the end of a pass over all rows to the next one. Default:
	// Retention / 24.
	PassPause time.Duration
	// RequestsPerSecond bounds the requests to the table. Default: 2.
	RequestsPerSecond float64
	// PageRows is the most rows of one read. Default: 200.
	PageRows int
	// MaxBatch is the most rows deleted by one transaction. Default: 64.
	MaxBatch int
	// FailurePause follows a request without an answer. Default: 5s.
	FailurePause time.Duration
}

const (
	defaultRetention         = 48 * time.Hour
	defaultSweepRate         = 2
	defaultPageRows          = 200
	defaultSweepFailurePause = 5 * time.Second
	// passesPerRetention is the number of passes that begin in one retention.
	passesPerRetention = 24
)

func (c SweepConfig) withDefaults() SweepConfig {
	c.Retention = max(cmp.Or(max(0, c.Retention), defaultRetention), MinRetention)
	c.PassPause = cmp.Or(max(0, c.PassPause), c.Retention/passesPerRetention)
	c.RequestsPerSecond = cmp.Or(max(0, c.RequestsPerSecond), defaultSweepRate)
	c.PageRows = cmp.Or(max(0, c.PageRows), defaultPageRows)
	c.MaxBatch = cmp.Or(max(0, c.MaxBatch), defaultMaxBatch)
	c.FailurePause = cmp.Or(max(0, c.FailurePause), defaultSweepFailurePause)
	return c
}

// SweepRequest is one request to the table: a read of the rows under Prefix, or, if Prefix is
// empty, a transaction that deletes.
type SweepRequest struct {
	Prefix      string
	Limit       int
	Transaction protocol.Transaction
}

// SweepCounters counts what a Sweep did.
type SweepCounters struct {
	// Read counts rows read, Deleted rows deleted, Changed rows not deleted since they had
	// changed, Failed requests without an answer, and Passes complete passes over all rows.
	Read, Deleted, Changed, Failed, Passes uint64
}

// Sweep deletes the claim rows whose retention has passed. It is a state machine without I/O
// and is not safe for concurrent use; the Sweeper makes one request at a time and passes its
// result.
//
// A row is deleted on condition of the version that was read. A late delete, from a sweeper
// that was paused or has lost its lease, therefore deletes that row or nothing: versions keep
// rising over deletes.
//
// The table cannot continue a read after a key. A prefix with more rows than a page is split by
// the next digit of the hash.
type Sweep struct {
	config   SweepConfig
	prefixes []string
	expired  []protocol.Row
	passing  bool
	nextAt   time.Time
	sent     []protocol.Row
	reading  string
	counters SweepCounters
}

// NewSweep returns a sweep whose first pass is due at once.
func NewSweep(config SweepConfig) *Sweep { return &Sweep{config: config.withDefaults()} }

// SweepPrefix returns the prefix of all rows of a tenant's service.
func SweepPrefix(key Key) string {
	row := RowKey(key)
	return row[:len(row)-hashDigits]
}

// Reset aborts the current pass; the next one begins at once.
func (s *Sweep) Reset() {
	s.prefixes, s.expired, s.sent, s.reading, s.passing = nil, nil, nil, "", false
	s.nextAt = time.Time{}
}

// Counters returns a copy of the counters.
func (s *Sweep) Counters() SweepCounters { return s.counters }

// Next returns the request that is due, if any. A new pass covers the given prefixes.
func (s *Sweep) Next(now time.Time, prefixes []string) (SweepRequest, bool) {
	if s.reading != "" || s.sent != nil || now.Before(s.nextAt) {
		return SweepRequest{}, false
	}
	if !s.passing {
		s.passing = true
		s.prefixes = slices.Clone(prefixes)
	}
	s.nextAt = now.Add(time.Duration(float64(time.Second) / s.config.RequestsPerSecond))
	if len(s.expired) >= s.config.MaxBatch || len(s.prefixes) == 0 && len(s.expired) > 0 {
		return s.delete(), true
	}
	if len(s.prefixes) == 0 {
		s.passing = false
		s.counters.Passes++
		s.nextAt = now.Add(s.config.PassPause)
		return SweepRequest{}, false
	}
	last := len(s.prefixes) - 1
	s.reading = s.prefixes[last]
	s.prefixes = s.prefixes[:last]
	return SweepRequest{Prefix: s.reading, Limit: s.config.PageRows}, true
}

func (s *Sweep) delete() SweepRequest {
	count := min(len(s.expired), s.config.MaxBatch)
	s.sent = s.expired[:count:count]
	s.expired = s.expired[count:]
	var transaction protocol.Transaction
	for _, row := range s.sent {
		transaction.Conditions = append(transaction.Conditions, protocol.Condition{Key: row.Key, Version: row.Version})
		transaction.Writes = append(transaction.Writes, protocol.Write{Key: row.Key, Delete: true})
	}
	return SweepRequest{Transaction: transaction}
}

// Listed applies the result of a read. A prefix without an answer is read again.
func (s *Sweep) Listed(now time.Time, list protocol.RowList, problem *fault.Fault) {
	prefix := s.reading
	s.reading = ""
	switch {
	case prefix == "":
		return // Reset was called during the read
	case problem != nil:
		s.prefixes = append(s.prefixes, prefix)
		s.fail(now, problem)
		return
	case list.More:
		for _, digit := range hexDigits {
			s.prefixes = append(s.prefixes, prefix+string(digit))
		}
		return
	}
	s.counters.Read += uint64(len(list.Rows))
	for _, row := range list.Rows {
		if s.isExpired(now, row) {
			s.expired = append(s.expired, row)
		}
	}
}

// isExpired reports whether a row's retention has passed, by the wall clock. A row that cannot
// be read or has no time is kept.
func (s *Sweep) isExpired(now time.Time, row protocol.Row) bool {
	record, err := decodeRecord(row)
	if err != nil || record.ClaimedAt <= 0 {
		return false
	}
	kept := s.config.Retention
	if record.State == StateClaimed {
		kept *= openRetentionFactor
	}
	return now.Sub(time.Unix(record.ClaimedAt, 0)) > kept+ClockSkew
}

// Deleted applies the result of a transaction. Rows that changed are kept; the others are
// deleted by the next one. After a lost answer the next pass reads what is left.
func (s *Sweep) Deleted(now time.Time, result protocol.TransactionResult, problem *fault.Fault) {
	sent := s.sent
	s.sent = nil
	switch {
	case sent == nil:
	case problem != nil:
		s.fail(now, problem)
	case result.Committed:
		s.counters.Deleted += uint64(len(sent))
	default:
		for index, row := range sent {
			if index < len(result.Rows) && result.Rows[index].Version == row.Version {
				s.expired = append(s.expired, row)
			} else {
				s.counters.Changed++
			}
		}
	}
}

func (s *Sweep) fail(now time.Time, problem *fault.Fault) {
	s.counters.Failed++
	s.nextAt = now.Add(max(s.config.FailurePause, problem.RetryAfter))
}
