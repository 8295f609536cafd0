package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/canary"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// A slow release is rolled back although the holder was killed, also with few requests.
func TestNextHolderRollsBackSlowRelease(t *testing.T) {
	for _, killedAfter := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second, 5 * time.Second} {
		for _, pause := range []time.Duration{40 * time.Millisecond, 80 * time.Millisecond, 160 * time.Millisecond} {
			t.Run(killedAfter.String()+" "+pause.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newCanaryFleet(t, 5)
					f.mu.Lock()
					f.slow, f.pause = 5, pause
					f.mu.Unlock()
					f.order(canaryDuration)
					time.Sleep(killedAfter)
					f.kill("r0")
					f.setHolder("", 0)
					time.Sleep(3500 * time.Millisecond)
					f.setHolder(ident.Node("r1"), 2)
					f.sleepUntil(canaryDuration + 6*time.Second)
					is.New(t).Equal(f.check(canaryDuration, true).String(), canary.RolledBack.String())
				})
			})
		}
	}
}
