package promptcache_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/promptcache"
)

var (
	store = netip.MustParseAddrPort("10.0.0.1:1")
	other = netip.MustParseAddrPort("10.0.0.2:1")
	part  = promptcache.Part{Salt: "v1", ID: "p"}
	start = time.Unix(1000, 0)
)

// change returns a change of the tests' part.
func change(tokens int) promptcache.Change {
	return promptcache.Change{Part: part, Tokens: tokens}
}

func TestHolds(t *testing.T) {
	tests := []struct {
		name   string
		listed []promptcache.Change
		then   []promptcache.Changes
		part   promptcache.Part
		after  time.Duration
		want   promptcache.Presence
	}{
		{name: "listed", listed: []promptcache.Change{change(96)}, part: part, want: promptcache.Held},
		{name: "whole blocks only", listed: []promptcache.Change{change(90)}, part: part, want: promptcache.Held},
		{name: "partly dropped", listed: []promptcache.Change{change(89)}, part: part, want: promptcache.Missing},
		{name: "not listed", part: part, want: promptcache.Missing},
		{
			name: "other weights", listed: []promptcache.Change{change(100)},
			part: promptcache.Part{Salt: "v2", ID: "p"}, want: promptcache.Missing,
		},
		{
			name: "saved since", part: part, want: promptcache.Held,
			then: []promptcache.Changes{{Epoch: 7, Next: 12, Changes: []promptcache.Change{change(100)}}},
		},
		{
			name: "dropped since", listed: []promptcache.Change{change(100)}, part: part, want: promptcache.Missing,
			then: []promptcache.Changes{{Epoch: 7, Next: 12, Changes: []promptcache.Change{change(0)}}},
		},
		{
			name: "restarted since", listed: []promptcache.Change{change(100)}, part: part, want: promptcache.Unknown,
			then: []promptcache.Changes{{Epoch: 8, Next: 2}},
		},
		{
			name: "changes lost", listed: []promptcache.Change{change(100)}, part: part, want: promptcache.Unknown,
			then: []promptcache.Changes{{Epoch: 7, Next: 90, Lost: true}},
		},
		{
			name: "not read for too long", listed: []promptcache.Change{change(100)}, part: part,
			after: 4 * time.Second, want: promptcache.Unknown,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			index := promptcache.NewIndex()
			is.Equal(index.Holds(start, store, tt.part, 100), promptcache.Unknown)
			index.Replace(start, store, &promptcache.Listing{Epoch: 7, Next: 10, Held: tt.listed})
			for _, changes := range tt.then {
				index.Apply(start, store, &changes)
			}
			is.Equal(index.Holds(start.Add(tt.after), store, tt.part, 100), tt.want)
			is.Equal(index.Holds(start, other, tt.part, 100), promptcache.Unknown)
		})
	}
}

func TestPositionAfterChanges(t *testing.T) {
	is := is.New(t)
	index := promptcache.NewIndex()
	_, known := index.Position(store)
	is.True(!known) // the listing is needed
	index.Apply(start, store, &promptcache.Changes{Epoch: 7, Next: 5})
	_, known = index.Position(store)
	is.True(!known) // changes of an unknown store are ignored
	index.Replace(start, store, &promptcache.Listing{Epoch: 7, Next: 10})
	since, known := index.Position(store)
	is.True(known)
	is.Equal(since, uint64(10))
	index.Apply(start, store, &promptcache.Changes{Epoch: 7, Next: 15})
	since, _ = index.Position(store)
	is.Equal(since, uint64(15))
	index.Apply(start, store, &promptcache.Changes{Epoch: 8, Next: 1})
	_, known = index.Position(store)
	is.True(!known) // a restarted store is listed again
}

// A part's save must be reserved once at a time, and again after the timeout.
func TestReserveSaveOncePerTimeout(t *testing.T) {
	is := is.New(t)
	index := promptcache.NewIndex()
	is.True(!index.ReserveSave(start, store, part)) // the store is unknown
	index.Replace(start, store, &promptcache.Listing{Epoch: 7, Next: 10})
	is.True(index.ReserveSave(start, store, part))
	is.True(!index.ReserveSave(start.Add(time.Second), store, part))
	is.True(index.ReserveSave(start.Add(2*time.Second), store, part))
}

func TestRetainRemovesOtherStores(t *testing.T) {
	is := is.New(t)
	index := promptcache.NewIndex()
	for _, listed := range []netip.AddrPort{store, other} {
		index.Replace(start, listed, &promptcache.Listing{Epoch: 7, Next: 10})
	}
	index.Retain([]netip.AddrPort{other})
	_, known := index.Position(store)
	is.True(!known)
	_, known = index.Position(other)
	is.True(known)
}
