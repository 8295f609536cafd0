package guard

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
	"github.com/fieldpond/fieldpond/internal/store/storetest"
)

// sharedRows are the rows of all routers of a test.
type sharedRows struct {
	mu      sync.Mutex
	started time.Time
	*storetest.Rows
}

func newSharedRows() *sharedRows { return &sharedRows{started: time.Now(), Rows: storetest.NewRows()} }

func (s *sharedRows) change(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *sharedRows) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.Current)
}

// fakeTable is a router's access to the rows, which may be down.
type fakeTable struct {
	rows *sharedRows
	down atomic.Bool
	// listed, if set, is called once between a list and its return, even if the table is down.
	listed atomic.Pointer[func()]
	// refuse, if set, selects writes that fail as if another router had changed the row.
	refuse func(key string) bool
}

var errTableDown = fault.New(fault.StoreUnavailable, "down")

// Commit implements store.Table.
func (f *fakeTable) Commit(_ context.Context, transaction protocol.Transaction) (protocol.TransactionResult, error) {
	if f.down.Load() {
		return protocol.TransactionResult{}, errTableDown
	}
	f.rows.mu.Lock()
	defer f.rows.mu.Unlock()
	if f.refuse != nil && f.refuse(transaction.Writes[0].Key) {
		return protocol.TransactionResult{}, nil
	}
	return f.rows.Commit(transaction), nil
}

// Read implements store.Table.
func (f *fakeTable) Read(_ context.Context, key string) (protocol.Row, bool, error) {
	if f.down.Load() {
		return protocol.Row{}, false, errTableDown
	}
	f.rows.mu.Lock()
	defer f.rows.mu.Unlock()
	row, found := f.rows.Current[key]
	row.StoreTime = time.Since(f.rows.started)
	return row, found, nil
}

// List implements store.Table.
func (f *fakeTable) List(_ context.Context, prefix string, _ int) (protocol.RowList, error) {
	listed := f.listed.Swap(nil)
	if listed == nil && f.down.Load() {
		return protocol.RowList{}, errTableDown
	}
	list := f.list(prefix)
	if listed != nil {
		(*listed)()
	}
	return list, nil
}

func (f *fakeTable) list(prefix string) protocol.RowList {
	f.rows.mu.Lock()
	defer f.rows.mu.Unlock()
	list := protocol.RowList{Epoch: f.rows.Epoch()}
	for _, row := range f.rows.Current {
		if strings.HasPrefix(row.Key, prefix) {
			list.Rows = append(list.Rows, row)
		}
	}
	return list
}
