package router

import (
	"github.com/fieldpond/fieldpond/internal/dispatch"
	"github.com/fieldpond/fieldpond/internal/statechart"
)

// guardRepeatable is the guard of the request chart that permits a further
// attempt after one whose fate is not known.
const guardRepeatable statechart.Guard = "repeatable"

// requestChart drives one instance of the request chart for dispatch.
type requestChart struct {
	instance *statechart.Instance
}

// Fire implements dispatch.Chart. An event that the chart refuses is a fault
// of the program; the chart's observer counts it and the answer stands.
func (c requestChart) Fire(event dispatch.Event) { _, _ = c.instance.Fire(statechart.Event(event)) }

// newRequestCharts returns the function that makes a chart for each request.
func newRequestCharts(chart *statechart.Chart, observer statechart.Observer) func(repeatable bool) dispatch.Chart {
	return func(repeatable bool) dispatch.Chart {
		options := []statechart.Option{statechart.Observe(observer)}
		if repeatable {
			options = append(options, statechart.Allow(guardRepeatable))
		}
		return requestChart{chart.New(options...)}
	}
}
