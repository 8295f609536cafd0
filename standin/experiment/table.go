package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// Spread summarises a value over the seeds.
type Spread struct {
	Median float64 `json:"median"`
	Min    float64 `json:"least"`
	Max    float64 `json:"most"`
}

// spreadOf returns the spread of at least one value.
func spreadOf(values []float64) Spread {
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	median := sorted[middle]
	if len(sorted)%2 == 0 {
		median = (sorted[middle-1] + sorted[middle]) / 2
	}
	return Spread{median, sorted[0], sorted[len(sorted)-1]}
}

// TailSpread is the spread of percentiles, in seconds.
type TailSpread struct {
	P50 Spread `json:"p50"`
	P95 Spread `json:"p95"`
	P99 Spread `json:"p99"`
}

// Row summarises the runs of one policy in one scenario.
type Row struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Baseline bool   `json:"baseline"`
	// Protected is the class whose tail latency matters most in the scenario.
	Protected ident.Class `json:"protected"`
	Seeds     int         `json:"seeds"`
	HitRate   Spread      `json:"hit_rate"`
	Wasted    Spread      `json:"wasted"`
	Goodput   Spread      `json:"goodput"`
	// Evicted is the part of Wasted that the chosen engine had cached at
	// dispatch, Discarded that of lost and cancelled attempts.
	Evicted   Spread                     `json:"evicted"`
	Discarded Spread                     `json:"discarded"`
	Busy      Spread                     `json:"busy"`
	Refused   Spread                     `json:"refused_share"`
	Outcomes  map[Outcome]Spread         `json:"outcomes"`
	Classes   map[ident.Class]TailSpread `json:"classes"`
	// RefusedByClass is a fraction of all requests.
	RefusedByClass map[ident.Class]Spread `json:"refused_by_class"`
	// FocusRatio is the protected class's p99 during the scenario's focus
	// divided by that before it.
	QuietP99   *Spread `json:"quiet_p99,omitempty"`
	FocusP99   *Spread `json:"focus_p99,omitempty"`
	FocusRatio *Spread `json:"focus_ratio,omitempty"`
}

// Summarise groups consecutive runs of the same scenario and policy.
func Summarise(runs []Run) []Row {
	var rows []Row
	for start := 0; start < len(runs); {
		end := start
		for end < len(runs) && runs[end].Scenario == runs[start].Scenario && runs[end].Policy == runs[start].Policy {
			end++
		}
		rows = append(rows, rowOf(runs[start:end]))
		start = end
	}
	return rows
}

func rowOf(runs []Run) Row {
	figure := func(read func(*Measures) float64) Spread {
		values := make([]float64, len(runs))
		for index := range runs {
			values[index] = read(&runs[index].Measures)
		}
		return spreadOf(values)
	}
	first := &runs[0]
	row := Row{
		Scenario: first.Scenario, Policy: first.Policy, Baseline: first.Baseline, Protected: first.Protected, Seeds: len(runs),
		HitRate:        figure(func(m *Measures) float64 { return m.HitRate }),
		Wasted:         figure(func(m *Measures) float64 { return m.Wasted }),
		Evicted:        figure(func(m *Measures) float64 { return share(m.EvictedTokens, m.PromptTokens) }),
		Discarded:      figure(func(m *Measures) float64 { return share(m.DiscardedTokens, m.PromptTokens) }),
		Goodput:        figure(func(m *Measures) float64 { return m.Goodput }),
		Busy:           figure(func(m *Measures) float64 { return m.Busy }),
		Refused:        figure(refusedShare),
		Outcomes:       make(map[Outcome]Spread),
		Classes:        make(map[ident.Class]TailSpread),
		RefusedByClass: make(map[ident.Class]Spread),
	}
	for index := range runs {
		measures := &runs[index].Measures
		for outcome := range measures.Outcomes {
			row.Outcomes[outcome] = figure(func(m *Measures) float64 { return float64(m.Outcomes[outcome]) })
		}
		for class := range measures.Classes {
			row.Classes[class] = TailSpread{
				P50: figure(func(m *Measures) float64 { return m.Classes[class].P50 }),
				P95: figure(func(m *Measures) float64 { return m.Classes[class].P95 }),
				P99: figure(func(m *Measures) float64 { return m.Classes[class].P99 }),
			}
			row.RefusedByClass[class] = figure(func(m *Measures) float64 { return share(int64(m.Refused[class]), int64(m.Offered)) })
		}
	}
	if first.Measures.Focus != nil {
		quiet := figure(func(m *Measures) float64 { return m.Quiet.P99 })
		focus := figure(func(m *Measures) float64 { return m.Focus.P99 })
		ratio := figure(focusRatio)
		row.QuietP99, row.FocusP99, row.FocusRatio = &quiet, &focus, &ratio
	}
	return row
}

