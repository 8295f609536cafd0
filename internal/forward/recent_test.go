package forward

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/promptcache"
)

// Parts of prompts with long ids, which clients choose, must not fill the memory.
func TestRecentPartsKeepNoIDs(t *testing.T) {
	is := is.New(t)
	const idBytes, mebibyte = 15 << 10, 1 << 20
	recent := newRecentPrompts()
	used := func() uint64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	before := used()
	now := time.Now()
	for number := range maxRecentParts {
		part := promptcache.Part{Salt: "salt", ID: fmt.Sprint(number) + strings.Repeat("x", idBytes)}
		is.True(!recent.use(now, part))
		is.True(recent.use(now, part))
	}
	is.True(used() < before+4*mebibyte)
	runtime.KeepAlive(recent)
}
