package load

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/fault"
)

// Report holds the measurements of a load run from the callers' side.
type Report struct {
	Workload        string  `json:"workload"`
	Seed            uint64  `json:"seed"`
	RatePerSecond   float64 `json:"rate_per_second"`
	DurationSeconds float64 `json:"duration_seconds"`
	// TextChecked is whether the texts were compared with the expected ones.
	TextChecked bool `json:"text_checked"`
	// Sent counts the arrivals sent; NotSent those dropped at MaxInFlight.
	Sent    int `json:"sent"`
	NotSent int `json:"not_sent"`
	// Outcomes counts the arrivals sent by outcome.
	Outcomes map[Outcome]int `json:"outcomes"`
	// Refusals counts all refusals, including retried ones.
	Refusals map[fault.Kind]int `json:"refusals"`
	// Breaks counts failed connections and incomplete streams, Resumes streams
	// continued, Restarts streams started again, Retries requests sent again.
	Breaks   int `json:"breaks"`
	Resumes  int `json:"resumes"`
	Restarts int `json:"restarts"`
	Retries  int `json:"retries"`
	// Token counts from the usage of answered requests; HitRate is cached
	// over prompt tokens.
	PromptTokens     int64   `json:"prompt_tokens"`
	CachedTokens     int64   `json:"cached_tokens"`
	CompletionTokens int64   `json:"completion_tokens"`
	HitRate          float64 `json:"hit_rate"`
	// Unmeasured counts latencies that the histogram rejected.
	Unmeasured int `json:"unmeasured"`
	// Kinds has a row for each class and each application route.
	Kinds []KindReport `json:"kinds"`
	// Waste is nil unless truth logs were read.
	Waste *Waste `json:"waste,omitempty"`
	// Failures lists the first failures.
	Failures []Failure `json:"failures,omitempty"`
}

// KindReport is the row of a class or an application route. The percentiles
// are of the time to the first token, or to an application's whole response.
type KindReport struct {
	Name         string  `json:"name"`
	Application  bool    `json:"application"`
	Sent         int     `json:"sent"`
	Answered     int     `json:"answered"`
	PromptTokens int64   `json:"prompt_tokens"`
	CachedTokens int64   `json:"cached_tokens"`
	HitRate      float64 `json:"hit_rate"`
	P50Millis    float64 `json:"p50_millis"`
	P95Millis    float64 `json:"p95_millis"`
	P99Millis    float64 `json:"p99_millis"`
}

// Failure is one request without a correct answer.
type Failure struct {
	Arrival uint64  `json:"arrival"`
	Kind    string  `json:"kind"`
	Outcome Outcome `json:"outcome"`
	Detail  string  `json:"detail"`
}

// Waste is the wasted computation according to the engines' truth logs.
type Waste struct {
	// PromptTokens counts the prompt tokens of all attempts that ran.
	PromptTokens int64 `json:"prompt_tokens"`
	// RecomputedTokens counts tokens prefilled although another permitted engine
	// had them cached when the generation started.
	RecomputedTokens int64 `json:"recomputed_tokens"`
	// DiscardedTokens counts tokens computed for attempts that were cancelled
	// or lost with their engine.
	DiscardedTokens int64 `json:"discarded_tokens"`
	// Share is recomputed and discarded over prompt tokens.
	Share float64 `json:"share"`
}

func (w *Waste) fillShare() { w.Share = share(w.RecomputedTokens+w.DiscardedTokens, w.PromptTokens) }

// Check returns an error if a stream was corrupt or more requests than allowed
// were lost.
func (r *Report) Check(allowedLost int) error {
	corrupt, lost := r.Outcomes[OutcomeCorrupt], r.Outcomes[OutcomeLost]
	if corrupt > 0 || lost > allowedLost {
		return errors.Errorf("%d corrupt streams and %d lost requests (%d allowed)", corrupt, lost, allowedLost)
	}
	return nil
}

// WriteJSON writes the report as one JSON document.
func (r *Report) WriteJSON(writer io.Writer) error {
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(r), "writing the report")
}

// WriteTable writes the report as a readable table.
func (r *Report) WriteTable(writer io.Writer) error {
	table := tabwriter.NewWriter(writer, 0, 4, 2, ' ', 0)
	fmt.Fprintf(table, "workload %s, seed %d, %g requests/s for %gs\n", r.Workload, r.Seed, r.RatePerSecond, r.DurationSeconds)
	fmt.Fprintf(table, "sent %d, not sent %d, texts checked: %t\n", r.Sent, r.NotSent, r.TextChecked)
	writeCounts(table, "outcome", r.Outcomes)
	writeCounts(table, "refusal", r.Refusals)
	fmt.Fprintf(table, "broken connections and incomplete streams %d, resumes %d, restarts %d, retries %d\n", r.Breaks, r.Resumes, r.Restarts, r.Retries)
	fmt.Fprintf(table, "hit rate %.4f (%d of %d prompt tokens)\n", r.HitRate, r.CachedTokens, r.PromptTokens)
	r.writeWaste(table)
	fmt.Fprintln(table, "\nkind\tsent\tanswered\thit rate\tp50 ms\tp95 ms\tp99 ms")
	for _, kind := range r.Kinds {
		hitRate := fmt.Sprintf("%.4f", kind.HitRate)
		if kind.Application {
			hitRate = "-"
		}
		fmt.Fprintf(table, "%s\t%d\t%d\t%s\t%.1f\t%.1f\t%.1f\n", kind.Name, kind.Sent, kind.Answered, hitRate, kind.P50Millis, kind.P95Millis, kind.P99Millis)
	}
	for _, failure := range r.Failures {
		fmt.Fprintf(table, "failure: arrival %d (%s) %s: %s\n", failure.Arrival, failure.Kind, failure.Outcome, failure.Detail)
	}
	return errors.Wrap(table.Flush(), "writing the report")
}

func (r *Report) writeWaste(table io.Writer) {
	if r.Waste == nil {
		fmt.Fprintln(table, "wasted recomputation: not read")
		return
	}
	fmt.Fprintf(table, "wasted recomputation %.4f (%d recomputed though held + %d thrown away, of %d prompt tokens)\n",
		r.Waste.Share, r.Waste.RecomputedTokens, r.Waste.DiscardedTokens, r.Waste.PromptTokens)
}

func writeCounts[K cmp.Ordered](table io.Writer, name string, counts map[K]int) {
	for _, key := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(table, "%s %v\t%d\n", name, key, counts[key])
	}
}
