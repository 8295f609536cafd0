package catalog

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// What is told of versions may come in any order: rows that were read late, changes that the
// store left out at first, peers that have started later.
func TestNamingsThatAreToldInAnyOrder(t *testing.T) {
	start := time.Now()
	named := func(version int, after time.Duration) Publication {
		return Publication{Version: version, SeenAt: start.Add(after)}
	}
	met := func(version int, after time.Duration) Publication {
		return Publication{Version: version, SeenAt: start.Add(after), SeenAtStart: true}
	}
	tests := []struct {
		name  string
		told  []Publication
		known []Publication
		news  bool // of the last one that is told
	}{
		{"rising", []Publication{named(2, 1), named(3, 5)}, []Publication{named(2, 1), named(3, 5)}, true},
		{"an older one that was named before", []Publication{named(3, 5), named(2, 1)}, []Publication{named(2, 1), named(3, 5)}, true},
		{"an older one that was carried out late", []Publication{named(3, 5), named(2, 9)}, []Publication{named(2, 5), named(3, 5)}, true},
		{"an older one of unknown age", []Publication{named(3, 5), met(2, 9)}, []Publication{met(2, 5), named(3, 5)}, true},
		{"one between two others", []Publication{named(2, 1), named(4, 9), named(3, 5)}, []Publication{named(2, 1), named(3, 5), named(4, 9)}, true},
		{"a newer one that was named before the older was met", []Publication{met(2, 9), named(3, 5)}, []Publication{met(2, 5), named(3, 5)}, true},
		{"the age of one that was met", []Publication{met(3, 9), named(3, 5)}, []Publication{named(3, 5)}, true},
		{"the age of an older one that was met", []Publication{met(2, 9), named(3, 10), named(2, 5)}, []Publication{named(2, 5), named(3, 10)}, true},
		{"one that was met is written again", []Publication{met(3, 5), named(3, 9)}, []Publication{met(3, 5)}, false},
		{"one that was met is met earlier elsewhere", []Publication{met(3, 5), met(3, 1)}, []Publication{met(3, 5)}, false},
		{"one of known age by another's reckoning", []Publication{named(3, 5), named(3, 1)}, []Publication{named(3, 5)}, false},
		{"one of known age is met elsewhere", []Publication{named(3, 5), met(3, 1)}, []Publication{named(3, 5)}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			holder := &Holder{}
			news := false
			for _, naming := range tt.told {
				news = holder.Published("m", naming)
			}
			known := holder.View().Models["m"]
			is.Equal(known.Publications, tt.known)
			is.Equal(known.Version, tt.known[len(tt.known)-1].Version)
			is.Equal(news, tt.news)
		})
	}
}

// One older than all that are kept is no news, however often it is told.
func TestTheOldestNamingsAreForgotten(t *testing.T) {
	is := is.New(t)
	holder := &Holder{}
	start := time.Now()
	for version := range namingsKept + 2 {
		is.True(holder.Published("m", Publication{Version: version + 1, SeenAt: start}))
	}
	before := holder.View().Models["m"]
	is.Equal(len(before.Publications), namingsKept)
	is.True(!holder.Published("m", Publication{Version: 1, SeenAt: start}))
	is.Equal(holder.View().Models["m"], before)
}

// A view is immutable, whatever is told later.
func TestAViewKeepsItsNamings(t *testing.T) {
	is := is.New(t)
	holder := &Holder{}
	start := time.Now()
	holder.Published("m", Publication{Version: 3, SeenAt: start.Add(time.Minute), SeenAtStart: true})
	view := holder.View()
	holder.Published("m", Publication{Version: 2, SeenAt: start})
	holder.Published("m", Publication{Version: 3, SeenAt: start})
	is.Equal(view.Models["m"].Publications, []Publication{{Version: 3, SeenAt: start.Add(time.Minute), SeenAtStart: true}})
}
