package quarantine

import (
	"hash/maphash"
	"sync"
	"time"
)

// successSlots is the number of requests remembered, one in each slot: at 100 answers a second
// one in nine is overwritten by another one within SuccessTTL. They take 128 kB.
const successSlots = 8192

// Successes remembers which requests were lately answered. A keyed hash stands for a request:
// no client can aim it, and it takes 4.6 us where a fingerprint takes 31 us, for a body of
// 36 kB (BenchmarkIdentity). It is safe for concurrent use.
type Successes struct {
	seed  maphash.Seed
	epoch time.Time

	mu    sync.Mutex
	slots [successSlots]success
}

// success is the last answer to a request.
type success struct {
	key uint64
	// at is the time since the epoch.
	at time.Duration
}

// NewSuccesses returns a memory without any.
func NewSuccesses() *Successes { return &Successes{seed: maphash.MakeSeed(), epoch: time.Now()} }

// Add takes in that a request was answered.
func (s *Successes) Add(now time.Time, request *Identity) {
	key := request.key(s.seed)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots[key%successSlots] = success{key: key, at: now.Sub(s.epoch)}
}

// Last returns when a request was answered last, if it was within SuccessTTL.
func (s *Successes) Last(now time.Time, request *Identity) (at time.Time, found bool) {
	key := request.key(s.seed)
	s.mu.Lock()
	defer s.mu.Unlock()
	slot := s.slots[key%successSlots]
	at = s.epoch.Add(slot.at)
	return at, slot.key == key && slot.at > 0 && now.Sub(at) <= SuccessTTL
}

// key returns the keyed hash of what makes two requests the same one.
func (i *Identity) key(seed maphash.Seed) uint64 {
	var digest maphash.Hash
	digest.SetSeed(seed)
	i.writeTo(&digest)
	return digest.Sum64()
}
