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

// echoTable carries a write out again, behind the back of the one that wrote.
type echoTable struct {
	store.Table
	after func()
}

// Commit implements store.Table.
func (e *echoTable) Commit(ctx context.Context, transaction protocol.Transaction) (protocol.TransactionResult, error) {
	result, err := e.Table.Commit(ctx, transaction)
	if after := e.after; after != nil {
		e.after = nil
		after()
	}
	return result, err
}

func TestARowThatItsOwnLifeWroteLateGoes(t *testing.T) {
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
			value, err := cbor.Marshal(routerRow{Life: tt.life})
			is.NoErr(err)
			late := &echoTable{Table: table}
			first := &routerList{table: late, timeout: time.Second, node: "n", zone: "z", incarnation: "1"}
			late.after = func() {
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
