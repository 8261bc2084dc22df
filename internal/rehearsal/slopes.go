package rehearsal

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot/plotter"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/options"
	"meadowhinge/schema"
)

// drivers are what a series may vary, each by itself.
var drivers = map[string]struct {
	of  func(*schema.SlopesOptions) string
	set func(*schema.HollowOptions, float64)
}{
	"members":  {func(g *schema.SlopesOptions) string { return g.Members }, func(h *schema.HollowOptions, v float64) { h.Members = int64(v) }},
	"services": {func(g *schema.SlopesOptions) string { return g.Services }, setServices},
	"routes":   {func(g *schema.SlopesOptions) string { return g.Routes }, func(h *schema.HollowOptions, v float64) { h.Routes = int64(v) }},
	"changes":  {func(g *schema.SlopesOptions) string { return g.Changes }, func(h *schema.HollowOptions, v float64) { h.Changes = v }},
	"releases": {func(g *schema.SlopesOptions) string { return g.Releases }, func(h *schema.HollowOptions, v float64) { h.Releases = int64(v) }},
	"restarts": {func(g *schema.SlopesOptions) string { return g.Restarts }, func(h *schema.HollowOptions, v float64) { h.Restarts = v }},
	// Counts are told while some version is to be judged by them.
	"reach":  {func(g *schema.SlopesOptions) string { return g.Reach }, func(h *schema.HollowOptions, v float64) { h.Reach, h.Releases = int64(v), 1 }},
	"judged": {func(g *schema.SlopesOptions) string { return g.Judged }, func(h *schema.HollowOptions, v float64) { h.Members, h.Releases = int64(v), judgedAtOnce }},
	"seats":  {func(g *schema.SlopesOptions) string { return g.Seats }, func(h *schema.HollowOptions, v float64) { h.Seats = int64(v) }},
}

// judgedAtOnce is how many releases are under way while members are varied under them.
const judgedAtOnce = 2

// setServices takes as many routes along as there are services, for each has one at least.
func setServices(given *schema.HollowOptions, value float64) {
	given.Services, given.Routes = int64(value), max(given.Routes, int64(value))
	given.Workers = max(given.Members, given.Services)
}

// baseOf are the settings that stay while a driver is varied.
func baseOf(given *schema.SlopesOptions) *schema.HollowOptions {
	base := &schema.HollowOptions{}
	// The presets are checked with each build, so they parse.
	_ = options.Parse("hollow", nil, base, io.Discard)
	base.Members, base.Routes = given.At, max(base.Routes, routesAtBase)
	base.Releases, base.Changes = 0, changesAtBase
	base.Length, base.Settle, base.Lease, base.Mode, base.Binaries, base.Plots = given.Length, given.Settle, given.Lease, given.Mode, given.Binaries, "none"
	return base
}

// What the base has besides the presets: enough routes to be reached, few enough changes that
// they do not hide the rest.
const (
	routesAtBase  = 64
	changesAtBase = 6
)

// valuesOf reads a driver's values.
func valuesOf(given *schema.SlopesOptions, driver string) ([]float64, error) {
	var values []float64
	for _, text := range options.SplitList(drivers[driver].of(given)) {
		value, err := strconv.ParseFloat(text, 64)
		if err != nil || !(value >= 0) {
			return nil, errs.New(errs.InvalidOptions, fmt.Sprintf("%s: %q is not a number from 0 up", driver, text))
		}
		values = append(values, value)
	}
	return values, nil
}

// CheckSlopes lists what cannot be run here, for each run of the series.
func CheckSlopes(given *schema.SlopesOptions) options.Faults {
	var faults options.Faults
	for _, driver := range options.SplitList(given.Drivers) {
		if _, known := drivers[driver]; !known {
			faults = append(faults, fmt.Sprintf("drivers: %q is not one of them", driver))
			continue
		}
		values, err := valuesOf(given, driver)
		if err != nil {
			faults = append(faults, err.Error())
		}
		for _, value := range values {
			run := baseOf(given)
			drivers[driver].set(run, value)
			bad := append(outOfBounds(run), CheckHollow(run)...)
			for _, fault := range bad {
				faults = append(faults, fmt.Sprintf("%s=%g: %s", driver, value, fault))
			}
		}
	}
	return faults
}

// outOfBounds holds settings that were put together here against their rules.
func outOfBounds(given *schema.HollowOptions) options.Faults {
	var args []string
	for name, value := range map[string]any{"members": given.Members, "services": given.Services, "routes": given.Routes, "changes": given.Changes,
		"releases": given.Releases, "restarts": given.Restarts, "reach": given.Reach, "seats": given.Seats} {
		args = append(args, fmt.Sprintf("-%s=%v", name, value))
	}
	faults, _ := options.Parse("hollow", args, &schema.HollowOptions{}, io.Discard).(options.Faults)
	return faults
}

