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

// told returns what a router with the list tells one that holds a copy.
func told(list *recordList, held uint64) *upstream.List {
	tells := &upstream.List{Digest: list.digest, Included: true}
	tells.Base, tells.Records, tells.Removed = list.since(held)
	return tells
}

// edit makes another list of some of the same back ends.
func edit(random *rand.Rand, records []backend.Record, revision uint64) []backend.Record {
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

// Whatever copy a peer holds, what it is told brings it to the same list.
func TestCopiesOfTheListAgree(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(3, 4))
	var list recordList
	copies := make([]recordList, 6)
	records := []backend.Record{}
	whole, changes := 0, 0
	for round := range uint64(400) {
		records = edit(random, records, round+1)
		if read := wholeList(records); read.Digest != list.digest {
			is.True(list.take(read))
		}
		for index := range copies {
			// A copy lags by a number of rounds that grows with its index.
			behind := &copies[index]
			if random.IntN(1+index*index*4) != 0 || behind.digest == list.digest {
				continue
			}
			tells := told(&list, behind.digest)
			if tells.Base == 0 {
				whole++
			} else {
				changes++
				is.True(len(tells.Records) < len(list.records))
			}
			is.True(behind.take(tells))
			is.Equal(behind.digest, list.digest)
			is.Equal(digestOf(behind.records), list.digest)
		}
	}
	is.True(changes > 200)
	is.True(whole > 6) // copies that were too far behind
}

func TestHeartbeatsChangeNoDigest(t *testing.T) {
	is := is.New(t)
	first := []backend.Record{{Instance: "b", Revision: 1}, {Instance: "a", Revision: 2}}
	second := []backend.Record{{Instance: "a", Revision: 7}, {Instance: "b", Revision: 9}}
	is.Equal(wholeList(first).Digest, wholeList(second).Digest)
}

func TestListsThatDoNotFitAreNotTaken(t *testing.T) {
	base := wholeList([]backend.Record{{Instance: "a"}, {Instance: "b"}})
	tests := []struct {
		name string
		list *upstream.List
		// held is what the copy names afterwards.
		held uint64
	}{
		{"changes of another copy", &upstream.List{Digest: 9, Included: true, Base: 8}, base.Digest},
		{"changes that lead elsewhere", &upstream.List{Digest: 9, Included: true, Base: base.Digest}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var list recordList
			is.True(list.take(base))
			is.True(!list.take(tt.list))
			is.Equal(list.digest, tt.held) // 0 asks for the whole list
		})
	}
}
