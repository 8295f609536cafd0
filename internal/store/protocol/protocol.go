// Package protocol declares the published HTTP protocol of the platform's
// services: transactional table, object store, weight store and machine list.
//
//	POST /table/v1/transactions          Transaction -> TransactionResult
//	GET  /table/v1/rows/{key}            Row, or 404
//	GET  /table/v1/rows?prefix=P&limit=N RowList
//	PUT  /objects/v1/{zone}/{key}        raw bytes -> 204
//	GET  /objects/v1/{zone}/{key}        raw bytes, or 404
//	GET  /weights/v1/{model}/{version}   raw bytes (slow, rate-limited)
//	GET  /machines/v1/list               MachineList (lags)
//
// Keys are path-escaped. A service over its rate limit answers 429 with
// Retry-After and has done nothing. Any broken exchange leaves it unknown
// whether a write took effect.
package protocol

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// Row is one row of the table.
type Row struct {
	Key string `json:"key"`
	// Value is opaque to the table.
	Value []byte `json:"value"`
	// Version counts the writes to this key, starting at 1. It goes on
	// counting when a deleted key is written again.
	Version uint64 `json:"version"`
	// StoreTime is the table's own steady time when it answered, 0 if it tells
	// none. It is not part of the row, and no time of day.
	StoreTime time.Duration `json:"-"`
	// Epoch is how often the table had come back from an older copy when it answered, 0 if
	// it tells none. It is not part of the row.
	Epoch uint64 `json:"-"`
}

// Condition must hold for a transaction to commit.
type Condition struct {
	Key string `json:"key"`
	// Version is the version the row must have; 0 means it must not exist.
	Version uint64 `json:"version"`
}

// Write is one change a transaction makes.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction commits all its writes if all its conditions hold, else none.
type Transaction struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes"`
}

// TransactionResult tells whether a transaction committed.
type TransactionResult struct {
	Committed bool `json:"committed"`
	// Rows are the rows after the writes, in the order of Writes, when
	// committed; else the current rows of all conditions, in order, with
	// Version 0 for a row that does not exist.
	Rows []Row `json:"rows"`
}

// RowList is an answer to a prefix read, ordered by key.
type RowList struct {
	Rows []Row `json:"rows"`
	// More says that the limit cut the list.
	More bool `json:"more"`
	// Epoch is that of Row, of the whole list.
	Epoch uint64 `json:"-"`
}

// MachineKind names what runs on a machine of the list.
type MachineKind string

const (
	// MachineRouter runs a fieldpond router.
	MachineRouter MachineKind = "router"
	// MachineEngine runs a model engine.
	MachineEngine MachineKind = "engine"
	// MachineApplication runs an application back end.
	MachineApplication MachineKind = "application"
)

// MachineState is what the platform knows of a machine.
type MachineState string

const (
	// MachineLive is a machine in service.
	MachineLive MachineState = "live"
	// MachineLeaving is a machine that will be taken away.
	MachineLeaving MachineState = "leaving"
)

// Machine is one row of the machine list.
type Machine struct {
	// Name is the node, engine or application name.
	Name  string       `json:"name"`
	Kind  MachineKind  `json:"kind"`
	Zone  ident.Zone   `json:"zone"`
	State MachineState `json:"state"`
	// Address is host:port of its HTTP listener.
	Address string `json:"address"`
	// GossipAddress is host:port of a router's UDP gossip listener.
	GossipAddress string `json:"gossip_address,omitempty"`
}

// MachineList is the list as it was at AsOf; it lags behind the truth.
type MachineList struct {
	AsOf     time.Time `json:"as_of"`
	Machines []Machine `json:"machines"`
}
