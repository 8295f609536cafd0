// Package node composes one router that forwards prepared prompts: the
// configuration and instance list it follows, the requests it forwards, the
// lease under which it changes engines, and its start and stop. External
// systems are reached through ports, which adapters implement.
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

// Reading is the operator's configuration as read from the store.
type Reading struct {
	// Revision changes with every write of the configuration; 0 means no
	// configuration yet.
	Revision uint64
	Body     []byte
	// Models has the published version in each model's row.
	Models map[ident.Model]int
	// Orders are the operator's orders to move services to other releases.
	Orders []canary.Order
	// StoreTime is the store's own monotonic time at the read.
	StoreTime time.Duration
	// StoreRevision is a revision of the store at or before the read: the read includes all
	// writes up to it.
	StoreRevision uint64
}

// PublishedWeights is a version of a model's weights that the operator published.
type PublishedWeights struct {
	Model   ident.Model
	Version int
}

// Changes are writes of the operator, in the order in which the store executed them.
type Changes struct {
	// Published has each published version, also those whose rows were overwritten since.
	Published []PublishedWeights
	// Configurations has each content of the configuration's row, with only revisions and bodies set.
	Configurations []Reading
	// StoreRevision is the store's newest revision: all changes up to it are included.
	StoreRevision uint64
	// StoreTime is the store's own monotonic time at the answer, 0 if unknown.
	StoreTime time.Duration
	// Partial is whether changes after StoreRevision are missing, since the answer was slow or broke
	// off; StoreTime is then unknown.
	Partial bool
	// ReadFor is how long the answer took to arrive after its first byte.
	ReadFor time.Duration
}

// ErrAnswerCut means that an answer began and did not arrive, nor a usable part of it.
var ErrAnswerCut = errors.New("the answer did not arrive whole")

// ErrHistoryGone means that the store has forgotten the requested changes, or that they are too
// many for one answer: read later ones, or the current rows, instead.
var ErrHistoryGone = errors.New("the store has forgotten these changes")

// Source reads the configuration and the instance list. Each method returns the
// newest state at some time between its call and its return. Errors are
// *fault.Fault.
type Source interface {
	Configuration(ctx context.Context) (Reading, error)
	// Changes returns the changes after a revision, in order. It waits for one for at most hold. It
	// returns ErrHistoryGone if the store cannot return all of them, and ErrAnswerCut if its
	// answer does not arrive.
	Changes(ctx context.Context, after uint64, hold time.Duration) (Changes, error)
	// Configurations returns the contents of the configuration's row after one revision up to
	// another, oldest first, with only revisions and bodies set. The current content need not
	// be the newest configuration, as the store may execute a write late, after newer ones. If
	// the store has forgotten some, the error is ErrHistoryGone by errors.Is.
	Configurations(ctx context.Context, after, until uint64) ([]Reading, error)
	// Decode reads the body of a Reading.
	Decode(body []byte) (*catalog.Snapshot, error)
	Backends(ctx context.Context) ([]backend.Record, error)
}

// BackendRow is one row of the instance list.
type BackendRow struct {
	// Key is the key of the row.
	Key string
	// Listed is false if the row is gone or names no back end that can be used; Record is not
	// set then.
	Listed bool
	Record backend.Record
}

// BackendRows are rows of the instance list.
type BackendRows struct {
	Rows []BackendRow
	// Revision is a revision of the store at or before the read: the rows include all writes up
	// to it.
	Revision uint64
}

// BackendFeed reads a long instance list whole, and from then on its changes. Errors are
// *fault.Fault.
type BackendFeed interface {
	// BackendRows reads all rows, in several calls of at most callTimeout each. It calls onMore
	// once, as soon as it knows that one call is not enough, and stops if that returns an error.
	BackendRows(ctx context.Context, callTimeout time.Duration, onMore func() error) (BackendRows, error)
	// BackendChanges returns the rows that changed after a revision, in the order of the
	// changes. It returns ErrHistoryGone if the store cannot return all of them.
	BackendChanges(ctx context.Context, after uint64) (BackendRows, error)
	// KeyOf returns the key of a back end's row.
	KeyOf(instance ident.Incarnation) string
}

// Epochs counts how often the store was restored from an older copy since this system started;
// see store.Revision. Its methods are safe for concurrent use.
type Epochs interface {
	// Epoch returns the newest epoch in an answer of the store.
	Epoch() uint64
	// First returns the start of epoch 0, in the store's own count; it is known after the first
	// answer that has one.
	First() (first uint64, known bool)
	// ObserveFirst records First of another router. All routers use the lowest one.
	ObserveFirst(first uint64)
}

// RolloutStore writes states of rollouts.
type RolloutStore interface {
	// CommitRollout commits a transaction on this system's own rows, and with it reports a
	// state to the operator. Its result and errors are those of store.Table.
	CommitRollout(ctx context.Context, transaction protocol.Transaction, state *canary.State) (protocol.TransactionResult, error)
}