func refusedShare(m *Measures) float64 {
	return share(int64(m.Offered-m.Outcomes[OutcomeAnswered]), int64(m.Offered))
}

func focusRatio(m *Measures) float64 {
	if m.Quiet.P99 == 0 {
		return 0
	}
	return m.Focus.P99 / m.Quiet.P99
}

// WriteJSON writes the rows as one JSON document.
func WriteJSON(out io.Writer, rows []Row) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(rows), "writing the results")
}

// WriteTable writes a table for each scenario: the medians over the seeds, and the
// minimum and maximum of the main values.
func WriteTable(out io.Writer, rows []Row) error {
	for start := 0; start < len(rows); {
		end := start
		for end < len(rows) && rows[end].Scenario == rows[start].Scenario {
			end++
		}
		if err := writeScenario(out, rows[start:end]); err != nil {
			return errors.Wrap(err, "writing the results")
		}
		start = end
	}
	return nil
}

func writeScenario(out io.Writer, rows []Row) error {
	classes := map[ident.Class]bool{}
	for _, row := range rows {
		for class := range row.Classes {
			classes[class] = true
		}
	}
	names := slices.Sorted(maps.Keys(classes))
	if _, err := fmt.Fprintf(out, "%s (%d seeds; median [least..most]; times in ms: p50/p95/p99, refused)\n", rows[0].Scenario, rows[0].Seeds); err != nil {
		return err
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	header := "policy\thit %\twasted %\tof it evicted, discarded %\tgoodput/s\tbusy %\trefused %"
	for _, class := range names {
		header += "\t" + string(class)
	}
	if rows[0].FocusRatio != nil {
		header += "\tfocus/quiet p99"
	}
	if _, err := fmt.Fprintln(table, header); err != nil {
		return err
	}
	for _, row := range rows {
		if _, err := fmt.Fprintln(table, row.format(names)); err != nil {
			return err
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintln(out)
	return err
}

// format formats the row of the table.
func (r *Row) format(classes []ident.Class) string {
	line := fmt.Sprintf("%s\t%s\t%s\t%.2f, %.2f\t%.2f\t%.0f\t%.2f", r.Policy, percent(r.HitRate), percent(r.Wasted),
		100*r.Evicted.Median, 100*r.Discarded.Median, r.Goodput.Median, 100*r.Busy.Median, 100*r.Refused.Median)
	for _, class := range classes {
		tail := r.Classes[class]
		line += fmt.Sprintf("\t%.0f/%.0f/%.0f[%.0f..%.0f], %.2f%%", 1000*tail.P50.Median, 1000*tail.P95.Median,
			1000*tail.P99.Median, 1000*tail.P99.Min, 1000*tail.P99.Max, 100*r.RefusedByClass[class].Median)
	}
	if r.FocusRatio != nil {
		line += fmt.Sprintf("\t%.0f/%.0f = %.2f[%.2f..%.2f]", 1000*r.FocusP99.Median, 1000*r.QuietP99.Median,
			r.FocusRatio.Median, r.FocusRatio.Min, r.FocusRatio.Max)
	}
	return line
}

func percent(spread Spread) string {
	return fmt.Sprintf("%.2f[%.2f..%.2f]", 100*spread.Median, 100*spread.Min, 100*spread.Max)
}
