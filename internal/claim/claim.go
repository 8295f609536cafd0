// Package claim makes a request that may not be repeated run at most once.
//
// A claim is a row in the platform's table, inserted if absent under the
// tenant-scoped idempotency key before the first attempt leaves. A claim is
// not a lease: nobody ever takes it over, so a paused holder cannot cause a
// second run.
package claim

import (
	"context"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// Key names the work a claim is for. Keys of different tenants never meet.
type Key struct {
	Tenant  ident.Tenant
	Service ident.Service
	// IdempotencyKey is as sent by the caller.
	IdempotencyKey string
}

// Digest is the SHA-256 of method, path, query and body of the request, in hex.
type Digest string

// State is the recorded state of a claim.
type State string

const (
	// StateClaimed means: an attempt may have left. It stays so if the outcome is lost.
	StateClaimed State = "claimed"
	// StateNotRun means: the holder proved that nothing ran; the key may be claimed anew.
	StateNotRun State = "not_run"
	// StateRan means: the back end answered; the answer may be retained.
	StateRan State = "ran"
	// StateUnknown means: the attempt's fate is not known and never will be by itself.
	StateUnknown State = "unknown"
)

// Record is the row of a claim.
type Record struct {
	// ClaimID is unique to one call of Claim.
	ClaimID string `cbor:"1,keyasint"`
	State   State  `cbor:"2,keyasint"`
	// Digest of the request the claim was made for.
	Digest Digest `cbor:"3,keyasint"`
	// Holder is the router that made the claim.
	Holder ident.Node `cbor:"4,keyasint"`
	// Status is the HTTP status of the answer when State is StateRan.
	Status int `cbor:"5,keyasint,omitempty"`
	// AnswerZone and AnswerKey locate the retained answer in the object store.
	AnswerZone ident.Zone `cbor:"6,keyasint,omitempty"`
	AnswerKey  string     `cbor:"7,keyasint,omitempty"`
	// ClaimedAt is when the claim was made, by the holder's wall clock, in
	// seconds since 1970. It says only when the row may be deleted.
	ClaimedAt int64 `cbor:"8,keyasint,omitempty"`
}

// Grant is the answer to Claim.
type Grant struct {
	// Acquired is true if this call holds the claim and may run the request once.
	Acquired bool
	// Record is the claim as it stands; when Mine is false it is another call's.
	Record Record
}

// Outcome is how the claimed request ended.
type Outcome struct {
	Ran    fault.Ran
	Status int
	// AnswerZone and AnswerKey locate the retained answer, if any.
	AnswerZone ident.Zone
	AnswerKey  string
}

// Claimer is what dispatch asks of this package.
type Claimer interface {
	// Claim claims the key, or tells whose claim it is. Errors are *fault.Fault
	// with Ran "no": StoreUnavailable when the store did not answer in time
	// (the key may then stay claimed although nothing ran), KeyReused when the
	// digest differs from the recorded one.
	Claim(ctx context.Context, key Key, digest Digest) (Grant, error)
	// Finish records the outcome of a claim held by this process. Ran "no"
	// frees the key for a repeat.
	Finish(ctx context.Context, key Key, claimID string, outcome Outcome) error
}
