package forward

import (
	"sync"
	"time"

	"github.com/fieldpond/fieldpond/internal/promptcache"
)

const (
	// recentFor is how long after its last use a prompt part is taken to be
	// kept in the store of prompt caches.
	recentFor = 10 * time.Second
	// maxRecentParts bounds the parts remembered.
	maxRecentParts = 8192
)

// recentPrompts remembers which shared prompt parts this router has lately had
// saved, so that each is saved to the store of prompt caches once and not by
// every request. It is safe for concurrent use.
type recentPrompts struct {
	mutex  sync.Mutex
	usedAt map[promptcache.Part]time.Time
}

func newRecentPrompts() *recentPrompts {
	return &recentPrompts{usedAt: make(map[promptcache.Part]time.Time)}
}

// use notes a use of the part and reports whether it was used lately before.
func (p *recentPrompts) use(now time.Time, part promptcache.Part) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	usedAt, known := p.usedAt[part]
	if !known && len(p.usedAt) >= maxRecentParts {
		p.forget(now)
	}
	p.usedAt[part] = now
	return known && now.Sub(usedAt) < recentFor
}

// forget drops the parts that were not used lately, or all if none is old.
func (p *recentPrompts) forget(now time.Time) {
	for part, usedAt := range p.usedAt {
		if now.Sub(usedAt) >= recentFor {
			delete(p.usedAt, part)
		}
	}
	if len(p.usedAt) >= maxRecentParts {
		clear(p.usedAt)
	}
}
