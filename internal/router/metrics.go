package router

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/fieldpond/fieldpond/internal/telemetry"
)

// registerMetrics exports the counters of the parts that count for themselves.
func (r *Router) registerMetrics() {
	for _, counters := range r.duty.Rings() {
		r.telemetry.RegisterRing(counters)
	}
	for _, counters := range r.appPoller.Rings() {
		r.telemetry.RegisterRing(counters)
	}
	dropped := &r.dispatch.Counters
	r.count("stream_events_crossed_total", "Events of another request, attempt, incarnation or stream; dropped.", &dropped.Crossed)
	r.count("stream_events_late_total", "Events of an attempt that was over; dropped.", &dropped.Late)
	r.count("stream_events_repeated_total", "Events that had been taken before; dropped.", &dropped.Repeated)
	r.count("stream_gaps_total", "Breaks because an event of a stream was missing.", &dropped.Gaps)
	r.count("stream_stalls_total", "Breaks because no event came in time.", &dropped.Stalls)
	r.count("stream_resumes_total", "Streams resumed on the same incarnation.", &dropped.Resumes)
	r.count("streams_continued_total", "Streams continued on another engine after text was emitted.", &dropped.Continued)
	r.count("streams_regenerated_total", "Streams begun anew before any text was emitted.", &dropped.Regenerated)
	r.count("streams_cancelled_total", "Generations cancelled at their engine.", &dropped.Cancelled)
	r.count("attempts_total", "Attempts sent to engines.", &dropped.Attempts)
	r.count("retries_total", "Attempts after the first of a request.", &dropped.Retries)
	r.count("retries_refused_total", "Retries not made because the budget was used up.", &dropped.BudgetRefused)
	r.count("claims_attached_total", "Repeats that waited for the running first sending.", &dropped.Attached)
	r.count("answers_retained_total", "Repeats answered with the retained answer.", &dropped.Retained)
	r.count("answers_unsaved_total", "Answers of claimed requests that could not be retained.", &dropped.Unsaved)
}

// count exports one counter.
func (r *Router) count(name, help string, value *atomic.Uint64) {
	options := prometheus.CounterOpts{Namespace: telemetry.Namespace, Name: name, Help: help}
	r.telemetry.Registerer().MustRegister(prometheus.NewCounterFunc(options, func() float64 {
		return float64(value.Load())
	}))
}
