package load

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	plotWidth     = 8 * vg.Inch
	plotHeight    = 5 * vg.Inch
	pointsPerNine = 10 // points between two neighbouring ticks, such as 99 and 99.9
	maxNines      = 3
)

// WriteSVG plots the latency of programs by percentile, with one line for each
// kind and two logarithmic axes.
func (r Result) WriteSVG(w io.Writer) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Program latency, %s, seed %d", r.Workload, r.Seed)
	p.X.Label.Text = "percentile"
	p.X.Tick.Marker = plot.ConstantTicks{{Value: 0, Label: "0"}, {Value: 1, Label: "90"}, {Value: 2, Label: "99"}, {Value: 3, Label: "99.9"}}
	p.Y.Label.Text = "latency from the scheduled arrival (ms)"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Y.Min, p.Y.Max = 1, 10
	for i, k := range slices.Sorted(maps.Keys(r.histograms)) {
		h := r.histograms[k].program
		if h.TotalCount() == 0 {
			continue
		}
		line, err := plotter.NewLine(percentiles(h))
		if err != nil {
			return fmt.Errorf("plot of %s: %w", k, err)
		}
		line.Color = plotutil.Color(i) //nolint:misspell // field of the library
		p.Add(line)
		p.Legend.Add(string(k), line)
	}
	p.Legend.Top, p.Legend.Left = true, true
	to, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	_, err = to.WriteTo(w)
	return err
}

// percentiles returns the latency by percentile. The x of a point is the number
// of nines of the percentile, such as 2 for the 99th.
func percentiles(h *hdrhistogram.Histogram) plotter.XYs {
	var points plotter.XYs
	for i := range maxNines*pointsPerNine + 1 {
		x := float64(i) / pointsPerNine
		points = append(points, plotter.XY{X: x, Y: milliseconds(max(1, h.ValueAtQuantile(100*(1-math.Pow(10, -x)))))})
	}
	return points
}
