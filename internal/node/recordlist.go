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

// maxListChanges bounds the changes that are kept for peers with an older copy.
const maxListChanges = 32

// recordList is an instance list, ordered by instance, with its last changes. It is not
// safe for concurrent use.
type recordList struct {
	// digest identifies the content of records; 0 means no list.
	digest  uint64
	records []backend.Record
	changes []listChange
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
// not shorter, it returns the full list, with a base of 0.
func (l *recordList) changesSince(digest uint64) (base uint64, records []backend.Record, removed []ident.Incarnation) {
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

// apply applies an update, and reports whether it fits this copy.
func (l *recordList) apply(list *upstream.List) bool {
	records := list.Records
	if list.Base != 0 {
		if list.Base != l.digest {
			return false
		}
		records = l.mergedWith(list.Records, list.Removed)
		if digestOf(records) != list.Digest {
			// The copies differ despite equal digests: drop this one to get the full list.
			*l = recordList{}
			return false
		}
	}
	change := listChange{base: l.digest}
	change.records, change.removed = difference(l.records, records)
	l.changes = append(l.changes, change)
	if extra := len(l.changes) - maxListChanges; extra > 0 {
		l.changes = slices.Delete(l.changes, 0, extra)
	}
	l.digest, l.records = list.Digest, records
	return true
}

// mergedWith returns this list with some records added or replaced and others removed.
func (l *recordList) mergedWith(records []backend.Record, removed []ident.Incarnation) []backend.Record {
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

// digestOf returns a hash of a list ordered by instance, without the revisions of its
// records. It is never 0.
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
