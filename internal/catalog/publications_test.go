package catalog

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Publications may arrive in any order, from late reads or from peers that started later.
func TestPublicationsInAnyOrder(t *testing.T) {
	start := time.Now()
	seenLater := func(version int, after time.Duration) Publication {
		return Publication{Version: version, SeenAt: start.Add(after)}
	}
	seenAtStart := func(version int, after time.Duration) Publication {
		return Publication{Version: version, SeenAt: start.Add(after), SeenAtStart: true}
	}
	tests := []struct {
		name     string
		received []Publication
		known    []Publication
		changed  bool // by the last one received
	}{
		{"rising", []Publication{seenLater(2, 1), seenLater(3, 5)}, []Publication{seenLater(2, 1), seenLater(3, 5)}, true},
		{"an older one published earlier", []Publication{seenLater(3, 5), seenLater(2, 1)}, []Publication{seenLater(2, 1), seenLater(3, 5)}, true},
		{"an older one seen later", []Publication{seenLater(3, 5), seenLater(2, 9)}, []Publication{seenLater(2, 5), seenLater(3, 5)}, true},
		{"an older one of unknown age", []Publication{seenLater(3, 5), seenAtStart(2, 9)}, []Publication{seenAtStart(2, 5), seenLater(3, 5)}, true},
		{"one between two others", []Publication{seenLater(2, 1), seenLater(4, 9), seenLater(3, 5)}, []Publication{seenLater(2, 1), seenLater(3, 5), seenLater(4, 9)}, true},
		{"a newer one published before the older was seen at start", []Publication{seenAtStart(2, 9), seenLater(3, 5)}, []Publication{seenAtStart(2, 5), seenLater(3, 5)}, true},
		{"the age of one seen at start", []Publication{seenAtStart(3, 9), seenLater(3, 5)}, []Publication{seenLater(3, 5)}, true},
		{"the age of an older one seen at start", []Publication{seenAtStart(2, 9), seenLater(3, 10), seenLater(2, 5)}, []Publication{seenLater(2, 5), seenLater(3, 10)}, true},
		{"one seen at start is written again", []Publication{seenAtStart(3, 5), seenLater(3, 9)}, []Publication{seenAtStart(3, 5)}, false},
		{"one seen at start was seen earlier elsewhere", []Publication{seenAtStart(3, 5), seenAtStart(3, 1)}, []Publication{seenAtStart(3, 5)}, false},
		{"one of known age with another router's age", []Publication{seenLater(3, 5), seenLater(3, 1)}, []Publication{seenLater(3, 5)}, false},
		{"one of known age was seen at start elsewhere", []Publication{seenLater(3, 5), seenAtStart(3, 1)}, []Publication{seenLater(3, 5)}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			holder := &Holder{}
			changed := false
			for _, publication := range tt.received {
				changed = holder.Published("m", publication)
			}
			known := holder.View().Models["m"]
			is.Equal(known.Publications, tt.known)
			is.Equal(known.Version, tt.known[len(tt.known)-1].Version)
			is.Equal(changed, tt.changed)
		})
	}
}

// A version older than all kept ones never counts as a change.
func TestOldestPublicationsAreDropped(t *testing.T) {
	is := is.New(t)
	holder := &Holder{}
	start := time.Now()
	for version := range maxPublications + 2 {
		is.True(holder.Published("m", Publication{Version: version + 1, SeenAt: start}))
	}
	before := holder.View().Models["m"]
	is.Equal(len(before.Publications), maxPublications)
	is.True(!holder.Published("m", Publication{Version: 1, SeenAt: start}))
	is.Equal(holder.View().Models["m"], before)
}

// A view does not change with later publications.
func TestViewIsImmutable(t *testing.T) {
	is := is.New(t)
	holder := &Holder{}
	start := time.Now()
	holder.Published("m", Publication{Version: 3, SeenAt: start.Add(time.Minute), SeenAtStart: true})
	view := holder.View()
	holder.Published("m", Publication{Version: 2, SeenAt: start})
	holder.Published("m", Publication{Version: 3, SeenAt: start})
	is.Equal(view.Models["m"].Publications, []Publication{{Version: 3, SeenAt: start.Add(time.Minute), SeenAtStart: true}})
}
