package load

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 4 * vg.Inch
	barWidth   = 0.25 * vg.Inch
)

// Save writes the report as JSON and its plots as SVG files to a directory.
func (r *Report) Save(dir string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	base := filepath.Join(dir, fmt.Sprintf("%s-%s-%g-%d", r.Workload, r.Policy, r.Load, r.Seed))
	if err := os.WriteFile(base+".json", data, 0o644); err != nil {
		return err
	}
	if err := r.plotLatency(base + "-latency.svg"); err != nil {
		return err
	}
	return r.plotOutcomes(base + "-tiers.svg")
}

// plotLatency plots the quantiles of the time to first token by tier and of the
// inter-token latency.
func (r *Report) plotLatency(path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %s, load %g", r.Workload, r.Policy, r.Load)
	p.X.Label.Text, p.Y.Label.Text = "quantile, %", "ms"
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	var lines []any
	for i := range r.Tiers {
		lines = append(lines, "first token, "+r.Tiers[i].Group, quantileCurve(r.Tiers[i].firstTokenHistogram))
	}
	lines = append(lines, "between tokens", quantileCurve(r.interTokenLatency))
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	p.Legend.Top, p.Legend.Left = true, true
	return p.Save(plotWidth, plotHeight, path)
}

func quantileCurve(h *hdrhistogram.Histogram) plotter.XYs {
	var points plotter.XYs
	for q := 1; q <= 99; q++ {
		ms := float64(max(h.ValueAtQuantile(float64(q)), minMicros)) / 1000
		points = append(points, plotter.XY{X: float64(q), Y: ms})
	}
	return points
}

// plotOutcomes plots the share of each result status by tier.
func (r *Report) plotOutcomes(path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %s, load %g", r.Workload, r.Policy, r.Load)
	p.Y.Label.Text = "part of the offered"
	p.Y.Min, p.Y.Max = 0, 1
	parts := []struct {
		name string
		of   func(*Row) int
	}{
		{"on time", func(row *Row) int { return row.OnTime }},
		{"late", func(row *Row) int { return row.Late }},
		{"not run", func(row *Row) int { return row.NotRun }},
		{"ran", func(row *Row) int { return row.Ran }},
	}
	var names []string
	for i := range r.Tiers {
		names = append(names, r.Tiers[i].Group)
	}
	for i, part := range parts {
		var values plotter.Values
		for row := range r.Tiers {
			values = append(values, share(part.of(&r.Tiers[row]), r.Tiers[row].Offered))
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = barWidth * vg.Length(i-len(parts)/2)
		p.Add(bars)
		p.Legend.Add(part.name, bars)
	}
	p.NominalX(names...)
	p.Legend.Top = true
	return p.Save(plotWidth, plotHeight, path)
}
