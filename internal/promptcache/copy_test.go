package promptcache_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/promptcache"
)

// A copy must match the reader's content after each update, however many changes
// lie between two updates.
func TestCopyMatchesReader(t *testing.T) {
	tests := []struct {
		name string
		// every is the number of changes of the store between two updates.
		every int
	}{{"each change", 1}, {"several changes", 7}, {"more than kept", 100}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(1, 2))
			reader, follower := promptcache.NewIndex(), promptcache.NewIndex()
			now := start
			reader.Replace(now, store, &promptcache.Listing{Epoch: 1, Next: 1})
			for step := range 400 {
				now = now.Add(time.Second)
				changes := &promptcache.Changes{Epoch: 1, Next: uint64(step + 2)}
				for range 5 {
					changed := promptcache.Change{Part: randomPart(random), Tokens: random.IntN(2) * 100}
					changes.Changes = append(changes.Changes, changed)
				}
				reader.Apply(now, store, changes)
				if step%tt.every == 0 {
					follower.ApplyUpdates(now, reader.Updates(now, follower.Positions()))
					is.Equal(follower.Positions(), reader.Positions())
					for range 10 {
						part := randomPart(random)
						is.Equal(follower.Holds(now, store, part, 100), reader.Holds(now, store, part, 100))
					}
				}
			}
		})
	}
}

func randomPart(random *rand.Rand) promptcache.Part {
	return promptcache.Part{Salt: "v1", ID: fmt.Sprint(random.IntN(50))}
}

func TestStaleOrGappedUpdatesAreIgnored(t *testing.T) {
	entries := []promptcache.Entry{{Key: part.Key(), Tokens: 100}}
	position := promptcache.Position{Store: store, Epoch: 7, Next: 11}
	otherEpoch := position
	otherEpoch.Epoch = 8
	tests := []struct {
		name   string
		update promptcache.Update
		want   promptcache.Presence
	}{
		{"next changes", promptcache.Update{Position: position, Since: 10, Entries: entries}, promptcache.Held},
		{"a gap", promptcache.Update{Position: position, Since: 9, Entries: entries}, promptcache.Missing},
		{"another epoch", promptcache.Update{Position: otherEpoch, Since: 10, Entries: entries}, promptcache.Missing},
		{"older update", promptcache.Update{Position: position, Since: 10, Entries: entries, Age: 2 * time.Second}, promptcache.Missing},
		{"full update of another epoch", promptcache.Update{Position: otherEpoch, Full: true, Entries: entries}, promptcache.Held},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			index := promptcache.NewIndex()
			index.Replace(start, store, &promptcache.Listing{Epoch: 7, Next: 10})
			index.ApplyUpdates(start.Add(time.Second), []promptcache.Update{tt.update})
			is.Equal(index.Holds(start.Add(time.Second), store, part, 100), tt.want)
		})
	}
}

// A store not read for too long must be left out of updates.
func TestUpdatesLeaveOutStaleStores(t *testing.T) {
	is := is.New(t)
	index := promptcache.NewIndex()
	index.Replace(start, store, &promptcache.Listing{Epoch: 7, Next: 10})
	is.Equal(len(index.Updates(start.Add(time.Second), nil)), 1)
	is.Equal(len(index.Updates(start.Add(4*time.Second), nil)), 0)
}
