package lease

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
	"github.com/fieldpond/fieldpond/internal/store/storetest"
)

// tableModel models the rows and versions of the table, without transport.
type tableModel struct {
	*storetest.Rows
	// storeTime is the table's own time, 0 if it reports none.
	storeTime time.Duration
}

func newTableModel() *tableModel { return &tableModel{Rows: storetest.NewRows()} }

func (m *tableModel) run(exchange Exchange) Outcome {
	outcome := Outcome{}
	if exchange.Kind == Observe {
		outcome.Rows = []protocol.Row{m.Current[exchange.Key]}
	} else {
		result := m.Commit(exchange.Transaction)
		outcome.Committed, outcome.Rows = result.Committed, result.Rows
	}
	for index := range outcome.Rows {
		outcome.Rows[index].StoreTime, outcome.Rows[index].Epoch = m.storeTime, m.Epoch()
	}
	return outcome
}

// fakeTable is a platform.Table over a tableModel that can be down.
type fakeTable struct {
	mutex    sync.Mutex
	model    *tableModel
	down     bool
	requests int
}

func (f *fakeTable) do(run func()) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.requests++
	if f.down {
		return fault.New(fault.StoreUnavailable, "no answer").WithRan(fault.RanUnknown)
	}
	run()
	return nil
}

func (f *fakeTable) setDown(down bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.down = down
}

// countOver waits for a span of time and returns the requests made in it.
func (f *fakeTable) countOver(span time.Duration) int {
	f.mutex.Lock()
	before := f.requests
	f.mutex.Unlock()
	time.Sleep(span)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.requests - before
}

func (f *fakeTable) Commit(_ context.Context, transaction protocol.Transaction) (result protocol.TransactionResult, err error) {
	err = f.do(func() { result = f.model.Commit(transaction) })
	return result, err
}

func (f *fakeTable) Read(_ context.Context, key string) (row protocol.Row, found bool, err error) {
	err = f.do(func() { row, found = f.model.Current[key] })
	return row, found, err
}

func (f *fakeTable) List(context.Context, string, int) (protocol.RowList, error) {
	return protocol.RowList{}, fault.New(fault.Internal, "not used")
}

// link is one node's connection to the table, which can be cut.
type link struct {
	*fakeTable
	cut atomic.Bool
}

func (l *link) Commit(ctx context.Context, transaction protocol.Transaction) (protocol.TransactionResult, error) {
	if l.cut.Load() {
		return protocol.TransactionResult{}, fault.New(fault.StoreUnavailable, "cut off")
	}
	return l.fakeTable.Commit(ctx, transaction)
}
