package load

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/standin/workload"
)

// The range and precision of the latency histograms.
const (
	longestMicros     = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
	maxFailures       = 20
)

// recorder aggregates results. It is safe for concurrent use.
type recorder struct {
	mutex    sync.Mutex
	unsent   int
	outcomes map[Outcome]int
	refusals map[fault.Kind]int
	total    Report
	kinds    map[string]*kindRecord
}

type kindRecord struct {
	report KindReport
	waits  *hdrhistogram.Histogram
}

func newRecorder() *recorder {
	return &recorder{
		outcomes: map[Outcome]int{},
		refusals: map[fault.Kind]int{},
		kinds:    map[string]*kindRecord{},
	}
}

func (r *recorder) recordUnsent() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.unsent++
}

func (r *recorder) add(result Result) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.total.Sent++
	r.total.Retries += result.Retries
	r.total.Resumes += result.Resumes
	r.total.Restarts += result.Restarts
	r.total.Breaks += result.Breaks
	r.total.PromptTokens += int64(result.PromptTokens)
	r.total.CachedTokens += int64(result.CachedTokens)
	r.total.CompletionTokens += int64(result.CompletionTokens)
	r.outcomes[result.Outcome]++
	for _, kind := range result.Refusals {
		r.refusals[kind]++
	}
	if result.Detail != "" && len(r.total.Failures) < maxFailures {
		failure := Failure{Arrival: result.Arrival.Number, Kind: kindOf(result.Arrival), Outcome: result.Outcome, Detail: result.Detail}
		r.total.Failures = append(r.total.Failures, failure)
	}
	r.addKind(result)
}

func (r *recorder) addKind(result Result) {
	name := kindOf(result.Arrival)
	kind, known := r.kinds[name]
	if !known {
		kind = &kindRecord{
			report: KindReport{Name: name, Application: result.Arrival.Application},
			waits:  hdrhistogram.New(1, longestMicros, significantDigits),
		}
		r.kinds[name] = kind
	}
	kind.report.Sent++
	if result.Outcome != OutcomeAnswered {
		return
	}
	kind.report.Answered++
	kind.report.PromptTokens += int64(result.PromptTokens)
	kind.report.CachedTokens += int64(result.CachedTokens)
	micros := min(max(result.FirstToken.Microseconds(), 1), longestMicros)
	if err := kind.waits.RecordValue(micros); err != nil {
		r.total.Unmeasured++
	}
}

// kindOf returns the name of a request's row in the report.
func kindOf(arrival workload.Arrival) string {
	if arrival.Application {
		return strings.Join([]string{string(arrival.Service), arrival.Method, arrival.Path}, " ")
	}
	return string(arrival.Class)
}

func (r *recorder) report(config *Config) *Report {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	report := r.total
	report.Workload, report.Seed = config.Spec.Name, config.Seed
	report.RatePerSecond, report.DurationSeconds = config.Spec.Rate, config.Spec.Duration.Seconds()
	report.TextChecked = config.ExpectedText != nil
	report.NotSent = r.unsent
	report.Outcomes, report.Refusals = r.outcomes, r.refusals
	report.HitRate = share(report.CachedTokens, report.PromptTokens)
	for _, kind := range r.kinds {
		row := kind.report
		row.HitRate = share(row.CachedTokens, row.PromptTokens)
		row.P50Millis = millis(kind.waits, 50)
		row.P95Millis = millis(kind.waits, 95)
		row.P99Millis = millis(kind.waits, 99)
		report.Kinds = append(report.Kinds, row)
	}
	slices.SortFunc(report.Kinds, func(a, b KindReport) int { return cmp.Compare(a.Name, b.Name) })
	return &report
}

func millis(waits *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(waits.ValueAtPercentile(percentile)) / float64(time.Millisecond/time.Microsecond)
}

func share(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
