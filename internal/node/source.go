// Package node composes one router that forwards prepared prompts: the
// configuration and list of back ends it follows, the requests it forwards,
// the lease under which it changes engines, and its start and stop. What is
// outside comes through ports, which an adapter implements.
package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/canary"
	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/store/protocol"
)

// Reading is the configuration as it lies in the store.
type Reading struct {
	// Revision changes with every write of the configuration; 0 means that
	// there is none yet.
	Revision uint64
	Body     []byte
	// Models holds the newest named version of each model's weights.
	Models map[ident.Model]int
	// Orders are the operator's orders to move services to other releases.
	Orders []canary.Order
	// StoreTime is the store's own steady time at the read.
	StoreTime time.Duration
	// StoreRevision is the store's newest revision at the read or before it: the effects of
	// all writes up to it are read.
	StoreRevision uint64
}

// PublishedWeights is a version of a model's weights that a write of the operator named.
type PublishedWeights struct {
	Model   ident.Model
	Version int
}

// Changes are writes of the operator, in the order in which the store carried them out.
type Changes struct {
	// Published holds each version of weights that was named, also those whose rows were
	// written over since.
	Published []PublishedWeights
	// StoreRevision is the store's newest revision: all changes up to it were told.
	StoreRevision uint64
	// StoreTime is the store's own steady time at the answer.
	StoreTime time.Duration
}

// ErrHistoryGone says that the store has forgotten changes that were asked for, or that they
// are too many to be told: later ones, or the rows as they are now, are to be read in their
// place.
var ErrHistoryGone = errors.New("the store has forgotten these changes")

// Source is where the configuration and the list of back ends are read. Each
// method returns the newest state at some time between its call and its
// return. Errors are *fault.Fault.
type Source interface {
	Configuration(ctx context.Context) (Reading, error)
	// Changes returns all changes after a revision. Its answer is held back until there is
	// one, for a time at most. It returns ErrHistoryGone if not all can be told any more.
	Changes(ctx context.Context, after uint64, hold time.Duration) (Changes, error)
	// Configurations returns what the row of the configuration held after a revision until
	// another one, oldest first. The store carries a write out late at times, after newer
	// ones, so that what a reading tells need not be the newest. If the store has
	// forgotten it, errors.Is finds ErrHistoryGone. Only revisions and bodies are set.
	Configurations(ctx context.Context, after, until uint64) ([]Reading, error)
	// Decode reads the body of a Reading.
	Decode(body []byte) (*catalog.Snapshot, error)
	Backends(ctx context.Context) ([]backend.Record, error)
}

// Epochs counts how often the store came back from an older copy since this system began; see
// store.Revision. Its methods are safe for concurrent use.
type Epochs interface {
	// Epoch returns the newest epoch that an answer of the store showed.
	Epoch() uint64
	// First names the beginning of epoch 0, in the store's own count; it is known once an
	// answer showed one.
	First() (first uint64, known bool)
	// ObserveFirst takes in the first of another router. The lowest is that of all.
	ObserveFirst(first uint64)
}

// RolloutStore writes how rollouts stand.
type RolloutStore interface {
	// CommitRollout commits a transaction on this system's own rows, and with it tells the
	// operator of a state. Its result and errors are those of store.Table.
	CommitRollout(ctx context.Context, transaction protocol.Transaction, told *canary.State) (protocol.TransactionResult, error)
}
