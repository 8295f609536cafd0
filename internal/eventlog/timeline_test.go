package eventlog_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/eventlog"
)

const firstLog = `noise
 3.1 n1 {"at":"2026-01-01T00:00:02.000Z","event":"refused","node":"n1","level":"info","request":"r1","fault":"not_ready"}
{"at":"2026-01-01T00:00:01.000Z","event":"sent","node":"n1","level":"info","request":"r1","instance":"i-1"}
{"at":"2026-01-01T00:00:00.500Z","event":"backend_changed","node":"n1","instance":"i-1","change":"draining"}
{"at":"2026-01-01T00:00:01.000Z","event":"sent","node":"n1","request":"r2","instance":"i-2"}
{broken`

const secondLog = `{"at":"2026-01-01T00:00:01.500Z","event":"attempt_ended","node":"n2","request":"r1","outcome":"refused"}
{"at":"2026-01-01T00:00:00.100Z","event":"configuration_adopted","node":"n2","version":7}
{"at":"2026-01-01T00:00:00.300Z","event":"rollout_decided","node":"n2","service":"s","phase":"observing"}
{"at":"2026-01-01T00:00:00.400Z","event":"rollout_decided","node":"n2","service":"t","phase":"observing"}
{"at":"2026-01-01T00:00:00.450Z","event":"backend_changed","node":"n2","service":"s","change":"gone"}`

func TestTimelineIsOrderedByTimeAcrossRouters(t *testing.T) {
	cases := []struct {
		name   string
		filter eventlog.Filter
		lines  []string
	}{
		{"request", eventlog.Filter{Request: "r1"}, []string{
			"2026-01-01T00:00:01.000Z  n1  sent  instance=i-1",
			"2026-01-01T00:00:01.500Z  n2  attempt_ended  outcome=refused",
			"2026-01-01T00:00:02.000Z  n1  refused  fault=not_ready",
		}},
		{"back end", eventlog.Filter{Instance: "i-1"}, []string{
			"2026-01-01T00:00:00.500Z  n1  backend_changed  change=draining instance=i-1",
		}},
		{"configuration", eventlog.Filter{Configuration: true}, []string{
			"2026-01-01T00:00:00.100Z  n2  configuration_adopted  version=7",
		}},
		{"rollout", eventlog.Filter{Rollout: "s"}, []string{
			"2026-01-01T00:00:00.300Z  n2  rollout_decided  phase=observing service=s",
		}},
		{"nothing", eventlog.Filter{Request: "r9"}, []string{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			timeline := eventlog.NewTimeline(c.filter)
			is.NoErr(timeline.Read(strings.NewReader(firstLog)))
			is.NoErr(timeline.Read(strings.NewReader(secondLog)))
			is.Equal(timeline.Lines(), c.lines)
		})
	}
}

// Requests with long ids, which the log shortens, must be found by the whole id.
func TestTimelineFindsLongIDs(t *testing.T) {
	is := is.New(t)
	id := strings.Repeat("x", 1000)
	timeline := eventlog.NewTimeline(eventlog.Filter{Request: id})
	is.NoErr(timeline.Read(strings.NewReader(`{"at":"1970-01-01T00:00:00.000Z","event":"answered","request":"` + eventlog.ID(id) + `"}`)))
	is.True(len(eventlog.ID(id)) < 200)
	is.Equal(len(timeline.Lines()), 1)
}
