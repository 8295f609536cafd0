package experiment

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/fieldpond/fieldpond/internal/fault"
)

// Dimensions of a plot and its bars, and the mode of the directory.
const (
	plotWidth     = 24 * vg.Centimeter
	plotHeight    = 12 * vg.Centimeter
	plotBarWidth  = 28
	plotDirectory = 0o755
	labelAngle    = 0.5
	// barMargin is the margin beside the first and last bar, in bars.
	barMargin = 0.5
)

// panel is a measure plotted for each scenario.
type panel struct {
	file, title, unit string
	scale             float64
	read              func(*Row) (Spread, bool)
}

func panels() []panel {
	return []panel{
		{"hit-rate", "prefix hit rate", "percent of prompt tokens", 100, func(r *Row) (Spread, bool) { return r.HitRate, true }},
		{"wasted", "wasted recomputation", "percent of prompt tokens", 100, func(r *Row) (Spread, bool) { return r.Wasted, true }},
		{"ttft-p99", "p99 time to first token, protected class", "ms", 1000, func(r *Row) (Spread, bool) {
			tail, known := r.Classes[r.Protected]
			return tail.P99, known
		}},
	}
}

// spreads are bars with the minimum and maximum over the seeds.
type spreads []Spread

// Len implements plotter.XYer.
func (s spreads) Len() int { return len(s) }

// XY implements plotter.XYer.
func (s spreads) XY(index int) (x, y float64) { return float64(index), s[index].Median }

// YError implements plotter.YErrorer.
func (s spreads) YError(index int) (low, high float64) {
	return s[index].Median - s[index].Min, s[index].Max - s[index].Median
}

// WritePlots writes a PNG for each scenario and measure, with bars of the medians
// and their spread over the seeds.
func WritePlots(directory string, rows []Row) error {
	if err := os.MkdirAll(directory, plotDirectory); err != nil {
		return fault.Wrap(err, fault.BadRequest, "the directory for plots cannot be created")
	}
	for start := 0; start < len(rows); {
		end := start
		for end < len(rows) && rows[end].Scenario == rows[start].Scenario {
			end++
		}
		for _, shown := range panels() {
			if err := shown.write(directory, rows[start:end]); err != nil {
				return err
			}
		}
		start = end
	}
	return nil
}

func (p panel) write(directory string, rows []Row) error {
	var bars spreads
	var names []string
	var heights plotter.Values
	for index := range rows {
		spread, known := p.read(&rows[index])
		if !known {
			continue
		}
		scaled := Spread{p.scale * spread.Median, p.scale * spread.Min, p.scale * spread.Max}
		bars, names, heights = append(bars, scaled), append(names, rows[index].Policy), append(heights, scaled.Median)
	}
	if len(bars) == 0 {
		return nil
	}
	drawn := plot.New()
	drawn.Title.Text = rows[0].Scenario + ": " + p.title
	drawn.Y.Label.Text = p.unit
	drawn.Y.Min = 0
	chart, err := plotter.NewBarChart(heights, vg.Points(plotBarWidth))
	if err != nil {
		return errors.Wrap(err, "plotting bars")
	}
	chart.Color = plotutil.Color(2)
	whiskers, err := plotter.NewYErrorBars(bars)
	if err != nil {
		return errors.Wrap(err, "plotting the spread")
	}
	drawn.Add(chart, whiskers)
	drawn.NominalX(names...)
	drawn.X.Min, drawn.X.Max = -barMargin, float64(len(bars)-1)+barMargin
	drawn.X.Tick.Label.Rotation = labelAngle
	drawn.X.Tick.Label.XAlign, drawn.X.Tick.Label.YAlign = -1, -1
	path := filepath.Join(directory, rows[0].Scenario+"-"+p.file+".png")
	return errors.Wrap(drawn.Save(plotWidth, plotHeight, path), "writing a plot")
}
