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

// lateWriteTable carries a write out again, behind the back of the one that wrote.
type lateWriteTable struct {
	store.Table
	afterCommit func()
}

// Commit implements store.Table.
func (e *lateWriteTable) Commit(ctx context.Context, transaction protocol.Transaction) (protocol.TransactionResult, error) {
	result, err := e.Table.Commit(ctx, transaction)
	if after := e.afterCommit; after != nil {
		e.afterCommit = nil
		after()
	}
	return result, err
}

func TestLateWriteOfOwnRowIsRemoved(t *testing.T) {
	tests := []struct {
		name, life string
		left       int
	}{
		{"own life", "1", 0},
		{"later life", "2", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := newFakeStore()
			value, err := cbor.Marshal(routerRow{Incarnation: tt.life})
			is.NoErr(err)
			late := &lateWriteTable{Table: table}
			first := &routerList{table: late, timeout: time.Second, node: "n", zone: "z", incarnation: "1"}
			late.afterCommit = func() {
				_, err := table.Commit(t.Context(), protocol.Transaction{Writes: []protocol.Write{{Key: first.key(), Value: value}}})
				is.NoErr(err)
			}
			_, _, _, err = first.join(t.Context())
			is.NoErr(err)
			first.leave(t.Context())
			_, routers, err := first.read(t.Context())
			is.NoErr(err)
			is.Equal(routers, tt.left)
		})
	}
}
