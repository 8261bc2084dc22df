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

// drivers holds the independent variables that a series may vary, by name. list returns the setting with the driver's
// values; apply sets one value in the options of a run.
var drivers = map[string]struct {
	list  func(*schema.SlopesOptions) string
	apply func(*schema.HollowOptions, float64)
}{
	"members":  {func(g *schema.SlopesOptions) string { return g.Members }, func(h *schema.HollowOptions, v float64) { h.Members = int64(v) }},
	"services": {func(g *schema.SlopesOptions) string { return g.Services }, setServiceCount},
	"routes":   {func(g *schema.SlopesOptions) string { return g.Routes }, func(h *schema.HollowOptions, v float64) { h.Routes = int64(v) }},
	"changes":  {func(g *schema.SlopesOptions) string { return g.Changes }, func(h *schema.HollowOptions, v float64) { h.Changes = v }},
	"releases": {func(g *schema.SlopesOptions) string { return g.Releases }, func(h *schema.HollowOptions, v float64) { h.Releases = int64(v) }},
	"restarts": {func(g *schema.SlopesOptions) string { return g.Restarts }, func(h *schema.HollowOptions, v float64) { h.Restarts = v }},
	// The next two drivers come with releases, because members report counts of calls only while a release is in progress.
	"reach":  {func(g *schema.SlopesOptions) string { return g.Reach }, setReach},
	"judged": {func(g *schema.SlopesOptions) string { return g.Judged }, setJudgedMembers},
	"seats":  {func(g *schema.SlopesOptions) string { return g.Seats }, func(h *schema.HollowOptions, v float64) { h.Seats = int64(v) }},
}

// judgedReleases is the number of releases in progress while the driver "judged" varies the number of members.
const judgedReleases = 2

// setServiceCount sets the number of services, and raises the numbers of routes and workers so that each service has at
// least one of each.
func setServiceCount(opts *schema.HollowOptions, value float64) {
	opts.Services = int64(value)
	opts.Routes = max(opts.Routes, int64(value))
	opts.Workers = max(opts.Members, opts.Services)
}

// setReach sets the number of routes that a member's calls use, with one release that makes members report their calls.
func setReach(opts *schema.HollowOptions, value float64) {
	opts.Reach = int64(value)
	opts.Releases = 1
}

// setJudgedMembers sets the number of members, with releases that make members report their calls.
func setJudgedMembers(opts *schema.HollowOptions, value float64) {
	opts.Members = int64(value)
	opts.Releases = judgedReleases
}

