package router

import (
	"github.com/fieldpond/fieldpond/internal/dispatch"
	"github.com/fieldpond/fieldpond/internal/statechart"
)

// guardRetryable is the guard of the request chart that permits a retry after an
// attempt with an unknown outcome.
const guardRetryable statechart.Guard = "repeatable"

// requestChart drives one instance of the request chart for dispatch.
type requestChart struct {
	instance *statechart.Instance
}

// Fire implements dispatch.Chart. An event that the chart rejects is a bug: the
// chart's observer counts it, and the request continues.
func (c requestChart) Fire(event dispatch.Event) { _, _ = c.instance.Fire(statechart.Event(event)) }

// newRequestCharts returns a function that creates the chart of a request.
func newRequestCharts(chart *statechart.Chart, observer statechart.Observer) func(retryable bool) dispatch.Chart {
	return func(retryable bool) dispatch.Chart {
		options := []statechart.Option{statechart.Observe(observer)}
		if retryable {
			options = append(options, statechart.Allow(guardRetryable))
		}
		return requestChart{chart.New(options...)}
	}
}
