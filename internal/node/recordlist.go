package node

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/upstream"
)

// maxListChanges bounds the changes that are kept for peers with an older copy.
const maxListChanges = 32

// recordList is an instance list, ordered by instance, with its last changes. Applying a change
// costs as much as the change, not the list. It is not safe for concurrent use.
type recordList struct {
	// digest identifies the content of records; 0 means no list.
	digest  uint64
	records []backend.Record
	changes []listChange
	// packed has what peers need as PackRecords encodes it, by the digest of their copy, 0 for
	// the whole list. It is filled as peers ask.
	packed map[uint64][]byte
}

// listChange is the change from the list with the digest base to the next one.
type listChange struct {
	base    uint64
	records []backend.Record
	removed []ident.Incarnation
}

// fullList returns a list read from the store as an update. It sorts records.
func fullList(records []backend.Record) *upstream.List {
	slices.SortFunc(records, byInstance)
	return &upstream.List{Digest: digestOf(records), Included: true, Records: records}
}

func byInstance(a, b backend.Record) int { return cmp.Compare(a.Instance, b.Instance) }

// changesSince returns the changes since the list with a digest; if they are unknown or
// not shorter, it returns a base of 0, and the full list is to be sent.
func (l *recordList) changesSince(digest uint64) (base uint64, records []backend.Record, removed []ident.Incarnation) {
	first := slices.IndexFunc(l.changes, func(change listChange) bool { return change.base == digest })
	if first < 0 || digest == 0 {
		return 0, nil, nil
	}
	changed := map[ident.Incarnation]backend.Record{}
	gone := map[ident.Incarnation]bool{}
	for _, change := range l.changes[first:] {
		for _, record := range change.records {
			changed[record.Instance] = record
			delete(gone, record.Instance)
		}
		for _, instance := range change.removed {
			delete(changed, instance)
			gone[instance] = true
		}
	}
	if len(changed) >= len(l.records) {
		return 0, nil, nil
	}
	return digest, slices.SortedFunc(maps.Values(changed), byInstance), slices.Sorted(maps.Keys(gone))
}

// minPackedRecords is the number of records from which they are packed for a peer.
const minPackedRecords = 32

// update returns what a peer with the copy of a digest lacks. packed means that the peer reads
// packed lists.
func (l *recordList) update(held uint64, packed bool) upstream.List {
	list := upstream.List{Digest: l.digest}
	if l.digest == held {
		return list
	}
	list.Included = true
	list.Base, list.Records, list.Removed = l.changesSince(held)
	if list.Base == 0 {
		list.Records = l.records
	}
	if packed && len(list.Records) >= minPackedRecords {
		list.Packed = l.pack(list.Base, list.Records)
	}
	switch {
	case list.Packed != nil:
		list.Records = nil
	case list.Base == 0:
		// A copy, as later changes replace records in place.
		list.Records = slices.Clone(l.records)
	}
	return list
}

// pack returns packed records for peers with the copy of a digest, nil if they cannot be encoded.
func (l *recordList) pack(base uint64, records []backend.Record) []byte {
	if packed := l.packed[base]; packed != nil {
		return packed
	}
	packed, err := upstream.PackRecords(records)
	if err != nil {
		log.WithFields(log.Fields{"cause": err.Error()}).Warn("list_not_packed")
		return nil
	}
	if l.packed == nil {
		l.packed = make(map[uint64][]byte)
	}
	l.packed[base] = packed
	return packed
}

// apply applies an update. It returns the change and whether the update fits this copy.
func (l *recordList) apply(list *upstream.List) (change listChange, fits bool) {
	change.base = l.digest
	if list.Base == 0 {
		change.records, change.removed = difference(l.records, list.Records)
		l.records = list.Records
	} else {
		change.records, change.removed = list.Records, list.Removed
		if list.Base != l.digest {
			return listChange{}, false
		}
		if digestOfSum(l.sumWith(&change)) != list.Digest {
			// The copies differ despite equal digests: drop this one to get the full list.
			*l = recordList{}
			return listChange{}, false
		}
		l.merge(&change)
	}
	l.digest, l.packed = list.Digest, nil
	l.keepChange(change)
	return change, true
}

// keepChange keeps a change for peers with an older copy, and drops the oldest ones beyond the
// bound or larger than the list.
func (l *recordList) keepChange(change listChange) {
	if change.base == 0 {
		return
	}
	l.changes = append(l.changes, change)
	size, first := 0, len(l.changes)
	for first > 0 && len(l.changes)-first < maxListChanges {
		older := &l.changes[first-1]
		size += len(older.records) + len(older.removed)
		if size > len(l.records) {
			break
		}
		first--
	}
	l.changes = slices.Delete(l.changes, 0, first)
}

