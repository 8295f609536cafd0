package affinity_test

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/affinity"
)

var (
	start = time.Unix(1000, 0)
	v1    = affinity.Origin{Service: "s", Release: "v1"}
	v2    = affinity.Origin{Service: "s", Release: "v2"}
)

// Guards against keys that a client can choose to reach the stream of another tenant or target.
func TestKeysOfTenantsAndTargetsDiffer(t *testing.T) {
	is := is.New(t)
	key := affinity.KeyOf("tenant", "host", "/path", "request")
	is.Equal(key, affinity.KeyOf("tenant", "host", "/path", "request"))
	is.True(key != affinity.KeyOf("other", "host", "/path", "request"))
	is.True(key != affinity.KeyOf("tenant", "host", "/other", "request"))
	is.True(key != affinity.KeyOf("tenant", "other", "/path", "request"))
	is.True(key != affinity.KeyOf("tenant", "host", "/path", "other"))
}

func TestRecordsAreKeptForTheirTime(t *testing.T) {
	is := is.New(t)
	table := affinity.NewTable()
	key := affinity.KeyOf("t", "h", "/", "r")
	table.Put(start, key, v1, 5*time.Second)
	entry, found := table.Get(start.Add(4*time.Second), key)
	is.True(found)
	is.Equal(entry.Origin, v1)
	_, found = table.Get(start.Add(5*time.Second), key)
	is.True(!found)
	// A later copy of the same record extends the time and never shortens it.
	table.Put(start, key, v1, time.Second)
	_, found = table.Get(start.Add(4*time.Second), key)
	is.True(found)
	table.Put(start, key, v1, time.Hour)
	_, found = table.Get(start.Add(affinity.MaxTTL), key)
	is.True(!found)
	table.Expire(start.Add(affinity.MaxTTL))
	is.Equal(table.Len(), 0)
}

// Guards against a stream that goes on at one of two releases, since its id was used twice.
func TestIDUsedTwiceAtDifferentReleasesIsConflicting(t *testing.T) {
	is := is.New(t)
	table := affinity.NewTable()
	key := affinity.KeyOf("t", "h", "/", "r")
	table.Put(start, key, v1, time.Minute)
	table.Put(start, key, v2, time.Minute)
	entry, _ := table.Get(start, key)
	is.True(entry.Conflicting)
	table.Put(start, key, v2, time.Minute)
	entry, _ = table.Get(start, key)
	is.True(entry.Conflicting)
	is.Equal(len(table.Records(start)), 0)
}

func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	table := affinity.NewTable()
	for index := range uint64(affinity.MaxRecords + 100) {
		var key affinity.Key
		binary.LittleEndian.PutUint64(key[:], index)
		table.Put(start, key, v1, time.Minute)
	}
	is.Equal(table.Len(), affinity.MaxRecords)
	is.Equal(table.Dropped(), uint64(100))
	// Expired records make room.
	table.Put(start.Add(time.Minute), affinity.KeyOf("t", "h", "/", "r"), v1, time.Minute)
	is.Equal(table.Len(), 1)
}