// Point is one run of a series.
type Point struct {
	Driver string        `json:"driver"`
	Value  float64       `json:"value"`
	Run    int           `json:"run"`
	Report *HollowReport `json:"report"`
}

// costsOf are the costs that slopes are fitted to.
var costsOf = []struct {
	name string
	of   func(*HollowReport) float64
}{
	{"proxy cpu ms/s", roleCost("proxy", func(r *RoleCost) float64 { return r.CPU })},
	{"proxy bytes in/s", roleCost("proxy", func(r *RoleCost) float64 { return r.In })},
	{"proxy bytes out/s", roleCost("proxy", func(r *RoleCost) float64 { return r.Out })},
	{"proxy messages/s", roleCost("proxy", func(r *RoleCost) float64 { return r.Messages })},
	{"proxy MB", roleCost("proxy", func(r *RoleCost) float64 { return r.Memory })},
	{"registry cpu ms/s", roleCost("registry", func(r *RoleCost) float64 { return r.CPU })},
	{"registry bytes in/s", roleCost("registry", func(r *RoleCost) float64 { return r.In })},
	{"registry bytes out/s", roleCost("registry", func(r *RoleCost) float64 { return r.Out })},
	{"registry messages/s", roleCost("registry", func(r *RoleCost) float64 { return r.Messages })},
	{"registry MB", roleCost("registry", func(r *RoleCost) float64 { return r.Memory })},
	{"store cpu ms/s", roleCost("store", func(r *RoleCost) float64 { return r.CPU })},
	{"store bytes in/s", roleCost("store", func(r *RoleCost) float64 { return r.In })},
	{"store messages/s", roleCost("store", func(r *RoleCost) float64 { return r.Messages })},
	{"store MB", roleCost("store", func(r *RoleCost) float64 { return r.Memory })},
	{"store disk KB", roleCost("store", func(r *RoleCost) float64 { return r.Disk })},
	{"acknowledged after ms, p99", func(r *HollowReport) float64 { return r.Acknowledge.P99 }},
	{"in use everywhere after ms, p99", func(r *HollowReport) float64 { return r.Everywhere.P99 }},
	{"age of pictures ms, p99", func(r *HollowReport) float64 { return r.Stale.P99 }},
	{"woken late by ms, p99", func(r *HollowReport) float64 { return r.Late.P99 }},
	{"news of workers after ms, p99", func(r *HollowReport) float64 { return r.News.P99 }},
}

func roleCost(role string, of func(*RoleCost) float64) func(*HollowReport) float64 {
	return func(report *HollowReport) float64 {
		for i := range report.Roles {
			if report.Roles[i].Role == role {
				return of(&report.Roles[i])
			}
		}
		return 0
	}
}

// SlopesReport is what a series found.
type SlopesReport struct {
	Commit string  `json:"commit"`
	Mode   string  `json:"mode"`
	Runs   int     `json:"runs"`
	Slopes []Slope `json:"slopes"`
	points []Point
}

// pointsFile holds the runs of a series, one a line, so that one that was cut short goes on.
const pointsFile = "points.jsonl"

// RunSlopes varies each driver by itself and fits what it costs.
func RunSlopes(ctx context.Context, given *schema.SlopesOptions, out io.Writer) (*SlopesReport, error) {
	if faults := CheckSlopes(given); len(faults) > 0 {
		return nil, faults
	}
	if err := os.MkdirAll(given.Folder, 0o750); err != nil {
		return nil, errs.Wrap(err, errs.DiskFailed, given.Folder)
	}
	file := filepath.Join(given.Folder, pointsFile)
	points, err := readPoints(file)
	if err != nil {
		return nil, err
	}
	kept, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
	if err != nil {
		return nil, errs.Wrap(err, errs.DiskFailed, file)
	}
	defer kept.Close()
	planned := planPoints(given)
	for i, point := range planned {
		if slices.ContainsFunc(points, func(had Point) bool {
			return had.Driver == point.Driver && had.Value == point.Value && had.Run == point.Run
		}) {
			continue
		}
		fmt.Fprintf(out, "run %d of %d: %s %g, time %d\n", i+1, len(planned), point.Driver, point.Value, point.Run)
		run := baseOf(given)
		drivers[point.Driver].set(run, point.Value)
		run.Seed = int64(point.Run)
		run.Folder = filepath.Join(given.Folder, fmt.Sprintf("%s-%g-%d", point.Driver, point.Value, point.Run))
		if point.Report, err = RunHollow(ctx, run, io.Discard); err != nil {
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			// One value that does not come up tells as much as one that does: the series goes on.
			fmt.Fprintf(out, "  failed: %v\n", err)
			continue
		}
		_ = os.RemoveAll(run.Folder)
		text, err := json.Marshal(point)
		if err != nil {
			return nil, errs.Wrap(err, errs.Internal, "point")
		}
		if _, err := kept.Write(append(text, '\n')); err != nil {
			return nil, errs.Wrap(err, errs.DiskFailed, file)
		}
		points = append(points, point)
		pause(ctx, time.Duration(given.Pause))
	}
	return fitPoints(given, points), nil
}

