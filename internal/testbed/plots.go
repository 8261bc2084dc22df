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

// Size of a plot, in inches.
const (
	plotWidthInches  = 7
	plotHeightInches = 4
)

// plotSeries is one line of a plot.
type plotSeries struct {
	name    string
	points  plotter.XYs
	scatter bool // points that are not joined
}

// writePlot writes a plot as a file in a format such as svg; the format "none" writes nothing.
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
				return errs.Wrap(err, errs.Internal, name)
			}
			dots.Color = plotutil.Color(i)
			dots.Shape = plotutil.Shape(i)
			chart.Add(dots)
			chart.Legend.Add(data.name, dots)
			continue
		}
		line, err := plotter.NewLine(data.points)
		if err != nil {
			return errs.Wrap(err, errs.Internal, name)
		}
		line.Color = color.Color(plotutil.Color(i))
		chart.Add(line)
		chart.Legend.Add(data.name, line)
	}
	file := filepath.Join(folder, strings.ReplaceAll(name, " ", "-")+"."+format)
	return errs.Wrap(chart.Save(plotWidthInches*vg.Inch, plotHeightInches*vg.Inch, file), errs.DiskFailed, file)
}

// quantileCurve draws a histogram of microseconds: which percentage is within how many milliseconds.
func quantileCurve(histogram *hdrhistogram.Histogram) plotter.XYs {
	var points plotter.XYs
	for _, bracket := range histogram.CumulativeDistribution() {
		if bracket.Count > 0 {
			points = append(points, plotter.XY{X: float64(bracket.ValueAt) / 1000, Y: bracket.Quantile})
		}
	}
	return points
}

// WritePlots writes the run's plots to a folder.
func (r *HollowReport) WritePlots(folder, format string) error {
	var spans []plotSeries
	for _, name := range []string{
		"stated to acknowledged",
		"acknowledged to in use, each member",
		"stated to in use everywhere",
		"age of members' pictures",
		"news of workers, each member",
	} {
		if histogram := r.histograms[name]; histogram != nil && histogram.TotalCount() > 0 {
			spans = append(spans, plotSeries{name: name, points: quantileCurve(histogram)})
		}
	}
	title := fmt.Sprintf("%d members, %d services, %d routes", r.Options.Members, r.Options.Services, r.Options.Routes)
	if len(spans) > 0 {
		err := writePlot(folder, format, "spans", title, "milliseconds", "per cent done within", spans, logScaleX)
		if err != nil {
			return err
		}
	}
	for _, figure := range []struct {
		name, up string
		of       func(HollowInterval) map[string]float64
	}{
		{"processor", "thousandths of a core", func(i HollowInterval) map[string]float64 { return i.CPU }},
		{"memory", "MB", func(i HollowInterval) map[string]float64 { return i.Memory }},
	} {
		var lines []plotSeries
		for _, role := range []string{"proxy", "registry", "store"} {
			roleSeries := plotSeries{name: role}
			for _, line := range r.Timeline {
				roleSeries.points = append(roleSeries.points, plotter.XY{X: line.At, Y: figure.of(line)[role]})
			}
			lines = append(lines, roleSeries)
		}
		if err := writePlot(folder, format, figure.name, title, "seconds", figure.up, lines, nil); err != nil {
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