// find returns the place of an instance in the list, and whether it is there.
func (l *recordList) find(instance ident.Incarnation) (place int, found bool) {
	return slices.BinarySearchFunc(l.records, instance, func(record backend.Record, instance ident.Incarnation) int {
		return cmp.Compare(record.Instance, instance)
	})
}

// withNewContent returns those of some records that the list lacks or has with other content,
// ordered by instance.
func (l *recordList) withNewContent(records []backend.Record) []backend.Record {
	differ := slices.DeleteFunc(records, func(record backend.Record) bool {
		place, found := l.find(record.Instance)
		return found && sameContent(&l.records[place], &record)
	})
	slices.SortFunc(differ, byInstance)
	return differ
}

// sumWith returns the sum of the records' hashes after a change.
func (l *recordList) sumWith(change *listChange) uint64 {
	sum := l.digest
	if len(l.records) == 0 {
		sum = 0
	}
	for index := range change.records {
		if place, found := l.find(change.records[index].Instance); found {
			sum -= hashOf(&l.records[place])
		}
		sum += hashOf(&change.records[index])
	}
	for _, instance := range change.removed {
		if place, found := l.find(instance); found {
			sum -= hashOf(&l.records[place])
		}
	}
	return sum
}

// merge replaces, adds and removes the records of a change, in one pass over the list if they are
// added or removed.
func (l *recordList) merge(change *listChange) {
	var added []backend.Record
	for _, record := range change.records {
		if place, found := l.find(record.Instance); found {
			l.records[place] = record
			continue
		}
		added = append(added, record)
	}
	if len(added)+len(change.removed) == 0 {
		return
	}
	removed := make(map[ident.Incarnation]bool, len(change.removed))
	for _, instance := range change.removed {
		removed[instance] = true
	}
	slices.SortFunc(added, byInstance)
	merged := make([]backend.Record, 0, len(l.records)+len(added))
	for _, record := range l.records {
		for len(added) > 0 && added[0].Instance < record.Instance {
			merged = append(merged, added[0])
			added = added[1:]
		}
		if !removed[record.Instance] {
			merged = append(merged, record)
		}
	}
	l.records = append(merged, added...)
}

// difference returns the records that were added or changed since an older list, and the
// instances that were removed. All are ordered by instance.
func difference(older, newer []backend.Record) (changed []backend.Record, gone []ident.Incarnation) {
	index := 0
	for _, record := range newer {
		for index < len(older) && older[index].Instance < record.Instance {
			gone = append(gone, older[index].Instance)
			index++
		}
		if index < len(older) && older[index].Instance == record.Instance {
			if !sameContent(&older[index], &record) {
				changed = append(changed, record)
			}
			index++
			continue
		}
		changed = append(changed, record)
	}
	for ; index < len(older); index++ {
		gone = append(gone, older[index].Instance)
	}
	return changed, gone
}

// sameContent compares two records without their revisions, which rise with each
// heartbeat.
func sameContent(a, b *backend.Record) bool {
	return a.Instance == b.Instance && a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone &&
		a.Release == b.Release && a.Slots == b.Slots && a.Draining == b.Draining && maps.Equal(a.Models, b.Models)
}

// emptyDigest is the digest of a list without records.
const emptyDigest = 1

// digestOf returns a digest of a list, without the revisions of its records. It is never 0. It
// is the sum of the records' hashes, so that a change of the list costs as much as the change.
func digestOf(records []backend.Record) uint64 {
	var sum uint64
	for index := range records {
		sum += hashOf(&records[index])
	}
	return digestOfSum(sum)
}

func digestOfSum(sum uint64) uint64 { return max(sum, emptyDigest) }

// hashOf returns a hash of a record without its revision.
func hashOf(record *backend.Record) uint64 {
	digest := xxhash.New()
	number := func(value int) {
		var bytes [8]byte
		binary.LittleEndian.PutUint64(bytes[:], uint64(value))
		_, _ = digest.Write(bytes[:])
	}
	text := func(value string) {
		number(len(value))
		_, _ = digest.WriteString(value)
	}
	text(string(record.Instance))
	text(string(record.Service))
	text(record.Address)
	text(string(record.Zone))
	text(string(record.Release))
	number(record.Slots)
	if record.Draining {
		text("draining")
	}
	number(len(record.Models))
	for _, model := range slices.Sorted(maps.Keys(record.Models)) {
		text(string(model))
		number(record.Models[model])
	}
	return digest.Sum64()
}
