// Package store holds the clients of the platform's services. The
// interfaces here are what the rest of fieldpond depends on; http.go
// implements them over the published protocol.
//
// Every method takes a context whose deadline bounds the whole call. Errors
// are *fault.Fault: RateLimited (nothing was done), StoreUnavailable with Ran
// "no" when the request was certainly not executed, and StoreUnavailable with
// Ran "unknown" when a write may have taken effect although no answer came.
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

// Objects is the object store. Objects are bound to a zone and never copied
// to another one by the platform.
type Objects interface {
	// Put stores data under key, replacing what was there.
	Put(ctx context.Context, zone ident.Zone, key string, data []byte) error
	// Get returns the data under key, and whether it exists.
	Get(ctx context.Context, zone ident.Zone, key string) ([]byte, bool, error)
}

// Machines is the lagging list of live and leaving machines.
type Machines interface {
	// ListMachines returns the list as the platform believes it to be.
	ListMachines(ctx context.Context) (protocol.MachineList, error)
}

// Client joins the services a router uses.
type Client interface {
	Table
	Objects
	Machines
}
