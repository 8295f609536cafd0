package claim

import (
	"context"
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
)

// tableModel is a model of the table: rows and versions, without transport.
type tableModel struct {
	rows     map[string]protocol.Row
	versions map[string]uint64
}

func newTableModel() *tableModel {
	return &tableModel{rows: make(map[string]protocol.Row), versions: make(map[string]uint64)}
}

func (t *tableModel) commit(transaction protocol.Transaction) protocol.TransactionResult {
	var current []protocol.Row
	holds := true
	for _, condition := range transaction.Conditions {
		row := t.rows[condition.Key]
		row.Key = condition.Key
		holds = holds && row.Version == condition.Version
		current = append(current, row)
	}
	if !holds {
		return protocol.TransactionResult{Rows: current}
	}
	var written []protocol.Row
	for _, write := range transaction.Writes {
		t.versions[write.Key]++
		if write.Delete {
			delete(t.rows, write.Key)
			written = append(written, protocol.Row{Key: write.Key})
			continue
		}
		t.rows[write.Key] = protocol.Row{Key: write.Key, Value: write.Value, Version: t.versions[write.Key]}
		written = append(written, t.rows[write.Key])
	}
	return protocol.TransactionResult{Committed: true, Rows: written}
}

func (t *tableModel) record(key Key) Record {
	record, err := decodeRecord(t.rows[RowKey(key)])
	if err != nil {
		return Record{}
	}
	return record
}

// faultyTable is a store.Table with scripted faults; after the script all calls succeed. The
// end of the context is a lost answer.
type faultyTable struct {
	model  *tableModel
	turn   chan struct{}
	script []exchange
	calls  int
}

type exchange int

const (
	succeeds exchange = iota
	lostAfterCommit
	lostBeforeCommit
	outage
	rateLimited
	commitsLate
)

const commitDelay = 3 * time.Second

func newFaultyTable(script ...exchange) *faultyTable {
	return &faultyTable{model: newTableModel(), turn: make(chan struct{}, 1), script: script}
}

func (f *faultyTable) next() exchange {
	f.calls++
	if f.calls <= len(f.script) {
		return f.script[f.calls-1]
	}
	return succeeds
}

func (f *faultyTable) Commit(_ context.Context, transaction protocol.Transaction) (protocol.TransactionResult, error) {
	f.turn <- struct{}{}
	defer func() { <-f.turn }()
	lost := fault.New(fault.StoreUnavailable, "no answer").WithRan(fault.RanUnknown)
	switch f.next() {
	case lostAfterCommit:
		f.model.commit(transaction)
		return protocol.TransactionResult{}, lost
	case lostBeforeCommit:
		return protocol.TransactionResult{}, lost
	case outage:
		return protocol.TransactionResult{}, fault.New(fault.StoreUnavailable, "refused")
	case rateLimited:
		return protocol.TransactionResult{}, fault.New(fault.RateLimited, "slow down").WithRetryAfter(50 * time.Millisecond)
	case commitsLate:
		time.AfterFunc(commitDelay, func() {
			f.turn <- struct{}{}
			defer func() { <-f.turn }()
			f.model.commit(transaction)
		})
		return protocol.TransactionResult{}, lost
	default:
		return f.model.commit(transaction), nil
	}
}

// heal ends the script and returns the state of a claim's row.
func (f *faultyTable) heal(key Key) State {
	f.turn <- struct{}{}
	defer func() { <-f.turn }()
	f.script = nil
	return f.model.record(key).State
}

func (f *faultyTable) Read(context.Context, string) (protocol.Row, bool, error) {
	return protocol.Row{}, false, fault.New(fault.Internal, "not used")
}

func (f *faultyTable) List(context.Context, string, int) (protocol.RowList, error) {
	return protocol.RowList{}, fault.New(fault.Internal, "not used")
}

var noResult protocol.TransactionResult

// sortedIDs returns the claims that can be abandoned or settled, in a fixed order.
func sortedIDs(calls map[string]*call, granted map[string]int) []string {
	var claimIDs []string
	for name, one := range calls {
		if !one.settles {
			claimIDs = append(claimIDs, name)
		}
	}
	for claimID := range granted {
		claimIDs = append(claimIDs, claimID)
	}
	slices.Sort(claimIDs)
	return claimIDs
}
