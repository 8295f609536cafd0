package upstream_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/upstream"
)

// randomRecords returns an instance list as the platform names and places back ends.
func randomRecords(count int) []backend.Record {
	random := rand.New(rand.NewPCG(5, 6))
	records := make([]backend.Record, count)
	for index := range records {
		zone := random.IntN(5)
		records[index] = backend.Record{
			Instance: ident.Incarnation(fmt.Sprintf("i-%010x@%d", uint64(index)<<20|uint64(random.Uint32N(1<<20)), 1792475154000+random.IntN(2000))),
			Service:  "engines", Address: fmt.Sprintf("10.%d.%d.%d:8249", zone+1, 64+random.IntN(8), 1+random.IntN(250)),
			Zone: ident.Zone(fmt.Sprintf("zone-%d", zone)), Release: "v1", Slots: 16, Draining: random.IntN(50) == 0,
			Models: map[ident.Model]int{"weights": 1}, Revision: uint64(2000 + random.IntN(10000)),
		}
	}
	return records
}

func TestPackedRecordsAreUnchanged(t *testing.T) {
	records := randomRecords(300)
	other := backend.Record{Instance: "z", Service: "application", Address: "a host:1", Slots: 6, Revision: 3}
	tests := []struct {
		name    string
		records []backend.Record
	}{
		{"none", []backend.Record{}},
		{"many", records},
		{"an address that is no IP:PORT", append(records[:2:2], other)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			packed, err := upstream.PackRecords(tt.records)
			is.NoErr(err)
			unpacked, err := upstream.UnpackRecords(packed)
			is.NoErr(err)
			is.Equal(unpacked, tt.records)
		})
	}
}

// Every router pulls the whole list once, over links that the largest fleets share with their
// requests.
func TestPackedListIsSmall(t *testing.T) {
	const bytesPerRecord = 24
	for _, count := range []int{10_000, 20_000} {
		is := is.New(t)
		packed, err := upstream.PackRecords(randomRecords(count))
		is.NoErr(err)
		t.Logf("%d records take %d bytes", count, len(packed))
		is.True(len(packed) <= bytesPerRecord*count)
	}
}

func TestMalformedPackedContentIsRejected(t *testing.T) {
	packed, err := upstream.PackRecords(randomRecords(20))
	if err != nil {
		t.Fatal(err)
	}
	noRecords, err := upstream.Compress([]byte{0xa1, 0x01, 0x81, 0x61, 'a'})
	if err != nil {
		t.Fatal(err)
	}
	zeros, err := upstream.Compress(bytes.Repeat([]byte{0}, 33<<20))
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name string
		data []byte
	}{
		{"empty", nil}, {"no compressed content", []byte("text")}, {"cut off", packed[:len(packed)/2]},
		{"columns of different length", noRecords}, {"too large", zeros},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := upstream.UnpackRecords(tt.data)
			is.True(errors.Is(err, upstream.ErrPacked))
		})
	}
}

func FuzzUnpackRecords(f *testing.F) {
	packed, err := upstream.PackRecords(randomRecords(20))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(packed)
	f.Fuzz(func(t *testing.T, data []byte) {
		records, err := upstream.UnpackRecords(data)
		if err != nil && !errors.Is(err, upstream.ErrPacked) {
			t.Fatal("untyped error", err)
		}
		if err != nil {
			return
		}
		if _, err := upstream.PackRecords(records); err != nil {
			t.Fatal(err)
		}
	})
}

// What a pull unpacks to must leave room on a small machine, and the longest lists must stay far below that.
func TestUnpackedContentIsBounded(t *testing.T) {
	is := is.New(t)
	const limit = 8 << 20
	large, err := upstream.Compress(make([]byte, limit+1))
	is.NoErr(err)
	_, err = upstream.Decompress(large)
	is.True(errors.Is(err, upstream.ErrPacked))
	list, err := upstream.PackRecords(randomRecords(20_000))
	is.NoErr(err)
	content, err := upstream.Decompress(list)
	is.NoErr(err)
	t.Logf("20,000 records unpack to %d bytes", len(content))
	is.True(len(content) <= limit/4)
}
