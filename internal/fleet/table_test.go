package fleet

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
	"github.com/fieldpond/fieldpond/internal/store/storetest"
)

// tableModel is a model of the table service, with a log of the accepted heads.
type tableModel struct {
	*storetest.Rows
	heads []HistoryEntry
}

func newTableModel() *tableModel { return &tableModel{Rows: storetest.NewRows()} }

func (m *tableModel) commit(transaction protocol.Transaction) protocol.TransactionResult {
	result := m.Commit(transaction)
	if !result.Committed {
		return result
	}
	for _, write := range transaction.Writes {
		if write.Key != HeadKey {
			continue
		}
		head, err := decodeHead(write.Value)
		if err != nil {
			panic(err)
		}
		m.heads = append(m.heads, head.History[0])
	}
	return result
}

// faultMode is the outcome of a request to the fake table.
type faultMode int

const (
	works faultMode = iota
	// lostAfter loses the answer after the commit, lostBefore the request.
	lostAfter
	lostBefore
	// down refuses the connection, limited answers 429; neither has an effect.
	down
	limited
	// hangs fails once the context has ended.
	hangs
	modeCount
)

// fakeTable is a store.Table over a tableModel, with a fault for each request.
type fakeTable struct {
	mutex sync.Mutex
	model *tableModel
	// mode chooses the fault of each request; nil means none.
	mode  func(key string, write bool) faultMode
	reads int
	// delay is the time until a request takes effect.
	delay time.Duration
}

func newFakeTable() *fakeTable { return &fakeTable{model: newTableModel()} }

func (f *fakeTable) setMode(mode faultMode) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.mode = func(string, bool) faultMode { return mode }
}

func (f *fakeTable) countReads() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.reads
}

// exchange runs one request with the chosen fault.
func (f *fakeTable) exchange(ctx context.Context, key string, write bool, run func()) error {
	f.mutex.Lock()
	if delay := f.delay; delay > 0 {
		f.mutex.Unlock()
		select {
		case <-ctx.Done():
			return faultOf(lostBefore)
		case <-time.After(delay):
		}
		f.mutex.Lock()
	}
	mode := works
	if f.mode != nil {
		mode = f.mode(key, write)
	}
	if !write {
		f.reads++
	}
	if mode == works || mode == lostAfter {
		run()
	}
	f.mutex.Unlock()
	if mode == hangs {
		<-ctx.Done()
	}
	return faultOf(mode)
}

func faultOf(mode faultMode) error {
	switch mode {
	case works:
		return nil
	case down:
		return fault.New(fault.StoreUnavailable, "connection refused")
	case limited:
		return fault.New(fault.RateLimited, "slow down").WithRetryAfter(700 * time.Millisecond)
	}
	return fault.New(fault.StoreUnavailable, "no answer").WithRan(fault.RanUnknown)
}

func (f *fakeTable) Commit(ctx context.Context, transaction protocol.Transaction) (result protocol.TransactionResult, err error) {
	err = f.exchange(ctx, transaction.Writes[0].Key, true, func() { result = f.model.commit(transaction) })
	if err != nil {
		return protocol.TransactionResult{}, err
	}
	return result, nil
}

func (f *fakeTable) Read(ctx context.Context, key string) (row protocol.Row, found bool, err error) {
	err = f.exchange(ctx, key, false, func() { row, found = f.model.Current[key] })
	return row, found, err
}

func (f *fakeTable) List(ctx context.Context, prefix string, limit int) (list protocol.RowList, err error) {
	err = f.exchange(ctx, prefix, false, func() {
		for key, row := range f.model.Current {
			if strings.HasPrefix(key, prefix) {
				list.Rows = append(list.Rows, row)
			}
		}
	})
	list.Rows = list.Rows[:min(len(list.Rows), limit)]
	return list, err
}
