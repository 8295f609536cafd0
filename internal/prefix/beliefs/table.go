package beliefs

// none is the end of a list of slots.
const none = int32(-1)

// slot is the belief in one block of one engine incarnation.
type slot struct {
	key        uint64
	prev, next int32
	// confirmed is when the block was last known to be held.
	confirmed stamp
	// expected is when a request that will fill the block was dispatched.
	expected stamp
	source   source
	// lostCount is the engine's count of lost events at that time.
	lostCount uint16
}

// table maps keys to slots and evicts the least recently written one when full.
type table struct {
	capacity       int
	index          map[uint64]int32
	slots          []slot
	free           []int32
	newest, oldest int32
	evicted        uint64
}

func newTable(capacity int) *table {
	return &table{capacity: capacity, index: make(map[uint64]int32), newest: none, oldest: none}
}

// find returns the slot of a key, or nil. The slot is valid until the next write.
func (t *table) find(key uint64) *slot {
	position, found := t.index[key]
	if !found {
		return nil
	}
	return &t.slots[position]
}

// write returns the slot of a key, creating it if needed, and makes it the
// newest; existed is false for a new one.
func (t *table) write(key uint64) (written *slot, existed bool) {
	if position, found := t.index[key]; found {
		t.unlink(position)
		t.link(position)
		return &t.slots[position], true
	}
	position := t.allocate()
	t.slots[position] = slot{key: key}
	t.index[key] = position
	t.link(position)
	return &t.slots[position], false
}

func (t *table) remove(key uint64) {
	position, found := t.index[key]
	if !found {
		return
	}
	t.unlink(position)
	delete(t.index, key)
	t.free = append(t.free, position)
}

func (t *table) allocate() int32 {
	if length := len(t.free); length > 0 {
		position := t.free[length-1]
		t.free = t.free[:length-1]
		return position
	}
	if len(t.slots) < t.capacity {
		t.slots = append(t.slots, slot{})
		return int32(len(t.slots) - 1)
	}
	position := t.oldest
	t.unlink(position)
	delete(t.index, t.slots[position].key)
	t.evicted++
	return position
}

func (t *table) link(position int32) {
	t.slots[position].prev, t.slots[position].next = none, t.newest
	if t.newest != none {
		t.slots[t.newest].prev = position
	} else {
		t.oldest = position
	}
	t.newest = position
}

func (t *table) unlink(position int32) {
	prev, next := t.slots[position].prev, t.slots[position].next
	if prev != none {
		t.slots[prev].next = next
	} else {
		t.newest = next
	}
	if next != none {
		t.slots[next].prev = prev
	} else {
		t.oldest = prev
	}
}
