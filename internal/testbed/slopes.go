package testbed

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
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

// drivers are what a series may vary, each by itself: where its values come from, and how a run gets one.
var drivers = map[string]struct {
	of  func(*schema.SlopesOptions) string
	set func(*schema.HollowOptions, float64)
}{
	"members":  {func(g *schema.SlopesOptions) string { return g.Members }, func(h *schema.HollowOptions, v float64) { h.Members = int64(v) }},
	"services": {func(g *schema.SlopesOptions) string { return g.Services }, setServiceCount},
	"routes":   {func(g *schema.SlopesOptions) string { return g.Routes }, func(h *schema.HollowOptions, v float64) { h.Routes = int64(v) }},
	"changes":  {func(g *schema.SlopesOptions) string { return g.Changes }, func(h *schema.HollowOptions, v float64) { h.Changes = v }},
	"releases": {func(g *schema.SlopesOptions) string { return g.Releases }, func(h *schema.HollowOptions, v float64) { h.Releases = int64(v) }},
	"restarts": {func(g *schema.SlopesOptions) string { return g.Restarts }, func(h *schema.HollowOptions, v float64) { h.Restarts = v }},
	// Members report counts of calls only while a release is in progress.
	"reach":  {func(g *schema.SlopesOptions) string { return g.Reach }, setReach},
	"judged": {func(g *schema.SlopesOptions) string { return g.Judged }, setJudgedMembers},
	"seats":  {func(g *schema.SlopesOptions) string { return g.Seats }, func(h *schema.HollowOptions, v float64) { h.Seats = int64(v) }},
}

// judgedAtOnce is how many releases are in progress while the driver "judged" varies the members.
const judgedAtOnce = 2

// setServiceCount raises routes and workers with the services: each service has one of each at least.
func setServiceCount(opts *schema.HollowOptions, value float64) {
	opts.Services = int64(value)
	opts.Routes = max(opts.Routes, int64(value))
	opts.Workers = max(opts.Members, opts.Services)
}

// setReach sets how many routes a member's calls use, with a release that makes members report them.
func setReach(opts *schema.HollowOptions, value float64) {
	opts.Reach = int64(value)
	opts.Releases = 1
}

// setJudgedMembers sets the members, with releases that make members report their calls.
func setJudgedMembers(opts *schema.HollowOptions, value float64) {
	opts.Members = int64(value)
	opts.Releases = judgedAtOnce
}

// baseOptions are the settings of a run before its driver's value is set.
func baseOptions(opts *schema.SlopesOptions) *schema.HollowOptions {
	base := &schema.HollowOptions{}
	// The presets are checked with each build, so they parse.
	_ = options.Parse("hollow", nil, base, io.Discard)
	base.Members = opts.At
	base.Routes = max(base.Routes, routesAtBase)
	base.Releases = 0
	base.Changes = changesAtBase
	base.Length = opts.Length
	base.Settle = opts.Settle
	base.Lease = opts.Lease
	base.Mode = opts.Mode
	base.Binaries = opts.Binaries
	base.Plots = "none"
	return base
}

// What the base has besides the presets: enough routes that members may reach different ones, and so few changes
// that they do not hide other costs. Changes are by the minute.
const (
	routesAtBase  = 64
	changesAtBase = 6
)

// driverValues reads the values of a driver.
func driverValues(opts *schema.SlopesOptions, driver string) ([]float64, error) {
	var values []float64
	for _, text := range options.SplitList(drivers[driver].of(opts)) {
		value, err := strconv.ParseFloat(text, 64)
		if err != nil || !(value >= 0) {
			return nil, errs.New(errs.InvalidOptions, fmt.Sprintf("%s: %q is not a number from 0 up", driver, text))
		}
		values = append(values, value)
	}
	return values, nil
}

// ValidateSlopes lists what in the settings cannot be run on this machine, for each run of the series.
func ValidateSlopes(opts *schema.SlopesOptions) options.Faults {
	var faults options.Faults
	for _, driver := range options.SplitList(opts.Drivers) {
		if _, found := drivers[driver]; !found {
			faults = append(faults, fmt.Sprintf("drivers: %q is not one of them", driver))
			continue
		}
		values, err := driverValues(opts, driver)
		if err != nil {
			faults = append(faults, err.Error())
		}
		for _, value := range values {
			run := baseOptions(opts)
			drivers[driver].set(run, value)
			bad := append(boundsFaults(run), ValidateHollow(run)...)
			for _, fault := range bad {
				faults = append(faults, fmt.Sprintf("%s=%g: %s", driver, value, fault))
			}
		}
	}
	return faults
}

