package upstream

import (
	"time"

	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/canary"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/promptcache"
	"github.com/fieldpond/fieldpond/internal/quarantine"
)

// Pull requests what changed since the last pull. Pull and Update are CBOR on the wire.
type Pull struct {
	// From is the router that pulls.
	From Peer `cbor:"1,keyasint"`
	// Confirmation is that of the last Update from this incarnation of the peer; 0 requests
	// an immediate answer.
	Confirmation uint64 `cbor:"2,keyasint,omitempty"`
	// Configuration and List identify the sender's copies by the configuration's version
	// and the list's digest, 0 for none.
	Configuration uint64 `cbor:"3,keyasint,omitempty"`
	List          uint64 `cbor:"4,keyasint,omitempty"`
	// Caches requests the contents of prompt cache stores beyond CachePositions.
	Caches         bool                   `cbor:"5,keyasint,omitempty"`
	CachePositions []promptcache.Position `cbor:"6,keyasint,omitempty"`
	// Quarantine is the digest of the sender's quarantine evidence, 0 for none.
	Quarantine uint64 `cbor:"7,keyasint,omitempty"`
	// UpdatesDigest is the digest of the sender's state updates of back ends, 0 for none.
	UpdatesDigest uint64 `cbor:"8,keyasint,omitempty"`
	// Packed means that the sender reads Configuration.PackedBody and List.Packed.
	Packed bool `cbor:"9,keyasint,omitempty"`
	// Pending means that the sender knows that it is about to be supplied.
	Pending bool `cbor:"11,keyasint,omitempty"`
	// Elders is EldersDigest of the elders that the sender knows.
	Elders uint64 `cbor:"10,keyasint,omitempty"`
}

// Update is the state of a peer. Ages are as of the answer.
type Update struct {
	// Revision is the revision of the answering router's row.
	Revision uint64 `cbor:"1,keyasint"`
	// Confirmation increases each time the store confirms the state.
	Confirmation uint64 `cbor:"2,keyasint"`
	// Origin is the router that read the store.
	Origin ident.Node `cbor:"3,keyasint"`
	// HeldFor is how long the answer was delayed to wait for newer state.
	HeldFor       time.Duration `cbor:"4,keyasint"`
	Configuration Configuration `cbor:"5,keyasint"`
	List          List          `cbor:"6,keyasint"`
	// Routers is the number of routers in all zones, 0 if unknown, and RoutersAge the time
	// since it was read.
	Routers    int           `cbor:"7,keyasint"`
	RoutersAge time.Duration `cbor:"10,keyasint,omitempty"`
	// Caches are changes of prompt cache stores, if requested.
	Caches []promptcache.Update `cbor:"8,keyasint,omitempty"`
	// Quarantine is the quarantine evidence, if its digest differs from the pull's.
	Quarantine []quarantine.Evidence `cbor:"11,keyasint,omitempty"`
	// StateUpdates are those of back ends, if their digest differs from the pull's.
	StateUpdates []backend.StateUpdate `cbor:"12,keyasint,omitempty"`
	// Epoch is the newest epoch of the store that the peer observed (see store.Revision).
	// FirstEra is one more than the start of epoch 0 in the store's own count, 0 if unknown.
	Epoch    uint64 `cbor:"13,keyasint,omitempty"`
	FirstEra uint64 `cbor:"14,keyasint,omitempty"`
	// ReadingFor is for how long a router that supplies this one has been reading a long list,
	// 0 if this one has state or no such router is known.
	ReadingFor time.Duration `cbor:"16,keyasint,omitempty"`
	// GoneReleases are the releases that began streams and are no longer listed.
	GoneReleases []backend.GoneRelease `cbor:"17,keyasint,omitempty"`
	// PastReleasesKnown is whether the peer knows which releases were listed before it started.
	PastReleasesKnown bool `cbor:"19,keyasint,omitempty"`
	// Elders are those of a large fleet, if their digest differs from the pull's.
	Elders []Peer `cbor:"15,keyasint,omitempty"`
	// Overloads is how the back ends of services bear overload, if the pull has no confirmation.
	Overloads []backend.ServiceOverload `cbor:"18,keyasint,omitempty"`
	// ShuttingDown means that the peer still serves requests but ends soon.
	ShuttingDown bool `cbor:"9,keyasint,omitempty"`
}

