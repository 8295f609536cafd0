package node

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/upstream"
)

// keptChanges bounds the changes of a list that are kept for peers which hold an
// older copy.
const keptChanges = 32

// recordList is a list of back ends, ordered by instance, that knows its last
// changes. It is not safe for concurrent use.
type recordList struct {
	// digest names the content of records, 0 for none.
	digest  uint64
	records []backend.Record
	changes []listChange
}

// listChange leads from the copy of one digest to the next.
type listChange struct {
	base    uint64
	records []backend.Record
	removed []ident.Incarnation
}

// wholeList tells a list that was read from the store.
func wholeList(records []backend.Record) *upstream.List {
	slices.SortFunc(records, byInstance)
	return &upstream.List{Digest: digestOf(records), Included: true, Records: records}
}

func byInstance(a, b backend.Record) int { return cmp.Compare(a.Instance, b.Instance) }

// since returns what changed since the copy of a digest; if that is not known,
// or not shorter, it returns the whole list, with a base of 0.
func (l *recordList) since(digest uint64) (base uint64, records []backend.Record, removed []ident.Incarnation) {
	first := slices.IndexFunc(l.changes, func(change listChange) bool { return change.base == digest })
	if first < 0 || digest == 0 {
		return 0, l.records, nil
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
		return 0, l.records, nil
	}
	return digest, slices.SortedFunc(maps.Values(changed), byInstance), slices.Sorted(maps.Keys(gone))
}

// take takes in a list that is told; it reports whether it fits this copy.
func (l *recordList) take(list *upstream.List) bool {
	records := list.Records
	if list.Base != 0 {
		if list.Base != l.digest {
			return false
		}
		records = l.changed(list.Records, list.Removed)
		if digestOf(records) != list.Digest {
			// The copies differ in spite of their names: the whole list is due.
			*l = recordList{}
			return false
		}
	}
	change := listChange{base: l.digest}
	change.records, change.removed = difference(l.records, records)
	l.changes = append(l.changes, change)
	if extra := len(l.changes) - keptChanges; extra > 0 {
		l.changes = slices.Delete(l.changes, 0, extra)
	}
	l.digest, l.records = list.Digest, records
	return true
}

// changed returns this list with some records added or replaced and others
// removed.
func (l *recordList) changed(records []backend.Record, removed []ident.Incarnation) []backend.Record {
	merged := make(map[ident.Incarnation]backend.Record, len(l.records)+len(records))
	for _, record := range l.records {
		merged[record.Instance] = record
	}
	for _, record := range records {
		merged[record.Instance] = record
	}
	for _, instance := range removed {
		delete(merged, instance)
	}
	return slices.SortedFunc(maps.Values(merged), byInstance)
}

// difference returns the records of a list that an older one lacks or has with
// other content, and the instances that are gone. Both are ordered by instance.
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

// sameContent compares two records apart from their revisions, which rise with
// each heartbeat.
func sameContent(a, b *backend.Record) bool {
	return a.Instance == b.Instance && a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone &&
		a.Release == b.Release && a.Slots == b.Slots && a.Draining == b.Draining && maps.Equal(a.Models, b.Models)
}

// digestOf names the content of a list ordered by instance, apart from the
// revisions of its records. It is never 0.
func digestOf(records []backend.Record) uint64 {
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
	for _, record := range records {
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
	}
	return max(digest.Sum64(), 1)
}
