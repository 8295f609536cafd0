package upstream

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/canary"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/promptcache"
	"github.com/fieldpond/fieldpond/internal/quarantine"
)

// Pull asks a peer for what changed since the last pull. Pull and Update are
// CBOR on the wire.
type Pull struct {
	// From is the router that pulls.
	From Peer `cbor:"1,keyasint"`
	// Confirmation is that of the last Update from this life of the peer; 0 asks
	// for an answer at once.
	Confirmation uint64 `cbor:"2,keyasint,omitempty"`
	// Configuration and List name the copies that the asker holds, 0 for none: the
	// configuration by its own version.
	Configuration uint64 `cbor:"3,keyasint,omitempty"`
	List          uint64 `cbor:"4,keyasint,omitempty"`
	// Caches asks for what stores of prompt caches hold, beyond the copies named.
	Caches    bool                   `cbor:"5,keyasint,omitempty"`
	CacheHeld []promptcache.Position `cbor:"6,keyasint,omitempty"`
	// Quarantine names what the asker knows of requests that are held, 0 for nothing.
	Quarantine uint64 `cbor:"7,keyasint,omitempty"`
	// News names what the asker knows of what back ends said of themselves, 0 for nothing.
	News uint64 `cbor:"8,keyasint,omitempty"`
}

// Update is the state of a peer. Ages count up to the moment it was answered.
type Update struct {
	// Revision is that of the answering router's row.
	Revision uint64 `cbor:"1,keyasint"`
	// Confirmation rises each time the state is confirmed by the store.
	Confirmation uint64 `cbor:"2,keyasint"`
	// Origin is the router that read the store.
	Origin ident.Node `cbor:"3,keyasint"`
	// Held is how long the answer was held back for something new.
	Held          time.Duration `cbor:"4,keyasint"`
	Configuration Configuration `cbor:"5,keyasint"`
	List          List          `cbor:"6,keyasint"`
	// Routers is the number of routers in all zones, 0 if not known, and RoutersAge the time
	// since it was read.
	Routers    int           `cbor:"7,keyasint"`
	RoutersAge time.Duration `cbor:"10,keyasint,omitempty"`
	// Caches tell what stores of prompt caches hold, to those who asked.
	Caches []promptcache.Update `cbor:"8,keyasint,omitempty"`
	// Quarantine tells of requests that are held, if the asker knows something else of them.
	Quarantine []quarantine.Evidence `cbor:"11,keyasint,omitempty"`
	// News tells what back ends said of themselves, if the asker knows something else of them.
	News []backend.StateUpdate `cbor:"12,keyasint,omitempty"`
	// Epoch is the newest of the store that the peer saw (store.Revision), FirstEra one more
	// than the beginning of epoch 0 in the store's own count, 0 if that is not known.
	Epoch    uint64 `cbor:"13,keyasint,omitempty"`
	FirstEra uint64 `cbor:"14,keyasint,omitempty"`
	// Leaving says that the peer serves on for a while, and is about to end.
	Leaving bool `cbor:"9,keyasint,omitempty"`
}

// Complete reports whether the peer knows both the configuration and the list.
func (u *Update) Complete() bool { return u.Configuration.Revision != 0 && u.List.Digest != 0 }

// Configuration is a configuration with the time since it was confirmed.
type Configuration struct {
	// Revision is that of the store's row up to which the row held none that is newer, 0 if
	// none is known. It does not order configurations: a late write raises it.
	Revision uint64 `cbor:"1,keyasint"`
	// Version is the configuration's own.
	Version uint64 `cbor:"7,keyasint"`
	// Body is empty if the asker holds this version.
	Body []byte        `cbor:"2,keyasint,omitempty"`
	Age  time.Duration `cbor:"3,keyasint"`
	// Namings are the versions of weights that were named, oldest first for
	// each model.
	Namings []Publication `cbor:"4,keyasint,omitempty"`
	// Rollouts is nil where no service is being moved to another release, or was.
	Rollouts *Rollouts `cbor:"5,keyasint,omitempty"`
	// Watched is nil if it is not known up to where Namings holds every version.
	Watched *Watched `cbor:"6,keyasint,omitempty"`
}

// Watched tells up to where every version of weights that was named is known, also those
// whose rows were written over.
type Watched struct {
	// Revision is that of the store. StoreTime is the store's own steady time at which no
	// naming was unknown, 0 if it is not known.
	Revision  uint64        `cbor:"1,keyasint"`
	StoreTime time.Duration `cbor:"2,keyasint,omitempty"`
}

// Rollouts is what the store tells of rollouts.
type Rollouts struct {
	Known canary.Snapshot `cbor:"1,keyasint"`
	// StoreTime is the store's own steady time at the read of the orders; at Absent the
	// newest of them was not there yet, 0 if that is not known.
	StoreTime time.Duration `cbor:"2,keyasint"`
	Absent    time.Duration `cbor:"3,keyasint,omitempty"`
	// Age is the time since the orders were read, StatesAge since the states were, below
	// zero if they were not.
	Age       time.Duration `cbor:"4,keyasint"`
	StatesAge time.Duration `cbor:"5,keyasint"`
}

// Publication is a named version of a model's weights.
type Publication struct {
	Model   ident.Model   `cbor:"1,keyasint"`
	Version int           `cbor:"2,keyasint"`
	Age     time.Duration `cbor:"3,keyasint"`
	// Met says that the version may be older than Age.
	Met bool `cbor:"4,keyasint,omitempty"`
}

// List is the list of back ends with the time since it was read. It is told
// whole, as changes of a copy that the asker holds, or not at all.
type List struct {
	// Digest names the content, 0 if none is known.
	Digest uint64 `cbor:"1,keyasint"`
	// Told says that the content follows; it is false if the asker named Digest.
	Told bool `cbor:"4,keyasint,omitempty"`
	// Base is the digest of the copy that Records and Removed change, 0 if
	// Records is the whole list.
	Base    uint64              `cbor:"5,keyasint,omitempty"`
	Records []backend.Record    `cbor:"2,keyasint,omitempty"`
	Removed []ident.Incarnation `cbor:"6,keyasint,omitempty"`
	Age     time.Duration       `cbor:"3,keyasint"`
}
