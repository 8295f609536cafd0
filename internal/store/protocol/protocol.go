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
// Retry-After and has done nothing. After any broken exchange it is unknown
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
	// Version counts the writes to this key, starting at 1. It continues when a deleted key
	// is written again.
	Version uint64 `json:"version"`
	// StoreTime is the table's own monotonic time when it answered, 0 if unknown. It is not
	// part of the row, and no time of day.
	StoreTime time.Duration `json:"-"`
	// Epoch is how often the table had been restored from an older copy when it answered, 0
	// if unknown. It is not part of the row.
	Epoch uint64 `json:"-"`
}

// Condition is a precondition of a transaction.
type Condition struct {
	Key string `json:"key"`
	// Version is the version the row must have; 0 means it must not exist.
	Version uint64 `json:"version"`
}

// Write is one change of a transaction.
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

// TransactionResult is the result of a transaction.
type TransactionResult struct {
	Committed bool `json:"committed"`
	// Rows are the rows after the writes, in the order of Writes, when
	// committed; else the current rows of all conditions, in order, with
	// Version 0 for a row that does not exist.
	Rows []Row `json:"rows"`
}

// RowList is the answer to a prefix read, ordered by key.
type RowList struct {
	Rows []Row `json:"rows"`
	// More is true if the limit truncated the list.
	More bool `json:"more"`
	// Epoch is as in Row, for the whole list.
	Epoch uint64 `json:"-"`
}

// MachineKind is the kind of program that runs on a machine.
type MachineKind string

const (
	// MachineRouter runs a fieldpond router.
	MachineRouter MachineKind = "router"
	// MachineEngine runs a model engine.
	MachineEngine MachineKind = "engine"
	// MachineApplication runs an application back end.
	MachineApplication MachineKind = "application"
)

// MachineState is the state of a machine as the platform lists it.
type MachineState string

const (
	// MachineLive is a machine in service.
	MachineLive MachineState = "live"
	// MachineLeaving is a machine that will be removed.
	MachineLeaving MachineState = "leaving"
)

// Machine is one entry of the machine list.
type Machine struct {
	// Name is the node, engine or application name.
	Name  string       `json:"name"`
	Kind  MachineKind  `json:"kind"`
	Zone  ident.Zone   `json:"zone"`
	State MachineState `json:"state"`
	// Address is the host:port of its HTTP listener.
	Address string `json:"address"`
	// GossipAddress is the host:port of a router's UDP gossip listener.
	GossipAddress string `json:"gossip_address,omitempty"`
}

// MachineList is the list as of AsOf; it lags behind the actual state.
type MachineList struct {
	AsOf     time.Time `json:"as_of"`
	Machines []Machine `json:"machines"`
}
