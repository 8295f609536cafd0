package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/fieldpond/fieldpond/internal/statechart"
)

// chartObserver counts the events of state charts.
type chartObserver struct {
	transitions, ignored, rejected *prometheus.CounterVec
}

// ChartObserver returns the observer to give to every chart instance.
func (r *Registry) ChartObserver() statechart.Observer { return r.charts }

// Transition implements statechart.Observer.
func (o *chartObserver) Transition(chart string, from statechart.State, event statechart.Event, to statechart.State) {
	o.transitions.WithLabelValues(chart, string(from), string(event), string(to)).Inc()
}

// Ignored implements statechart.Observer.
func (o *chartObserver) Ignored(chart string, state statechart.State, event statechart.Event) {
	o.ignored.WithLabelValues(chart, string(state), string(event)).Inc()
}

// Rejected implements statechart.Observer.
func (o *chartObserver) Rejected(chart string, state statechart.State, event statechart.Event, reason statechart.Reason) {
	o.rejected.WithLabelValues(chart, string(state), string(event), string(reason)).Inc()
}
