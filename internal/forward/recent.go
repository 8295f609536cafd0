package forward

import (
	"sync"
	"time"

	"github.com/fieldpond/fieldpond/internal/promptcache"
)

const (
	// recentFor is how long after its last use a prompt part is assumed to be
	// in the prompt cache store.
	recentFor = 10 * time.Second
	// maxRecentParts bounds the parts tracked.
	maxRecentParts = 8192
)

// recentPrompts tracks the shared prompt parts that this router has recently had
// saved, so that not every request saves them to the prompt cache store again.
// It is safe for concurrent use.
type recentPrompts struct {
	mutex sync.Mutex
	// usedAt is the time of the last use, by Part.Key: clients choose the ids of parts, which may be long.
	usedAt map[uint64]time.Time
}

func newRecentPrompts() *recentPrompts {
	return &recentPrompts{usedAt: make(map[uint64]time.Time)}
}

// use records a use of the part and reports whether it had been used recently.
func (p *recentPrompts) use(now time.Time, part promptcache.Part) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	key := part.Key()
	usedAt, known := p.usedAt[key]
	if !known && len(p.usedAt) >= maxRecentParts {
		p.evict(now)
	}
	p.usedAt[key] = now
	return known && now.Sub(usedAt) < recentFor
}

// evict drops the parts that were not used recently, or all if that frees no space.
func (p *recentPrompts) evict(now time.Time) {
	for key, usedAt := range p.usedAt {
		if now.Sub(usedAt) >= recentFor {
			delete(p.usedAt, key)
		}
	}
	if len(p.usedAt) >= maxRecentParts {
		clear(p.usedAt)
	}
}
