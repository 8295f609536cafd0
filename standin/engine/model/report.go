package model

import (
	"sort"
	"time"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
)

// sampleInterval is the minimum time between two kept load samples; only the
// newest sample may follow sooner.
const sampleInterval = 10 * time.Millisecond

// reportHistory keeps load samples, oldest first, so that reports can lag. The
// last sample is always current.
type reportHistory struct {
	samples []protocol.LoadReport
}

// sampleLoad records the current load after a possible change.
func (e *Engine) sampleLoad() {
	samples := e.reports.samples
	count := len(samples)
	if count > 1 && samples[count-1].MeasuredAt.Sub(samples[count-2].MeasuredAt) < sampleInterval {
		samples[count-1] = e.currentLoad()
		return
	}
	first := max(e.reports.sampleAt(e.now.Add(-e.conditions.LoadLag)), 0)
	e.reports.samples = append(samples[first:], e.currentLoad())
}

// sampleAt returns the index of the newest sample at the time, or -1.
func (h *reportHistory) sampleAt(at time.Time) int {
	return sort.Search(len(h.samples), func(i int) bool { return h.samples[i].MeasuredAt.After(at) }) - 1
}

// LoadReport returns the load as of LoadLag ago, or the first sample of a younger
// incarnation.
func (e *Engine) LoadReport(now time.Time) protocol.LoadReport {
	e.advanceTo(now)
	at := now.Add(-e.conditions.LoadLag)
	index := e.reports.sampleAt(at)
	report := e.reports.samples[max(index, 0)]
	if index == len(e.reports.samples)-1 {
		report.MeasuredAt = at
	}
	report.AgeMillis = now.Sub(report.MeasuredAt).Milliseconds()
	return report
}

func (e *Engine) currentLoad() protocol.LoadReport {
	queued := 0
	for _, member := range e.running {
		queued += member.remainingPrefill()
	}
	for _, member := range e.waiting {
		queued += member.remainingPrefill()
	}
	slope := float64(e.config.PrefillPerToken) / float64(time.Microsecond)
	return protocol.LoadReport{
		Incarnation:           e.incarnation,
		MeasuredAt:            e.now,
		Draining:              e.draining || e.conditions.Draining,
		Running:               len(e.running),
		Waiting:               len(e.waiting),
		MaxRunning:            e.config.MaxRunning,
		QueuedPrefillTokens:   queued,
		PrefillMicrosPerToken: slope * max(e.conditions.SlowFactor, 1),
		CacheBlocks:           len(e.blocks.blocks),
		CacheCapacityBlocks:   e.config.CacheBlocks,
		BlockTokens:           e.config.BlockTokens,
		Role:                  e.orders.role,
		Fence:                 e.orders.fence,
		Loaded:                e.orders.list(),
	}
}
