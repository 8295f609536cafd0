package telemetry

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ring"
	"github.com/fieldpond/fieldpond/internal/settings"
	"github.com/fieldpond/fieldpond/internal/statechart"
)

func TestHandlerServesCounters(t *testing.T) {
	is := is.New(t)
	registry := New()
	for _, removed := range []bool{false, true, false} {
		queue := ring.New[int]("events", 1, ring.RefuseNew)
		remove := registry.RegisterRing(queue.Counters)
		queue.Push(1)
		queue.Push(2)
		if removed {
			remove()
			remove()
		}
	}
	chart, err := statechart.Load(statechart.RouterChart)
	is.NoErr(err)
	instance := chart.New(statechart.Observe(registry.ChartObserver()))
	_, err = instance.Fire(statechart.RouterEventReady)
	is.NoErr(err)
	_, err = instance.Fire(statechart.RouterEventDrained)
	is.True(err != nil)
	registry.CountRefusal(fault.New(fault.Overloaded, "queue full"))

	answer := httptest.NewRecorder()
	registry.Handler().ServeHTTP(answer, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{
		`fieldpond_ring_depth{ring="events"} 2`,
		`fieldpond_ring_dropped_total{ring="events"} 3`,
		`fieldpond_chart_transitions_total{chart="router",event="ready",from="starting",to="serving"} 1`,
		`fieldpond_chart_not_taken_total{chart="router",event="drained",reason="forbidden",state="serving"} 1`,
		`fieldpond_refusals_total{kind="overloaded",ran="no"} 1`,
		"process_cpu_seconds_total", "process_resident_memory_bytes",
	} {
		is.True(strings.Contains(answer.Body.String(), want)) // want a counter
	}
}

func TestLogRedactsSecrets(t *testing.T) {
	is := is.New(t)
	is.True(SetUpLogging(&bytes.Buffer{}, "loud") != nil)
	var lines bytes.Buffer
	is.NoErr(SetUpLogging(&lines, "info"))
	log.Debug("not wanted")
	log.WithField("key", settings.NewSecret([]byte("very private"))).Info("started")
	is.True(strings.Contains(lines.String(), `"key":"[redacted]"`))
	is.True(!strings.Contains(lines.String(), "private") && !strings.Contains(lines.String(), "not wanted"))
}
