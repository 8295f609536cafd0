// Package platform simulates the platform's services: transactional table,
// object store, weight store and machine list, all rate-limited, with injected
// outages, delays and lost responses.
package platform

import (
	"slices"
	"strings"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
)

// Table is a transactional table in memory. It reads no clock and is not safe
// for concurrent use.
//
// Invariant: the version of a key only grows, also across deletes, so a
// condition on a version from before a delete never holds again.
type Table struct {
	rows map[string]protocol.Row
	// lastVersion holds the last version of every key ever written.
	lastVersion map[string]uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: map[string]protocol.Row{}, lastVersion: map[string]uint64{}}
}

// Apply commits all writes if all conditions hold, else none. Deleting a row
// that does not exist has no effect. A deleted row is returned with version 0.
func (t *Table) Apply(transaction protocol.Transaction) (protocol.TransactionResult, error) {
	if err := checkTransaction(transaction); err != nil {
		return protocol.TransactionResult{}, err
	}
	if !t.conditionsHold(transaction.Conditions) {
		return protocol.TransactionResult{Rows: t.conditionRows(transaction.Conditions)}, nil
	}
	rows := make([]protocol.Row, 0, len(transaction.Writes))
	for _, write := range transaction.Writes {
		rows = append(rows, t.write(write))
	}
	return protocol.TransactionResult{Committed: true, Rows: rows}, nil
}

func checkTransaction(transaction protocol.Transaction) error {
	written := map[string]bool{}
	for _, write := range transaction.Writes {
		if write.Key == "" || written[write.Key] {
			return fault.New(fault.BadRequest, "the transaction writes an empty key or a key twice")
		}
		written[write.Key] = true
	}
	for _, condition := range transaction.Conditions {
		if condition.Key == "" {
			return fault.New(fault.BadRequest, "the transaction has a condition on an empty key")
		}
	}
	return nil
}

func (t *Table) conditionsHold(conditions []protocol.Condition) bool {
	return !slices.ContainsFunc(conditions, func(c protocol.Condition) bool {
		return t.rows[c.Key].Version != c.Version
	})
}

func (t *Table) conditionRows(conditions []protocol.Condition) []protocol.Row {
	rows := make([]protocol.Row, 0, len(conditions))
	for _, condition := range conditions {
		row := t.rows[condition.Key]
		row.Key = condition.Key
		rows = append(rows, row)
	}
	return rows
}

func (t *Table) write(write protocol.Write) protocol.Row {
	if write.Delete {
		if _, exists := t.rows[write.Key]; exists {
			t.lastVersion[write.Key]++
			delete(t.rows, write.Key)
		}
		return protocol.Row{Key: write.Key}
	}
	t.lastVersion[write.Key]++
	row := protocol.Row{Key: write.Key, Value: slices.Clone(write.Value), Version: t.lastVersion[write.Key]}
	t.rows[write.Key] = row
	return row
}

// Read returns the row of key and whether it exists.
func (t *Table) Read(key string) (protocol.Row, bool) {
	row, exists := t.rows[key]
	return row, exists
}

// List returns at most limit rows whose keys start with prefix, sorted by key.
func (t *Table) List(prefix string, limit int) protocol.RowList {
	var keys []string
	for key := range t.rows {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	list := protocol.RowList{Rows: []protocol.Row{}, More: len(keys) > limit}
	for _, key := range keys[:min(limit, len(keys))] {
		list.Rows = append(list.Rows, t.rows[key])
	}
	return list
}
