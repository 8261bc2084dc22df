package rehearsal

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
	plotWide = 7
	plotHigh = 4
)

// series is one line of a plot.
type series struct {
	name   string
	points plotter.XYs
	dots   bool // points alone, not joined
}

// draw writes a plot as a file of the given form; none writes nothing.
func draw(folder, form, name, title, across, up string, lines []series, change func(*plot.Plot)) error {
	if form == "none" || form == "" {
		return nil
	}
	drawn := plot.New()
	drawn.Title.Text, drawn.X.Label.Text, drawn.Y.Label.Text = title, across, up
	drawn.Legend.Top = true
	drawn.Add(plotter.NewGrid())
	if change != nil {
		change(drawn)
	}
	for i, one := range lines {
		if len(one.points) == 0 {
			continue
		}
		if one.dots {
			dots, err := plotter.NewScatter(one.points)
			if err != nil {
				return errs.Wrap(err, errs.Internal, name)
			}
			dots.Color, dots.Shape = plotutil.Color(i), plotutil.Shape(i)
			drawn.Add(dots)
			drawn.Legend.Add(one.name, dots)
			continue
		}
		line, err := plotter.NewLine(one.points)
		if err != nil {
			return errs.Wrap(err, errs.Internal, name)
		}
		line.Color = color.Color(plotutil.Color(i))
		drawn.Add(line)
		drawn.Legend.Add(one.name, line)
	}
	file := filepath.Join(folder, strings.ReplaceAll(name, " ", "-")+"."+form)
	return errs.Wrap(drawn.Save(plotWide*vg.Inch, plotHigh*vg.Inch, file), errs.DiskFailed, file)
}

// quantileLine is a histogram as a line: what part was done within which time, in milliseconds.
func quantileLine(from *hdrhistogram.Histogram) plotter.XYs {
	var points plotter.XYs
	for _, one := range from.CumulativeDistribution() {
		if one.Count > 0 {
			points = append(points, plotter.XY{X: float64(one.ValueAt) / 1000, Y: one.Quantile})
		}
	}
	return points
}

// Draw writes the run's plots beside its report.
func (r *HollowReport) Draw(folder, form string) error {
	var spans []series
	for _, name := range []string{"stated to acknowledged", "acknowledged to in use, each member", "stated to in use everywhere", "age of members' pictures", "news of workers, each member"} {
		if held := r.histograms[name]; held != nil && held.TotalCount() > 0 {
			spans = append(spans, series{name: name, points: quantileLine(held)})
		}
	}
	title := fmt.Sprintf("%d members, %d services, %d routes", r.Options.Members, r.Options.Services, r.Options.Routes)
	if len(spans) > 0 {
		err := draw(folder, form, "spans", title, "milliseconds", "per cent done within", spans, logAcross)
		if err != nil {
			return err
		}
	}
	for _, figure := range []struct {
		name, up string
		of       func(HollowLine) map[string]float64
	}{{"processor", "thousandths of a core", func(l HollowLine) map[string]float64 { return l.CPU }}, {"memory", "MB", func(l HollowLine) map[string]float64 { return l.Memory }}} {
		var lines []series
		for _, role := range []string{"proxy", "registry", "store"} {
			one := series{name: role}
			for _, line := range r.Lines {
				one.points = append(one.points, plotter.XY{X: line.At, Y: figure.of(line)[role]})
			}
			lines = append(lines, one)
		}
		if err := draw(folder, form, figure.name, title, "seconds", figure.up, lines, nil); err != nil {
			return err
		}
	}
	return nil
}

// logAcross spreads times over their powers of ten.
func logAcross(p *plot.Plot) { p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1} }
