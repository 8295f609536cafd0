package proofs

import (
	"fmt"
	"testing"
	"time"

	"github.com/fieldpond/fieldpond/proofs/harness"
	"github.com/fieldpond/fieldpond/standin/faultboard"
)

// BenchmarkRestart measures restarts of routers under load, each from listening
// to the first answer, and the share of prompt tokens found in the engines'
// caches before and after. Run it with -benchtime 5x.
func BenchmarkRestart(b *testing.B) {
	const routers, recentPrompts = 3, 60
	cases := []struct {
		name     string
		platform *faultboard.Fault
		count    int
	}{
		{"one/up", nil, 1},
		{"one/slow", &slowPlatform, 1},
		{"one/down", &platformDown, 1},
		{"all/up", nil, routers},
		{"all/slow", &slowPlatform, routers},
	}
	for _, test := range cases {
		b.Run(test.name, func(b *testing.B) {
			c := harness.Start(b, harness.Config{Routers: routers})
			callers := startTraffic(b, c)
			callers.awaitAnswers(c, recentPrompts)
			total, longest, before, after := time.Duration(0), time.Duration(0), 0.0, 0.0
			for round := 0; b.Loop(); round++ {
				if test.platform != nil {
					c.Inject(harness.Platform, *test.platform)
				}
				began := time.Now()
				before += hitRate(allTruth(c), time.Time{}, began, recentPrompts)
				took := restart(b, c, fmt.Sprint("round ", round), c.Routers[:test.count]...)
				total, longest = total+took, max(longest, took)
				callers.awaitAnswers(c, recentPrompts)
				after += hitRate(allTruth(c), began, time.Now(), recentPrompts)
				c.ClearFaults(harness.Platform)
				c.AwaitServing(c.Routers...)
			}
			rounds := float64(b.N)
			b.ReportMetric(0, "ns/op") // a round consists mostly of waits
			b.ReportMetric(float64(total.Milliseconds())/rounds, "mean-ms-to-answer")
			b.ReportMetric(float64(longest.Milliseconds()), "max-ms-to-answer")
			b.ReportMetric(before/rounds, "hit-before")
			b.ReportMetric(after/rounds, "hit-after")
		})
	}
}
