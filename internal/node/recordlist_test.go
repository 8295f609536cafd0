package node

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/upstream"
)

// updateFor returns the update that a router with the list sends to one with a copy.
func updateFor(list *recordList, held uint64) *upstream.List {
	update := list.update(held, false)
	return &update
}

// editRecords returns a changed list with some of the same back ends.
func editRecords(random *rand.Rand, records []backend.Record, revision uint64) []backend.Record {
	var edited []backend.Record
	for _, record := range records {
		record.Revision = revision // a heartbeat
		switch random.IntN(12) {
		case 0:
			continue
		case 1:
			record.Draining = !record.Draining
		case 2:
			record.Models = map[ident.Model]int{"m": int(revision)}
		}
		edited = append(edited, record)
	}
	for range random.IntN(3) {
		name := ident.Incarnation(fmt.Sprintf("i-%08x", random.Uint32()))
		edited = append(edited, backend.Record{Instance: name, Service: "s", Revision: revision})
	}
	return edited
}

// Updates must bring every copy of the list, however old, to the same content.
func TestListCopiesConverge(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(3, 4))
	var list recordList
	copies := make([]recordList, 6)
	records := []backend.Record{}
	full, changes := 0, 0
	for round := range uint64(400) {
		records = editRecords(random, records, round+1)
		if read := fullList(records); read.Digest != list.digest {
			_, fits := list.apply(read)
			is.True(fits)
		}
		for index := range copies {
			// A copy lags by a number of rounds that grows with its index.
			behind := &copies[index]
			if random.IntN(1+index*index*4) != 0 || behind.digest == list.digest {
				continue
			}
			update := updateFor(&list, behind.digest)
			if update.Base == 0 {
				full++
			} else {
				changes++
				is.True(len(update.Records) < len(list.records))
			}
			_, fits := behind.apply(update)
			is.True(fits)
			is.Equal(behind.digest, list.digest)
			is.Equal(digestOf(behind.records), list.digest)
		}
	}
	is.True(changes > 200)
	is.True(full > 6) // copies that were too far behind
}

func TestHeartbeatsChangeNoDigest(t *testing.T) {
	is := is.New(t)
	first := []backend.Record{{Instance: "b", Revision: 1}, {Instance: "a", Revision: 2}}
	second := []backend.Record{{Instance: "a", Revision: 7}, {Instance: "b", Revision: 9}}
	is.Equal(fullList(first).Digest, fullList(second).Digest)
}

func TestMismatchedListsAreRejected(t *testing.T) {
	base := fullList([]backend.Record{{Instance: "a"}, {Instance: "b"}})
	tests := []struct {
		name string
		list *upstream.List
		// held is the digest of the copy afterwards.
		held uint64
	}{
		{"changes of another copy", &upstream.List{Digest: 9, Included: true, Base: 8}, base.Digest},
		{"changes that lead elsewhere", &upstream.List{Digest: 9, Included: true, Base: base.Digest}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var list recordList
			_, fits := list.apply(base)
			is.True(fits)
			_, fits = list.apply(tt.list)
			is.True(!fits)
			is.Equal(list.digest, tt.held) // 0 requests the full list
		})
	}
}