// Complete reports whether the peer has both the configuration and the instance list.
func (u *Update) Complete() bool { return u.Configuration.Revision != 0 && u.List.Digest != 0 }

// Configuration is a configuration with the time since it was confirmed.
type Configuration struct {
	// Revision is the store's revision up to which the row held no newer configuration, 0 if
	// unknown. It does not order configurations: a late write raises it.
	Revision uint64 `cbor:"1,keyasint"`
	// Version is the configuration's own version.
	Version uint64 `cbor:"7,keyasint"`
	// Body is empty if the pulling router has this version. Routers that read PackedBody get
	// the body there, compressed by Compress.
	Body       []byte        `cbor:"2,keyasint,omitempty"`
	PackedBody []byte        `cbor:"8,keyasint,omitempty"`
	Age        time.Duration `cbor:"3,keyasint"`
	// Publications are the published versions of weights, oldest first for each model.
	Publications []Publication `cbor:"4,keyasint,omitempty"`
	// Rollouts is nil if there is and was no rollout.
	Rollouts *Rollouts `cbor:"5,keyasint,omitempty"`
	// WatchPosition is nil if it is unknown up to where Publications is complete.
	WatchPosition *WatchPosition `cbor:"6,keyasint,omitempty"`
}

// WatchPosition is the position up to which all published versions are known, also those
// whose rows were overwritten.
type WatchPosition struct {
	// Revision is the store's revision. StoreTime is the store's monotonic time up to which
	// all publications are known, 0 if unknown.
	Revision  uint64        `cbor:"1,keyasint"`
	StoreTime time.Duration `cbor:"2,keyasint,omitempty"`
}

// Rollouts is the state of rollouts in the store.
type Rollouts struct {
	Known canary.Snapshot `cbor:"1,keyasint"`
	// StoreTime is the store's monotonic time at which the orders were read, AbsentAt one at
	// which the newest of them did not exist yet, 0 if unknown.
	StoreTime time.Duration `cbor:"2,keyasint"`
	AbsentAt  time.Duration `cbor:"3,keyasint,omitempty"`
	// Age is the time since the orders were read, StatesAge since the states were, negative
	// if they were not.
	Age       time.Duration `cbor:"4,keyasint"`
	StatesAge time.Duration `cbor:"5,keyasint"`
}

// Publication is a published version of a model's weights.
type Publication struct {
	Model   ident.Model   `cbor:"1,keyasint"`
	Version int           `cbor:"2,keyasint"`
	Age     time.Duration `cbor:"3,keyasint"`
	// SeenAtStart means that the version may be older than Age.
	SeenAtStart bool `cbor:"4,keyasint,omitempty"`
}

// List is the instance list with the time since it was read. It contains all records, the
// changes to the pulling router's copy, or nothing.
type List struct {
	// Digest identifies the content, 0 if there is none.
	Digest uint64 `cbor:"1,keyasint"`
	// Included means that the content follows; it is false if the pull contains Digest.
	Included bool `cbor:"4,keyasint,omitempty"`
	// Base is the digest of the copy to which Records and Removed apply, 0 if Records is
	// the whole list.
	Base    uint64              `cbor:"5,keyasint,omitempty"`
	Records []backend.Record    `cbor:"2,keyasint,omitempty"`
	Removed []ident.Incarnation `cbor:"6,keyasint,omitempty"`
	Age     time.Duration       `cbor:"3,keyasint"`
	// Packed has many records in place of Records, encoded by PackRecords, for routers that read
	// it.
	Packed []byte `cbor:"7,keyasint,omitempty"`
	// StoreRevision is a revision of the store that the list includes, 0 if unknown.
	StoreRevision uint64 `cbor:"8,keyasint,omitempty"`
}

// Unpack replaces packed content by what it contains. Malformed content gives ErrPacked.
func (u *Update) Unpack() error {
	if len(u.Configuration.PackedBody) > 0 {
		body, err := Decompress(u.Configuration.PackedBody)
		if err != nil {
			return errors.Wrap(err, "unpack the configuration")
		}
		u.Configuration.Body, u.Configuration.PackedBody = body, nil
	}
	if len(u.List.Packed) > 0 {
		records, err := UnpackRecords(u.List.Packed)
		if err != nil {
			return errors.Wrap(err, "unpack the instance list")
		}
		u.List.Records, u.List.Packed = records, nil
	}
	return nil
}
