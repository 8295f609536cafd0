// Package storetest provides an in-memory table for tests of the table's clients.
package storetest

import (
	"maps"
	"slices"

	"github.com/fieldpond/fieldpond/internal/store"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
)

// Rows are the rows of a table without transport or faults. They are not safe for
// concurrent use.
type Rows struct {
	// Current are the existing rows by key.
	Current map[string]protocol.Row

	// versions are kept when rows are deleted, as at the table.
	versions map[string]uint64
	// epoch is the number of restores from an older copy.
	epoch uint64
}

// Copy is a copy of the rows, to which Restore returns.
type Copy struct {
	current  map[string]protocol.Row
	versions map[string]uint64
}

// Copy returns a copy of the present rows.
func (r *Rows) Copy() Copy {
	return Copy{current: maps.Clone(r.Current), versions: maps.Clone(r.versions)}
}

// Restore restores the table from a copy. All revisions then are of a later epoch, and
// versions after the copy are assigned again.
func (r *Rows) Restore(from Copy) {
	r.epoch++
	r.versions = make(map[string]uint64)
	for key, revision := range from.versions {
		r.versions[key] = store.Revision(r.epoch, store.Version(revision))
	}
	r.Current = make(map[string]protocol.Row)
	for key, row := range from.current {
		row.Version = r.versions[key]
		r.Current[key] = row
	}
}

// Epoch returns the number of restores from an older copy.
func (r *Rows) Epoch() uint64 { return r.epoch }

// NewRows returns an empty table.
func NewRows() *Rows {
	return &Rows{Current: make(map[string]protocol.Row), versions: make(map[string]uint64)}
}

// Commit executes a transaction, or none of it if a condition does not hold; the result then
// contains the rows of the conditions.
func (r *Rows) Commit(transaction protocol.Transaction) protocol.TransactionResult {
	result := protocol.TransactionResult{Committed: true}
	for _, condition := range transaction.Conditions {
		row := r.Current[condition.Key]
		result.Rows = append(result.Rows, row)
		result.Committed = result.Committed && row.Version == condition.Version
	}
	if !result.Committed {
		return result
	}
	result.Rows = nil
	for _, write := range transaction.Writes {
		if r.versions[write.Key] == 0 {
			r.versions[write.Key] = store.Revision(r.epoch, 0)
		}
		r.versions[write.Key]++
		row := protocol.Row{Key: write.Key, Value: slices.Clone(write.Value), Version: r.versions[write.Key]}
		r.Current[write.Key] = row
		if write.Delete {
			delete(r.Current, write.Key)
		}
		result.Rows = append(result.Rows, row)
	}
	return result
}
