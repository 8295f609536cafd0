package quarantine

import (
	"encoding/binary"
	"sync"
	"time"
)

// partSuccessSlots is the number of parts remembered, one in each slot.
const partSuccessSlots = 4096

// PartSuccesses remembers the parts of recently answered prompts. It is safe for concurrent use.
type PartSuccesses struct {
	epoch time.Time

	mu    sync.Mutex
	slots [partSuccessSlots]partSuccess
}

// partSuccess is the last success of a part.
type partSuccess struct {
	part Fingerprint
	// at is the time since the epoch, 0 for an empty slot.
	at time.Duration
}

// NewPartSuccesses returns an empty PartSuccesses.
func NewPartSuccesses() *PartSuccesses { return &PartSuccesses{epoch: time.Now()} }

// Add records a complete answer to a prompt.
func (s *PartSuccesses) Add(now time.Time, request *Subject) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, part := range request.eachPart {
		s.add(now, part)
	}
}

// AddParts records a complete answer to a prompt with these parts.
func (s *PartSuccesses) AddParts(at time.Time, parts []Part) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, part := range parts {
		s.add(at, part.Fingerprint)
	}
}

// add records an answer to a prompt with a part, unless there was a later one; the mutex is held.
func (s *PartSuccesses) add(at time.Time, part Fingerprint) {
	slot, since := s.slot(part), at.Sub(s.epoch)
	if slot.part != part || since > slot.at {
		*slot = partSuccess{part: part, at: since}
	}
}

// Last returns the time of the last success of a part, if it was within PartSuccessTTL.
func (s *PartSuccesses) Last(now time.Time, part Fingerprint) (at time.Time, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	slot := s.slot(part)
	at = s.epoch.Add(slot.at)
	return at, slot.part == part && slot.at > 0 && now.Sub(at) <= PartSuccessTTL
}

// slot returns the slot of a part; the mutex is held.
func (s *PartSuccesses) slot(part Fingerprint) *partSuccess {
	key := binary.LittleEndian.Uint32(part[partKeyBytes-4:]) ^ binary.LittleEndian.Uint32(part[FingerprintBytes-4:])
	return &s.slots[key%partSuccessSlots]
}
