package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/standin/truth"
)

// Range (in microseconds) and significant digits of the histograms.
const (
	histogramLowest  = 100
	histogramHighest = int64(10 * time.Minute / time.Microsecond)
	histogramDigits  = 3
)

// Tail holds percentiles of the time to first token at the caller, in seconds,
// over the requests that got a first token.
type Tail struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
}

// Measures are the results of one run. Only Arrivals and Ended include requests
// that arrived during the warmup.
type Measures struct {
	// Arrivals counts all requests, Ended all that ended, Offered those that
	// arrived after the warmup.
	Arrivals int `json:"arrivals"`
	Ended    int `json:"ended"`
	Offered  int `json:"offered"`
	// Outcomes counts how requests ended.
	Outcomes map[Outcome]int `json:"outcomes"`
	// Refused counts the requests without a complete answer, by class.
	Refused map[ident.Class]int `json:"refused"`
	// PromptTokens, CachedTokens, RecomputedTokens and DiscardedTokens are sums
	// over the attempts that ran: prompt tokens, those found cached, those
	// computed although a permitted engine had them cached at dispatch, and
	// tokens computed by attempts that were lost or cancelled.
	PromptTokens     int64 `json:"prompt_tokens"`
	CachedTokens     int64 `json:"cached_tokens"`
	RecomputedTokens int64 `json:"recomputed_tokens"`
	DiscardedTokens  int64 `json:"discarded_tokens"`
	// EvictedTokens are those of RecomputedTokens that the chosen engine had
	// cached at dispatch and evicted before the attempt started.
	EvictedTokens int64 `json:"evicted_tokens"`
	// HitRate is cached over prompt tokens, Wasted recomputed and discarded
	// over prompt tokens.
	HitRate float64 `json:"hit_rate"`
	Wasted  float64 `json:"wasted"`
	// Goodput is the number of complete answers per second whose first token
	// met the deadline of their class.
	Goodput float64 `json:"goodput"`
	// Busy is the fraction of time that engines had work.
	Busy float64 `json:"busy"`
	// Classes holds the tails by class.
	Classes map[ident.Class]Tail `json:"classes"`
	// Quiet and Focus are the protected class's tails before and during the
	// scenario's focus.
	Quiet *Tail `json:"quiet,omitempty"`
	Focus *Tail `json:"focus,omitempty"`
}

// collector accumulates the measures of one simulation.
type collector struct {
	prepared     *preparedScenario
	arrivals     int
	ends         int
	neverEnded   int
	offered      int
	good         int
	outcomes     map[Outcome]int
	refused      map[ident.Class]int
	prompt       int64
	cached       int64
	recomputed   int64
	discarded    int64
	evicted      int64
	samples      int
	busy         int
	tails        map[ident.Class]*hdrhistogram.Histogram
	quiet, focus *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramLowest, histogramHighest, histogramDigits)
}

func newCollector(prepared *preparedScenario) *collector {
	return &collector{
		prepared: prepared,
		outcomes: make(map[Outcome]int),
		refused:  make(map[ident.Class]int),
		tails:    make(map[ident.Class]*hdrhistogram.Histogram),
		quiet:    newHistogram(),
		focus:    newHistogram(),
	}
}

// recordStarted records the truth about an attempt that started to run.
func (c *collector) recordStarted(started *attempt, record *truth.Record) {
	c.prompt += int64(record.PromptTokens)
	c.cached += int64(record.CachedTokens)
	c.recomputed += int64(max(0, started.mostCachedTokens-record.CachedTokens))
	c.evicted += int64(max(0, min(started.targetCachedTokens, started.mostCachedTokens)-record.CachedTokens))
}

// recordEnded records the end of a request.
func (c *collector) recordEnded(x *exchange, outcome Outcome) {
	c.ends++
	if !x.measured {
		return
	}
	c.outcomes[outcome]++
	if outcome != OutcomeAnswered {
		c.refused[x.class.Name]++
	} else if x.firstToken <= x.class.Deadline {
		c.good++
	}
	if x.firstToken > 0 {
		c.recordTail(x)
	}
}

func (c *collector) recordTail(x *exchange) {
	micros := min(x.firstToken.Microseconds(), histogramHighest)
	tail := c.tails[x.class.Name]
	if tail == nil {
		tail = newHistogram()
		c.tails[x.class.Name] = tail
	}
	// The value is capped to the histogram's range, so this cannot fail.
	_ = tail.RecordValue(micros)
	focus := c.prepared.scenario.Focus
	if focus == nil || x.class.Name != c.prepared.scenario.Protected || c.isSurgeTenant(x.tenant.Name) {
		return
	}
	switch at := x.arrival.At; {
	case at < focus.At:
		_ = c.quiet.RecordValue(micros)
	case at < focus.At+focus.For:
		_ = c.focus.RecordValue(micros)
	}
}

// isSurgeTenant reports whether the tenant causes a surge and is therefore not
// protected from it.
func (c *collector) isSurgeTenant(tenant ident.Tenant) bool {
	for _, surge := range c.prepared.scenario.Surges {
		if surge.Tenant == tenant {
			return true
		}
	}
	return false
}

func tailOf(histogram *hdrhistogram.Histogram) Tail {
	seconds := func(quantile float64) float64 {
		return (time.Duration(histogram.ValueAtQuantile(quantile)) * time.Microsecond).Seconds()
	}
	return Tail{Count: histogram.TotalCount(), P50: seconds(50), P95: seconds(95), P99: seconds(99)}
}

func share(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func (c *collector) result(s *simulation) Measures {
	scenario := &s.prepared.scenario
	measures := Measures{
		Arrivals: c.arrivals, Ended: c.ends, Offered: c.offered, Outcomes: c.outcomes, Refused: c.refused,
		PromptTokens: c.prompt, CachedTokens: c.cached, RecomputedTokens: c.recomputed, DiscardedTokens: c.discarded, EvictedTokens: c.evicted,
		HitRate: share(c.cached, c.prompt),
		Wasted:  share(c.recomputed+c.discarded, c.prompt),
		Goodput: float64(c.good) / (scenario.Duration - scenario.Warmup).Seconds(),
		Busy:    share(int64(c.busy), int64(c.samples)),
		Classes: make(map[ident.Class]Tail),
	}
	for class, histogram := range c.tails {
		measures.Classes[class] = tailOf(histogram)
	}
	if scenario.Focus != nil {
		quiet, focus := tailOf(c.quiet), tailOf(c.focus)
		measures.Quiet, measures.Focus = &quiet, &focus
	}
	return measures
}
