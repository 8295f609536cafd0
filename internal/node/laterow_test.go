package node

import (
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/store"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
)

// lateWriteTable runs afterCommit once, after the next transaction.
type lateWriteTable struct {
	store.Table
	afterCommit func()
}

// Commit implements store.Table.
func (t *lateWriteTable) Commit(ctx context.Context, transaction protocol.Transaction) (protocol.TransactionResult, error) {
	result, err := t.Table.Commit(ctx, transaction)
	if after := t.afterCommit; after != nil {
		t.afterCommit = nil
		after()
	}
	return result, err
}

// A stopping router must also remove a row that a late write of its own has changed, but not
// one of a later incarnation.
func TestLateWriteOfOwnRowIsRemoved(t *testing.T) {
	tests := []struct {
		name, incarnation string
		left              int
	}{
		{"own incarnation", "1", 0},
		{"later incarnation", "2", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := newFakeStore()
			value, err := cbor.Marshal(routerRow{Incarnation: tt.incarnation})
			is.NoErr(err)
			late := &lateWriteTable{Table: table}
			first := &routerList{table: late, timeout: time.Second, node: "n", zone: "z", incarnation: "1"}
			late.afterCommit = func() {
				_, err := table.Commit(t.Context(), protocol.Transaction{Writes: []protocol.Write{{Key: first.key(), Value: value}}})
				is.NoErr(err)
			}
			_, err = first.join(t.Context())
			is.NoErr(err)
			first.leave(t.Context())
			_, routers, err := first.read(t.Context())
			is.NoErr(err)
			is.Equal(routers, tt.left)
		})
	}
}