// boundsFaults checks settings that were put together here against their bounds.
func boundsFaults(opts *schema.HollowOptions) options.Faults {
	var args []string
	for name, value := range map[string]any{
		"members":  opts.Members,
		"services": opts.Services,
		"routes":   opts.Routes,
		"changes":  opts.Changes,
		"releases": opts.Releases,
		"restarts": opts.Restarts,
		"reach":    opts.Reach,
		"seats":    opts.Seats,
	} {
		args = append(args, fmt.Sprintf("-%s=%v", name, value))
	}
	var faults options.Faults
	if err := options.Parse("hollow", args, &schema.HollowOptions{}, io.Discard); !errors.As(err, &faults) {
		return nil
	}
	return faults
}

// Point is one run of a series. The runs done so far are kept in a file, one a line.
type Point struct {
	Driver string        `json:"driver"`
	Value  float64       `json:"value"`
	Run    int           `json:"run"`
	Report *HollowReport `json:"report"`
}

// slopeCosts are the costs that slopes are fitted to, in the order of reports.
var slopeCosts = []struct {
	name string
	of   func(*HollowReport) float64
}{
	{"proxy cpu ms/s", roleCost("proxy", func(r *RoleCost) float64 { return r.CPU })},
	{"proxy bytes in/s", roleCost("proxy", func(r *RoleCost) float64 { return r.BytesIn })},
	{"proxy bytes out/s", roleCost("proxy", func(r *RoleCost) float64 { return r.BytesOut })},
	{"proxy messages/s", roleCost("proxy", func(r *RoleCost) float64 { return r.Messages })},
	{"proxy MB", roleCost("proxy", func(r *RoleCost) float64 { return r.MemoryMB })},
	{"registry cpu ms/s", roleCost("registry", func(r *RoleCost) float64 { return r.CPU })},
	{"registry bytes in/s", roleCost("registry", func(r *RoleCost) float64 { return r.BytesIn })},
	{"registry bytes out/s", roleCost("registry", func(r *RoleCost) float64 { return r.BytesOut })},
	{"registry messages/s", roleCost("registry", func(r *RoleCost) float64 { return r.Messages })},
	{"registry MB", roleCost("registry", func(r *RoleCost) float64 { return r.MemoryMB })},
	{"store cpu ms/s", roleCost("store", func(r *RoleCost) float64 { return r.CPU })},
	{"store bytes in/s", roleCost("store", func(r *RoleCost) float64 { return r.BytesIn })},
	{"store messages/s", roleCost("store", func(r *RoleCost) float64 { return r.Messages })},
	{"store MB", roleCost("store", func(r *RoleCost) float64 { return r.MemoryMB })},
	{"store disk KB", roleCost("store", func(r *RoleCost) float64 { return r.DiskKB })},
	{"acknowledged after ms, p99", func(r *HollowReport) float64 { return r.Acknowledge.P99 }},
	{"in use everywhere after ms, p99", func(r *HollowReport) float64 { return r.AppliedEverywhere.P99 }},
	{"age of pictures ms, p99", func(r *HollowReport) float64 { return r.Staleness.P99 }},
	{"woken late by ms, p99", func(r *HollowReport) float64 { return r.WakeupDelay.P99 }},
	{"news of workers after ms, p99", func(r *HollowReport) float64 { return r.WorkerUpdates.P99 }},
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

// RunSlopes varies each driver by itself and fits what it costs. Runs that a previous call with the same folder has
// done are not repeated. A run that fails is reported and left out.
func RunSlopes(ctx context.Context, opts *schema.SlopesOptions, out io.Writer) (*SlopesReport, error) {
	if faults := ValidateSlopes(opts); len(faults) > 0 {
		return nil, faults
	}
	if err := os.MkdirAll(opts.Folder, 0o750); err != nil {
		return nil, errs.Wrap(err, errs.DiskFailed, opts.Folder)
	}
	file := filepath.Join(opts.Folder, pointsFile)
	points, err := readPoints(file)
	if err != nil {
		return nil, err
	}
	pointsLog, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
	if err != nil {
		return nil, errs.Wrap(err, errs.DiskFailed, file)
	}
	defer func() { _ = pointsLog.Close() }() // each write was checked
	planned := planPoints(opts)
	for i, point := range planned {
		if slices.ContainsFunc(points, func(done Point) bool {
			return done.Driver == point.Driver && done.Value == point.Value && done.Run == point.Run
		}) {
			continue
		}
		printf(out, "run %d of %d: %s %g, time %d\n", i+1, len(planned), point.Driver, point.Value, point.Run)
		run := baseOptions(opts)
		drivers[point.Driver].set(run, point.Value)
		run.Seed = int64(point.Run)
		run.Folder = filepath.Join(opts.Folder, fmt.Sprintf("%s-%g-%d", point.Driver, point.Value, point.Run))
		if point.Report, err = RunHollow(ctx, run, io.Discard); err != nil {
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			// That a value cannot be run is a result too, so the series goes on.
			printf(out, "  failed: %v\n", err)
			continue
		}
		_ = os.RemoveAll(run.Folder) // what stays only takes space
		text, err := json.Marshal(point)
		if err != nil {
			return nil, errs.Wrap(err, errs.Internal, "point")
		}
		if _, err := pointsLog.Write(append(text, '\n')); err != nil {
			return nil, errs.Wrap(err, errs.DiskFailed, file)
		}
		points = append(points, point)
		sleepContext(ctx, time.Duration(opts.Pause))
	}
	return fitPoints(opts, points), nil
}

// planPoints lists the runs of the series. Each value comes once before any comes twice, so that the other load on
// the machine is spread over all values.
func planPoints(opts *schema.SlopesOptions) []Point {
	var planned []Point
	for run := range int(opts.Runs) {
		for _, driver := range options.SplitList(opts.Drivers) {
			values, _ := driverValues(opts, driver) // ValidateSlopes has checked them
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

func fitPoints(opts *schema.SlopesOptions, points []Point) *SlopesReport {
	report := &SlopesReport{Commit: buildCommit(), Mode: opts.Mode, Runs: len(points), points: points}
	for _, driver := range options.SplitList(opts.Drivers) {
		for _, cost := range slopeCosts {
			var runs []costSample
			for _, point := range points {
				if point.Driver == driver {
					runs = append(runs, costSample{point.Value, cost.of(point.Report)})
				}
			}
			if len(runs) > 1 {
				report.Slopes = append(report.Slopes, fitSlope(driver, cost.name, runs))
			}
		}
	}
	return report
}

// Print shows, for each driver, the mean of each cost at each value, and the slope through them.
func (r *SlopesReport) Print(out io.Writer) {
	printf(out, "%s mode, %d runs, commit %s\n", r.Mode, r.Runs, r.Commit)
	driver := ""
	for _, slope := range r.Slopes {
		means := map[float64][]float64{}
		var values []float64
		for _, point := range r.points {
			if point.Driver == slope.Driver {
				if means[point.Value] == nil {
					values = append(values, point.Value)
				}
				means[point.Value] = append(means[point.Value], costByName(slope.Cost)(point.Report))
			}
		}
		slices.Sort(values)
		if slope.Driver != driver {
			driver = slope.Driver
			printf(out, "\n| by %s |", driver)
			for _, value := range values {
				printf(out, " %g |", value)
			}
			printf(out, " slope, the last value left out | R² | spread of runs | foretold for the last |\n| --- |%s --- | --- | --- | --- |\n",
				strings.Repeat(" --- |", len(values)))
		}
		printf(out, "| %s |", slope.Cost)
		for _, value := range values {
			printf(out, " %s |", formatShort(stat.Mean(means[value], nil)))
		}
		printf(out, " %s | %.3f | %.0f %% | %s, %+.0f %% |\n",
			slope.Formula(), slope.RSquared, 100*slope.RelativeSpread, formatShort(slope.Predicted), 100*slope.RelativeError())
	}
}

func costByName(name string) func(*HollowReport) float64 {
	for _, cost := range slopeCosts {
		if cost.name == name {
			return cost.of
		}
	}
	return func(*HollowReport) float64 { return 0 }
}

// formatShort writes a number with three significant digits, or as a whole number from 1000.
func formatShort(value float64) string {
	if value >= 1000 || value <= -1000 {
		return fmt.Sprintf("%.0f", value)
	}
	return fmt.Sprintf("%.3g", value)
}

// Write saves the slopes as JSON.
func (r *SlopesReport) Write(file string) error {
	return writeReport(file, r)
}

// WritePlots writes a plot of each slope with the runs that it was fitted to.
func (r *SlopesReport) WritePlots(folder, format string) error {
	for _, slope := range r.Slopes {
		runs := plotSeries{name: "runs", scatter: true}
		heldOut := plotSeries{name: "left out of the fit", scatter: true}
		line := plotSeries{name: slope.Formula()}
		largest := 0.0
		for _, point := range r.points {
			if point.Driver != slope.Driver {
				continue
			}
			plotted := plotter.XY{X: point.Value, Y: costByName(slope.Cost)(point.Report)}
			largest = max(largest, plotted.X)
			if point.Value == slope.HeldOut {
				heldOut.points = append(heldOut.points, plotted)
			} else {
				runs.points = append(runs.points, plotted)
			}
		}
		for i := range 51 {
			x := largest * float64(i) / 50
			line.points = append(line.points, plotter.XY{X: x, Y: slope.Predict(x)})
		}
		name := slope.Cost + " by " + slope.Driver
		plotted := []plotSeries{line, runs, heldOut}
		if err := writePlot(folder, format, strings.ReplaceAll(name, "/", " a "), name, slope.Driver, slope.Cost, plotted, nil); err != nil {
			return err
		}
	}
	return nil
}
