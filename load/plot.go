package load

import (
	"fmt"
	"image/color"
	"math"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"github.com/magnoliashore/magnoliashore"
)

// Sizes and colours of a plot.
const (
	plotWidth     = 24 * vg.Centimeter
	plotHeight    = 18 * vg.Centimeter
	plotMargin    = 8 * vg.Millimeter
	plotGap       = 6 * vg.Millimeter
	legendPadding = 1.5 * vg.Millimeter
	lineWidth     = 1.6 // points
	markGray      = 120
	markDash      = 4 // points
	markSpace     = 3 // points
	maxTicks      = 30
	plotPerm      = 0o755
)

// Ranges of the axes.
const (
	latencyHeadroom = 1.35 // top of the latency axis, as a multiple of the highest value
	fullCoverage    = 100  // percent
	coverageAxisMin = 95   // percent; the axis starts here or below
	coveragePad     = 0.5  // percent above and below the values
)

// The labels of successive faults alternate between rows, so that they do not
// overlap.
const (
	labelTop  = 0.95 // height of the first row, as a share of the axis
	labelStep = 0.06 // between rows, as a share of the axis
	labelRows = 4
)

// colours returns the line colours of the policies, from a palette that
// colour-blind readers can tell apart.
func colours() []color.Color {
	return []color.Color{
		color.RGBA{R: 0, G: 114, B: 178, A: 255},
		color.RGBA{R: 213, G: 94, B: 0, A: 255},
		color.RGBA{R: 0, G: 158, B: 115, A: 255},
		color.RGBA{R: 204, G: 121, B: 167, A: 255},
		color.RGBA{R: 90, G: 90, B: 90, A: 255},
	}
}

// Plot writes a PNG file for each group into dir and creates dir if necessary.
// Each file shows the 99th percentile of latency and the mean coverage over
// time.
func (r Report) Plot(dir string) error {
	if err := os.MkdirAll(dir, plotPerm); err != nil {
		return magnoliashore.Step(err, "create the plot directory", dir)
	}
	for i, g := range r.experiment.groups {
		name := filepath.Join(dir, r.experiment.name+"-"+string(g.name)+".png")
		if err := r.plotGroup(i, name); err != nil {
			return magnoliashore.Step(err, "plot", name)
		}
	}
	return nil
}

func (r Report) plotGroup(index int, name string) error {
	g := r.experiment.groups[index]
	upper, err := r.plotPolicies(index, intervalLatency)
	if err != nil {
		return err
	}
	upper.Title.Text = fmt.Sprintf("%s: group %s, %g queries/s, deadline %v", r.experiment.name, g.name, g.rate, g.deadline)
	upper.Y.Label.Text = "p99 latency (ms)"
	upper.Y.Min = 0
	upper.Y.Max *= latencyHeadroom
	lower, err := r.plotPolicies(index, intervalCoverage)
	if err != nil {
		return err
	}
	lower.Y.Label.Text = "mean coverage (%)"
	lower.X.Label.Text = "time (s)"
	lower.Y.Max = fullCoverage + coveragePad
	lower.Y.Min = math.Min(lower.Y.Min, coverageAxisMin) - coveragePad
	lower.Legend = plot.NewLegend()
	if err := errors.Join(r.drawFaults(upper, true), r.drawFaults(lower, false)); err != nil {
		return err
	}
	return savePNG(name, upper, lower)
}

// intervalLatency returns the 99th percentile of latency in milliseconds, or
// NaN if no latency was recorded.
func intervalLatency(c *queryStats) float64 {
	if c.latency.TotalCount() == 0 {
		return math.NaN()
	}
	return millis(percentile(c, percentile99))
}

// intervalCoverage returns the mean coverage in percent, or NaN if no query
// ran.
func intervalCoverage(c *queryStats) float64 {
	if c.ran == 0 {
		return math.NaN()
	}
	return fullCoverage * c.coverageSum / float64(c.ran)
}

// plotPolicies returns a plot with one line for each policy.
func (r Report) plotPolicies(index int, value func(c *queryStats) float64) (*plot.Plot, error) {
	p := plot.New()
	p.Add(plotter.NewGrid())
	p.X.Min = 0
	p.X.Max = r.experiment.length.Seconds()
	p.X.Tick.Marker = secondTicks(r.experiment.length)
	p.Legend.Top = true
	p.Legend.Padding = legendPadding
	for i, f := range r.results {
		points := curvePoints(f.recorder.intervals[index], value)
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		line.Color = colours()[i%len(colours())]
		line.Width = vg.Points(lineWidth)
		p.Add(line)
		p.Legend.Add(f.policy, line)
	}
	return p, nil
}

// curvePoints returns one point for each interval, at the middle of the
// interval. Intervals without a value are left out.
func curvePoints(intervals []*queryStats, value func(c *queryStats) float64) plotter.XYs {
	points := make(plotter.XYs, 0, len(intervals))
	for n, c := range intervals {
		y := value(c)
		if !math.IsNaN(y) {
			points = append(points, plotter.XY{X: (float64(n) + 0.5) * intervalLength.Seconds(), Y: y})
		}
	}
	return points
}

// secondTicks returns a tick every second, or fewer on a long axis.
func secondTicks(length time.Duration) plot.ConstantTicks {
	step := 1 + int(length.Seconds())/maxTicks
	var ticks plot.ConstantTicks
	for second := 0; second <= int(length.Seconds()); second += step {
		ticks = append(ticks, plot.Tick{Value: float64(second), Label: strconv.Itoa(second)})
	}
	return ticks
}

// drawFaults draws a vertical line at each fault, and a label if labelled is
// true.
func (r Report) drawFaults(p *plot.Plot, labelled bool) error {
	low, high := p.Y.Min, p.Y.Max
	for i, f := range r.experiment.faults {
		x := f.at.Seconds()
		mark, err := plotter.NewLine(plotter.XYs{{X: x, Y: low}, {X: x, Y: high}})
		if err != nil {
			return err
		}
		mark.Color = color.Gray{Y: markGray}
		mark.Dashes = []vg.Length{vg.Points(markDash), vg.Points(markSpace)}
		p.Add(mark)
		if !labelled {
			continue
		}
		height := low + (high-low)*(labelTop-labelStep*float64(i%labelRows))
		label, err := plotter.NewLabels(plotter.XYLabels{
			XYs: plotter.XYs{{X: x, Y: height}}, Labels: []string{" " + f.label()},
		})
		if err != nil {
			return err
		}
		p.Add(label)
	}
	return nil
}

// savePNG writes both plots to a PNG file, one above the other with aligned
// axes.
func savePNG(name string, upper, lower *plot.Plot) error {
	canvas := vgimg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{
		Rows: 2, Cols: 1, PadY: plotGap,
		PadTop: plotMargin, PadBottom: plotMargin, PadLeft: plotMargin, PadRight: plotMargin,
	}
	plots := [][]*plot.Plot{{upper}, {lower}}
	canvases := plot.Align(plots, tiles, draw.New(canvas))
	for i := range plots {
		plots[i][0].Draw(canvases[i][0])
	}
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	_, err = vgimg.PngCanvas{Canvas: canvas}.WriteTo(file)
	return errors.Join(err, file.Close())
}
