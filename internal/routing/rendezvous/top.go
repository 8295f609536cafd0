package rendezvous

import (
	"slices"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// MaxTop is the largest number of engines that a Top keeps.
const MaxTop = 256

// Ranked is one engine with its score.
type Ranked struct {
	Score  uint64
	Engine ident.Engine
	// Index is the engine's position in the caller's list.
	Index int32
}

// Top keeps the highest ranking engines offered to it in a min-heap, so that
// most offers cost one comparison.
type Top struct {
	size    int
	length  int
	entries [MaxTop]Ranked
}

// Reset empties the Top and sets how many engines it keeps, at most MaxTop.
func (t *Top) Reset(size int) {
	t.size, t.length = min(size, MaxTop), 0
}

// Offer adds an engine if it ranks among the highest.
func (t *Top) Offer(entry Ranked) {
	if t.length < t.size {
		t.entries[t.length] = entry
		t.length++
		t.siftUp()
		return
	}
	if t.size > 0 && above(&entry, &t.entries[0]) {
		t.entries[0] = entry
		t.siftDown()
	}
}

// Sorted returns the kept engines, best first. The slice is valid until the
// next Offer or Reset.
func (t *Top) Sorted() []Ranked {
	kept := t.entries[:t.length]
	slices.SortFunc(kept, func(first, second Ranked) int {
		switch {
		case above(&first, &second):
			return -1
		case above(&second, &first):
			return 1
		}
		return 0
	})
	return kept
}

func above(first, second *Ranked) bool {
	return RanksAbove(first.Score, first.Engine, second.Score, second.Engine)
}

func (t *Top) siftUp() {
	for child := t.length - 1; child > 0; {
		parent := (child - 1) / 2
		if !above(&t.entries[parent], &t.entries[child]) {
			return
		}
		t.entries[child], t.entries[parent] = t.entries[parent], t.entries[child]
		child = parent
	}
}

func (t *Top) siftDown() {
	for parent := 0; ; {
		child := 2*parent + 1
		if child >= t.length {
			return
		}
		if child+1 < t.length && above(&t.entries[child], &t.entries[child+1]) {
			child++
		}
		if !above(&t.entries[parent], &t.entries[child]) {
			return
		}
		t.entries[child], t.entries[parent] = t.entries[parent], t.entries[child]
		parent = child
	}
}
