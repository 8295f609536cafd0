package quarantine

import (
	"hash/maphash"
	"sync"
	"time"
)

// successSlots is the number of requests remembered, one in each slot.
const successSlots = 8192

// Successes remembers recently answered requests by a keyed hash, which no client can aim at
// and which is cheaper than a fingerprint. It is safe for concurrent use.
type Successes struct {
	seed  maphash.Seed
	epoch time.Time

	mu    sync.Mutex
	slots [successSlots]success
}

// success is the last success of a request.
type success struct {
	key uint64
	// at is the time since the epoch.
	at time.Duration
}

// NewSuccesses returns an empty Successes.
func NewSuccesses() *Successes { return &Successes{seed: maphash.MakeSeed(), epoch: time.Now()} }

// SuccessKey identifies a request in Successes.
type SuccessKey uint64

// Key returns the key of a request.
func (s *Successes) Key(request *Identity) SuccessKey { return SuccessKey(request.key(s.seed)) }

// Add records the success of a request.
func (s *Successes) Add(now time.Time, request *Identity) { s.AddKey(now, s.Key(request)) }

// AddKey records the success of a request with a key.
func (s *Successes) AddKey(now time.Time, key SuccessKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots[key%successSlots] = success{key: uint64(key), at: now.Sub(s.epoch)}
}

// Last returns the time of the last success of a request, if it was within SuccessTTL.
func (s *Successes) Last(now time.Time, request *Identity) (at time.Time, found bool) {
	key := request.key(s.seed)
	s.mu.Lock()
	defer s.mu.Unlock()
	slot := s.slots[key%successSlots]
	at = s.epoch.Add(slot.at)
	return at, slot.key == key && slot.at > 0 && now.Sub(at) <= SuccessTTL
}

// key returns the keyed hash of the identity.
func (i *Identity) key(seed maphash.Seed) uint64 {
	var digest maphash.Hash
	digest.SetSeed(seed)
	i.writeTo(&digest)
	return digest.Sum64()
}
