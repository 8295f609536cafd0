// Package store provides clients of the platform's services. The rest of fieldpond depends
// on the interfaces here; HTTPClient implements them over the published protocol.
//
// Every method takes a context whose deadline bounds the whole call. Errors are
// *fault.Fault: RateLimited (nothing was done), StoreUnavailable with Ran "no" if the
// request was certainly not executed, and StoreUnavailable with Ran "unknown" if a write may
// have taken effect without an answer.
package store

import (
	"context"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
)

// Table is the transactional table service.
type Table interface {
	// Commit runs one transaction. A result with Committed false is no error.
	Commit(ctx context.Context, transaction protocol.Transaction) (protocol.TransactionResult, error)
	// Read returns the row of key, and whether it exists.
	Read(ctx context.Context, key string) (protocol.Row, bool, error)
	// List returns at most limit rows whose keys start with prefix.
	List(ctx context.Context, prefix string, limit int) (protocol.RowList, error)
}

// Objects is the object store. Objects are bound to a zone; the platform never copies them
// to another one.
type Objects interface {
	// Put stores data under key, replacing any former object.
	Put(ctx context.Context, zone ident.Zone, key string, data []byte) error
	// Get returns the data under key, and whether it exists.
	Get(ctx context.Context, zone ident.Zone, key string) ([]byte, bool, error)
}

// Machines is the list of live and leaving machines; it lags behind their actual state.
type Machines interface {
	// ListMachines returns the platform's current list.
	ListMachines(ctx context.Context) (protocol.MachineList, error)
}

// Client combines the services that a router uses.
type Client interface {
	Table
	Objects
	Machines
}
