package affinity

import "time"

const (
	// MaxRecords bounds the records that a router keeps, each of some 200 bytes.
	MaxRecords = 16384
	// MaxTTL is the longest time for which a record is kept.
	MaxTTL = 2 * time.Minute
)

// Entry is what a router knows of a stream.
type Entry struct {
	Origin Origin
	// Conflicting is whether streams of the same key began at different origins, so that none of
	// them can go on.
	Conflicting bool
	ExpiresAt   time.Time
}

// Table has the records of one router. It is not safe for concurrent use.
type Table struct {
	entries map[Key]Entry
	dropped uint64
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: make(map[Key]Entry)} }

// Put records where a stream began, for a time. A full table keeps the records that it has.
func (t *Table) Put(now time.Time, key Key, origin Origin, ttl time.Duration) {
	ttl = min(ttl, MaxTTL)
	if ttl <= 0 {
		return
	}
	next := Entry{Origin: origin, ExpiresAt: now.Add(ttl)}
	if known, found := t.Get(now, key); found {
		next.Conflicting = known.Conflicting || known.Origin != origin
		if known.ExpiresAt.After(next.ExpiresAt) {
			next.ExpiresAt = known.ExpiresAt
		}
	} else if len(t.entries) >= MaxRecords {
		t.Expire(now)
		if len(t.entries) >= MaxRecords {
			t.dropped++
			return
		}
	}
	t.entries[key] = next
}

// Get returns the record of a key.
func (t *Table) Get(now time.Time, key Key) (Entry, bool) {
	known, found := t.entries[key]
	return known, found && now.Before(known.ExpiresAt)
}

// Expire drops the records whose time is over.
func (t *Table) Expire(now time.Time) {
	for key, known := range t.entries {
		if !now.Before(known.ExpiresAt) {
			delete(t.entries, key)
		}
	}
}

// Len returns the number of records, Dropped how many were not kept since the table was full.
func (t *Table) Len() int { return len(t.entries) }

// Dropped returns the number of records that were not kept, since the table was full.
func (t *Table) Dropped() uint64 { return t.dropped }

// Records returns all records that are not conflicting.
func (t *Table) Records(now time.Time) []Record {
	var records []Record
	for key, known := range t.entries {
		if ttl := known.ExpiresAt.Sub(now); ttl > 0 && !known.Conflicting {
			records = append(records, Record{Key: key, Origin: known.Origin, TTL: ttl})
		}
	}
	return records
}
