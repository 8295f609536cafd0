package catalog

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// What is told of versions may come in any order: rows that were read late, changes that the
// store left out at first, peers that have started later.
func TestPublicationsInAnyOrder(t *testing.T) {
	start := time.Now()
	seenLater := func(version int, after time.Duration) Publication {
		return Publication{Version: version, SeenAt: start.Add(after)}
	}
	seenAtStart := func(version int, after time.Duration) Publication {
		return Publication{Version: version, SeenAt: start.Add(after), SeenAtStart: true}
	}
	tests := []struct {
		name  string
		told  []Publication
		known []Publication
		news  bool // of the last one that is told
	}{
		{"rising", []Publication{seenLater(2, 1), seenLater(3, 5)}, []Publication{seenLater(2, 1), seenLater(3, 5)}, true},
		{"an older one that was named before", []Publication{seenLater(3, 5), seenLater(2, 1)}, []Publication{seenLater(2, 1), seenLater(3, 5)}, true},
		{"an older one that was carried out late", []Publication{seenLater(3, 5), seenLater(2, 9)}, []Publication{seenLater(2, 5), seenLater(3, 5)}, true},
		{"an older one of unknown age", []Publication{seenLater(3, 5), seenAtStart(2, 9)}, []Publication{seenAtStart(2, 5), seenLater(3, 5)}, true},
		{"one between two others", []Publication{seenLater(2, 1), seenLater(4, 9), seenLater(3, 5)}, []Publication{seenLater(2, 1), seenLater(3, 5), seenLater(4, 9)}, true},
		{"a newer one that was named before the older was met", []Publication{seenAtStart(2, 9), seenLater(3, 5)}, []Publication{seenAtStart(2, 5), seenLater(3, 5)}, true},
		{"the age of one that was met", []Publication{seenAtStart(3, 9), seenLater(3, 5)}, []Publication{seenLater(3, 5)}, true},
		{"the age of an older one that was met", []Publication{seenAtStart(2, 9), seenLater(3, 10), seenLater(2, 5)}, []Publication{seenLater(2, 5), seenLater(3, 10)}, true},
		{"one that was met is written again", []Publication{seenAtStart(3, 5), seenLater(3, 9)}, []Publication{seenAtStart(3, 5)}, false},
		{"one that was met is met earlier elsewhere", []Publication{seenAtStart(3, 5), seenAtStart(3, 1)}, []Publication{seenAtStart(3, 5)}, false},
		{"one of known age by another's reckoning", []Publication{seenLater(3, 5), seenLater(3, 1)}, []Publication{seenLater(3, 5)}, false},
		{"one of known age is met elsewhere", []Publication{seenLater(3, 5), seenAtStart(3, 1)}, []Publication{seenLater(3, 5)}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			holder := &Holder{}
			changed := false
			for _, publication := range tt.told {
				changed = holder.Published("m", publication)
			}
			known := holder.View().Models["m"]
			is.Equal(known.Publications, tt.known)
			is.Equal(known.Version, tt.known[len(tt.known)-1].Version)
			is.Equal(changed, tt.news)
		})
	}
}

// One older than all that are kept is no news, however often it is told.
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

// A view is immutable, whatever is told later.
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