// baseOptions returns the options of a run before the value of its driver is set.
func baseOptions(opts *schema.SlopesOptions) *schema.HollowOptions {
	base := &schema.HollowOptions{}
	// This sets the default values. It can't fail, because each build checks them.
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

// Values in baseOptions that differ from the defaults of a hollow run.
const (
	routesAtBase  = 64 // smallest number of routes; enough for the calls of different members to use different routes
	changesAtBase = 6  // changes per minute; few enough that they do not hide other costs
)

// driverValues parses the list of values of a driver. It fails with errs.InvalidOptions.
func driverValues(opts *schema.SlopesOptions, driver string) ([]float64, error) {
	var values []float64
	for _, text := range options.SplitList(drivers[driver].list(opts)) {
		value, err := strconv.ParseFloat(text, 64)
		if err != nil || !(value >= 0) {
			return nil, errs.New(errs.InvalidOptions, fmt.Sprintf("%s: %q is not a number from 0 up", driver, text))
		}
		values = append(values, value)
	}
	return values, nil
}

// ValidateSlopes returns the faults of the settings because of which a run of the series could not be made on this
// machine; none if the series can be run.
func ValidateSlopes(opts *schema.SlopesOptions) options.Faults {
	var faults options.Faults
	for _, driver := range options.SplitList(opts.Drivers) {
		if _, found := drivers[driver]; !found {
			faults = append(faults, fmt.Sprintf("drivers: unknown driver %q", driver))
			continue
		}
		values, err := driverValues(opts, driver)
		if err != nil {
			faults = append(faults, err.Error())
		}
		for _, value := range values {
			run := baseOptions(opts)
			drivers[driver].apply(run, value)
			runFaults := append(boundsFaults(run), ValidateHollow(run)...)
			for _, fault := range runFaults {
				faults = append(faults, fmt.Sprintf("%s=%g: %s", driver, value, fault))
			}
		}
	}
	return faults
}

// boundsFaults checks options that were set by code against the bounds that the option parser checks on the command
// line.
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

// Point is one run of a series: a hollow run with one value of one driver.
type Point struct {
	Driver string        `json:"driver"` // name of the driver
	Value  float64       `json:"value"`  // value of the driver
	Run    int           `json:"run"`    // number of the run among those with the same value, from 1; also its seed
	Report *HollowReport `json:"report"` // nil until the run is done
}

// slopeCosts holds the costs to which slopes are fitted, in the order of reports.
var slopeCosts = []struct {
	name  string
	value func(*HollowReport) float64
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

// roleCost returns a function that returns one figure of a role from a report; 0 if the report does not have the role.
func roleCost(role string, figure func(*RoleCost) float64) func(*HollowReport) float64 {
	return func(report *HollowReport) float64 {
		for i := range report.Roles {
			if report.Roles[i].Role == role {
				return figure(&report.Roles[i])
			}
		}
		return 0
	}
}

// SlopesReport is the result of a series.
type SlopesReport struct {
	Commit string  `json:"commit"` // commit of this program; see buildCommit
	Mode   string  `json:"mode"`   // mode of the hollow runs
	Runs   int     `json:"runs"`   // number of finished runs, including those at held-out values
	Slopes []Slope `json:"slopes"` // slopes of all costs for the first driver, then for the next

	points []Point // finished runs
}

// pointsFile is the name of the file with the finished runs of a series: one Point per line, as JSON. A series that was
// interrupted continues from it.
const pointsFile = "points.jsonl"

// RunSlopes runs a series: it varies one driver at a time and fits the growth of each cost with it. Runs that an earlier
// call has stored in the same folder are not repeated. A run that fails is reported to out and left out of the fit.
// RunSlopes fails with options.Faults for invalid settings, with ctx's error, or with the error of the points file.
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
	defer func() { _ = pointsLog.Close() }() // the error of each write was checked
	planned := planPoints(opts)
	for i, point := range planned {
		if slices.ContainsFunc(points, func(done Point) bool {
			return done.Driver == point.Driver && done.Value == point.Value && done.Run == point.Run
		}) {
			continue
		}
		printf(out, "run %d of %d: %s %g, time %d\n", i+1, len(planned), point.Driver, point.Value, point.Run)
		run := baseOptions(opts)
		drivers[point.Driver].apply(run, point.Value)
		run.Seed = int64(point.Run)
		run.Folder = filepath.Join(opts.Folder, fmt.Sprintf("%s-%g-%d", point.Driver, point.Value, point.Run))
		if point.Report, err = RunHollow(ctx, run, io.Discard); err != nil {
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			// It is a result too that a value can't be run, so the series continues.
			printf(out, "  failed: %v\n", err)
			continue
		}
		_ = os.RemoveAll(run.Folder) // files that can't be removed do no harm
		text, err := json.Marshal(point)
		if err != nil {
			return nil, errs.Wrap(err, errs.Internal, fmt.Sprintf("cannot encode run %d of %s %g", point.Run, point.Driver, point.Value))
		}
		if _, err := pointsLog.Write(append(text, '\n')); err != nil {
			return nil, errs.Wrap(err, errs.DiskFailed, file)
		}
		points = append(points, point)
		sleepContext(ctx, time.Duration(opts.Pause))
	}
	return fitPoints(opts, points), nil
}

// planPoints returns the runs of the series in order. All values are run once before any is run again, so that other
// load on the machine affects all values alike.
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

// readPoints reads a points file; no points if it does not exist.
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

// fitPoints fits a slope for each driver and cost that has at least two runs.
func fitPoints(opts *schema.SlopesOptions, points []Point) *SlopesReport {
	report := &SlopesReport{Commit: buildCommit(), Mode: opts.Mode, Runs: len(points), points: points}
	for _, driver := range options.SplitList(opts.Drivers) {
		for _, cost := range slopeCosts {
			var runs []costSample
			for _, point := range points {
				if point.Driver == driver {
					runs = append(runs, costSample{point.Value, cost.value(point.Report)})
				}
			}
			if len(runs) > 1 {
				report.Slopes = append(report.Slopes, fitSlope(driver, cost.name, runs))
			}
		}
	}
	return report
}

// Print writes a Markdown table for each driver, with the mean of each cost at each value and the fitted slope.
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

// costByName returns the function of a cost in slopeCosts; for an unknown name, a function that returns 0.
func costByName(name string) func(*HollowReport) float64 {
	for _, cost := range slopeCosts {
		if cost.name == name {
			return cost.value
		}
	}
	return func(*HollowReport) float64 { return 0 }
}

// formatShort formats a number with three significant digits or, if its absolute value is at least 1000, as an integer.
func formatShort(value float64) string {
	if value >= 1000 || value <= -1000 {
		return fmt.Sprintf("%.0f", value)
	}
	return fmt.Sprintf("%.3g", value)
}

// Write writes the slopes to a file as JSON. It fails with errs.DiskFailed.
func (r *SlopesReport) Write(file string) error {
	return writeReport(file, r)
}

// WritePlots writes a plot of each slope and its runs to a folder; see writePlot on the format.
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
