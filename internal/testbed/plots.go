package testbed

import (
	"fmt"
	"image/color"
	"path/filepath"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"meadowhinge/internal/errs"
)

// Size of each plot, in inches.
const (
	plotWidthInches  = 7
	plotHeightInches = 4
)

// plotSeries is one series of points in a plot.
type plotSeries struct {
	name    string // text of the legend
	points  plotter.XYs
	scatter bool // draw separate points instead of a line
}

// writePlot writes a plot to the file name.format in a folder, with the spaces of the name replaced by hyphens. The
// format is a file extension that gonum/plot supports, such as svg; with "none" or an empty format nothing is written.
// customize, if not nil, is called with the plot before the series are added.
func writePlot(folder, format, name, title, xLabel, yLabel string, plotted []plotSeries, customize func(*plot.Plot)) error {
	if format == "none" || format == "" {
		return nil
	}
	chart := plot.New()
	chart.Title.Text = title
	chart.X.Label.Text = xLabel
	chart.Y.Label.Text = yLabel
	chart.Legend.Top = true
	chart.Add(plotter.NewGrid())
	if customize != nil {
		customize(chart)
	}
	for i, data := range plotted {
		if len(data.points) == 0 {
			continue
		}
		if data.scatter {
			dots, err := plotter.NewScatter(data.points)
			if err != nil {
				return errs.Wrap(err, errs.Internal, "cannot plot "+data.name+" in "+name)
			}
			dots.Color = plotutil.Color(i)
			dots.Shape = plotutil.Shape(i)
			chart.Add(dots)
			chart.Legend.Add(data.name, dots)
			continue
		}
		line, err := plotter.NewLine(data.points)
		if err != nil {
			return errs.Wrap(err, errs.Internal, "cannot plot "+data.name+" in "+name)
		}
		line.Color = color.Color(plotutil.Color(i))
		chart.Add(line)
		chart.Legend.Add(data.name, line)
	}
	file := filepath.Join(folder, strings.ReplaceAll(name, " ", "-")+"."+format)
	return errs.Wrap(chart.Save(plotWidthInches*vg.Inch, plotHeightInches*vg.Inch, file), errs.DiskFailed, file)
}

// quantileCurve returns the cumulative distribution of a histogram of microseconds: X is in milliseconds, Y is the
// percentage of the values up to X.
func quantileCurve(histogram *hdrhistogram.Histogram) plotter.XYs {
	var points plotter.XYs
	for _, bracket := range histogram.CumulativeDistribution() {
		if bracket.Count > 0 {
			points = append(points, plotter.XY{X: float64(bracket.ValueAt) / 1000, Y: bracket.Quantile})
		}
	}
	return points
}

// WritePlots writes plots of latencies, CPU and memory to a folder; see writePlot on the format. It fails with
// errs.DiskFailed or errs.Internal.
func (r *HollowReport) WritePlots(folder, format string) error {
	var latencies []plotSeries
	for _, name := range []string{
		"stated to acknowledged",
		"acknowledged to in use, each member",
		"stated to in use everywhere",
		"age of members' pictures",
		"news of workers, each member",
	} {
		if histogram := r.histograms[name]; histogram != nil && histogram.TotalCount() > 0 {
			latencies = append(latencies, plotSeries{name: name, points: quantileCurve(histogram)})
		}
	}
	title := fmt.Sprintf("%d members, %d services, %d routes", r.Options.Members, r.Options.Services, r.Options.Routes)
	if len(latencies) > 0 {
		err := writePlot(folder, format, "spans", title, "milliseconds", "per cent done within", latencies, logScaleX)
		if err != nil {
			return err
		}
	}
	for _, figure := range []struct {
		name, yLabel string
		byRole       func(HollowInterval) map[string]float64
	}{
		{"processor", "thousandths of a core", func(i HollowInterval) map[string]float64 { return i.CPU }},
		{"memory", "MB", func(i HollowInterval) map[string]float64 { return i.Memory }},
	} {
		var lines []plotSeries
		for _, role := range []string{"proxy", "registry", "store"} {
			roleSeries := plotSeries{name: role}
			for _, interval := range r.Timeline {
				roleSeries.points = append(roleSeries.points, plotter.XY{X: interval.At, Y: figure.byRole(interval)[role]})
			}
			lines = append(lines, roleSeries)
		}
		if err := writePlot(folder, format, figure.name, title, "seconds", figure.yLabel, lines, nil); err != nil {
			return err
		}
	}
	return nil
}

// logScaleX makes the horizontal axis logarithmic.
func logScaleX(p *plot.Plot) {
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
}
