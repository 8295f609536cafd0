package load_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/routing/framework"
	"github.com/fieldpond/fieldpond/internal/routing/load"
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

func at(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }

// Each estimate is for 1000 ms, after a report measured at 300 ms and received
// at 500 ms; a token takes 1 ms to prefill.
func TestEstimate(t *testing.T) {
	one, two := load.AttemptKey{Request: "r1", Attempt: 1}, load.AttemptKey{Request: "r2", Attempt: 1}
	cases := []struct {
		name    string
		happens func(*load.Tracker)
		want    framework.Load
	}{
		{"the reported queue shrinks", func(*load.Tracker) {}, framework.Load{QueuedPrefillTokens: 300, Running: 3}},
		{"a dispatch after the measurement adds", func(t *load.Tracker) { t.Dispatched(at(600), one, 200) },
			framework.Load{QueuedPrefillTokens: 500, Running: 4, OwnInFlight: 1}},
		{"a dispatch before the measurement is in the report", func(t *load.Tracker) { t.Dispatched(at(200), one, 200) },
			framework.Load{QueuedPrefillTokens: 300, Running: 3, OwnInFlight: 1}},
		{"the batch is full", func(t *load.Tracker) { t.Dispatched(at(1000), one, 0); t.Dispatched(at(1000), two, 0) },
			framework.Load{QueuedPrefillTokens: 300, Running: 4, Waiting: 1, OwnInFlight: 2}},
		{"a first token proves that the queue before it is done", func(t *load.Tracker) {
			t.Dispatched(at(600), one, 50)
			t.Dispatched(at(700), two, 900)
			t.FirstToken(at(800), one)
		}, framework.Load{QueuedPrefillTokens: 700, Running: 5 - 1, Waiting: 1, OwnInFlight: 2}},
		{"an end after the measurement frees a slot", func(t *load.Tracker) { t.Dispatched(at(200), one, 0); t.Finished(at(900), one) },
			framework.Load{QueuedPrefillTokens: 300, Running: 2}},
		{"a refused dispatch adds nothing", func(t *load.Tracker) { t.Dispatched(at(600), one, 400); t.Finished(at(601), one) },
			framework.Load{QueuedPrefillTokens: 300, Running: 3}},
		{"an older report is ignored", func(t *load.Tracker) {
			t.RecordReport(at(900), protocol.LoadReport{AgeMillis: 700, Running: 40})
		}, framework.Load{QueuedPrefillTokens: 300, Running: 3}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			tracker := load.NewTracker(time.Second)
			tracker.RecordReport(at(500), protocol.LoadReport{
				AgeMillis: 200, Running: 3, MaxRunning: 4, QueuedPrefillTokens: 1000, PrefillMicrosPerToken: 1000,
			})
			test.happens(tracker)
			test.want.MaxRunning, test.want.PrefillPerToken, test.want.ReportAge = 4, time.Millisecond, 700*time.Millisecond
			is.New(t).Equal(tracker.Load(at(1000)), test.want)
		})
	}
}