// planPoints lists the runs. One of each value comes before a second of any, so that what else
// the machine does is spread over all.
func planPoints(given *schema.SlopesOptions) []Point {
	var planned []Point
	for run := range int(given.Runs) {
		for _, driver := range options.SplitList(given.Drivers) {
			values, _ := valuesOf(given, driver)
			for _, value := range values {
				planned = append(planned, Point{Driver: driver, Value: value, Run: run + 1})
			}
		}
	}
	return planned
}

func readPoints(file string) ([]Point, error) {
	text, err := os.ReadFile(file)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, errs.Wrap(err, errs.DiskFailed, file)
	}
	var points []Point
	lines := bufio.NewScanner(bytes.NewReader(text))
	lines.Buffer(nil, len(text)+1)
	for lines.Scan() {
		var point Point
		if err := json.Unmarshal(lines.Bytes(), &point); err != nil {
			return nil, errs.Wrap(err, errs.MalformedRequest, file)
		}
		points = append(points, point)
	}
	return points, nil
}

func fitPoints(given *schema.SlopesOptions, points []Point) *SlopesReport {
	report := &SlopesReport{Commit: commitHere(), Mode: given.Mode, Runs: len(points), points: points}
	for _, driver := range options.SplitList(given.Drivers) {
		for _, cost := range costsOf {
			var runs []measured
			for _, point := range points {
				if point.Driver == driver {
					runs = append(runs, measured{point.Value, cost.of(point.Report)})
				}
			}
			if len(runs) > 1 {
				report.Slopes = append(report.Slopes, fitSlope(driver, cost.name, runs))
			}
		}
	}
	return report
}

// Print shows, for each driver, the mean of each cost at each value and the slope through them.
func (r *SlopesReport) Print(out io.Writer) {
	fmt.Fprintf(out, "%s mode, %d runs, commit %s\n", r.Mode, r.Runs, r.Commit)
	driver := ""
	for _, slope := range r.Slopes {
		means := map[float64][]float64{}
		var values []float64
		for _, point := range r.points {
			if point.Driver == slope.Driver {
				if means[point.Value] == nil {
					values = append(values, point.Value)
				}
				means[point.Value] = append(means[point.Value], costOf(slope.Cost)(point.Report))
			}
		}
		slices.Sort(values)
		if slope.Driver != driver {
			driver = slope.Driver
			fmt.Fprintf(out, "\n| by %s |", driver)
			for _, value := range values {
				fmt.Fprintf(out, " %g |", value)
			}
			fmt.Fprintf(out, " slope, the last value left out | R² | spread of runs | foretold for the last |\n| --- |%s --- | --- | --- | --- |\n", strings.Repeat(" --- |", len(values)))
		}
		fmt.Fprintf(out, "| %s |", slope.Cost)
		for _, value := range values {
			fmt.Fprintf(out, " %s |", short(stat.Mean(means[value], nil)))
		}
		fmt.Fprintf(out, " %s | %.3f | %.0f %% | %s, %+.0f %% |\n", slope.Text(), slope.Fit, 100*slope.Spread, short(slope.Predicted), 100*slope.Off())
	}
}

func costOf(name string) func(*HollowReport) float64 {
	for _, cost := range costsOf {
		if cost.name == name {
			return cost.of
		}
	}
	return func(*HollowReport) float64 { return 0 }
}

// short writes a number with three places that count.
func short(value float64) string {
	if value >= 1000 || value <= -1000 {
		return fmt.Sprintf("%.0f", value)
	}
	return fmt.Sprintf("%.3g", value)
}

// Write saves the slopes as JSON.
func (r *SlopesReport) Write(file string) error {
	return writeReport(file, r)
}

// Draw writes a plot of each slope with the runs that it was fitted to.
func (r *SlopesReport) Draw(folder, form string) error {
	for _, slope := range r.Slopes {
		runs, out, line := series{name: "runs", dots: true}, series{name: "left out of the fit", dots: true}, series{name: slope.Text()}
		most := 0.0
		for _, point := range r.points {
			if point.Driver != slope.Driver {
				continue
			}
			one := plotter.XY{X: point.Value, Y: costOf(slope.Cost)(point.Report)}
			most = max(most, one.X)
			if point.Value == slope.Out {
				out.points = append(out.points, one)
			} else {
				runs.points = append(runs.points, one)
			}
		}
		for i := range 51 {
			x := most * float64(i) / 50
			line.points = append(line.points, plotter.XY{X: x, Y: slope.At(x)})
		}
		name := slope.Cost + " by " + slope.Driver
		if err := draw(folder, form, strings.ReplaceAll(name, "/", " a "), name, slope.Driver, slope.Cost, []series{line, runs, out}, nil); err != nil {
			return err
		}
	}
	return nil
}
