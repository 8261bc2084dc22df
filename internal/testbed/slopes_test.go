package testbed

import (
	"io"
	"math"
	"strings"
	"testing"
	"time"

	"meadowhinge/internal/options"
	"meadowhinge/schema"
)

// TestFitSlope checks that a fit of noisy runs has the right degree, and that its prediction at the held-out value is
// close to the measured cost. If the cost leaves its line after the last fitted value, the prediction must be far off.
func TestFitSlope(t *testing.T) {
	noise := []float64{0.98, 1.02, 1}
	runsOf := func(cost func(float64) float64) (runs []costSample) {
		for _, value := range []float64{15, 50, 100, 200, 400, 820} {
			for _, factor := range noise {
				runs = append(runs, costSample{value, cost(value) * factor})
			}
		}
		return runs
	}
	for _, testCase := range []struct {
		name         string
		cost         func(float64) float64
		coefficients int     // number of coefficients of the fitted polynomial
		maxError     float64 // largest absolute value of RelativeError
	}{
		{"a constant is fitted by a line", func(float64) float64 { return 7 }, 2, 0.05},
		{"a line is fitted by a line", func(x float64) float64 { return 5 + 3*x }, 2, 0.05},
		{"a cost of pairs is fitted by a parabola", func(x float64) float64 { return 5 + x + 0.2*x*x }, 3, 0.1},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			slope := fitSlope("members", testCase.name, runsOf(testCase.cost))
			if len(slope.Coefficients) != testCase.coefficients || math.Abs(slope.RelativeError()) > testCase.maxError || slope.HeldOut != 820 || slope.RelativeSpread < 0.01 || slope.RelativeSpread > 0.05 {
				t.Errorf("fitSlope() = %+v with relative error %.3f, want %d coefficients, error up to %g, held-out value 820, spread from 0.01 to 0.05",
					slope, slope.RelativeError(), testCase.coefficients, testCase.maxError)
			}
		})
	}
	// This cost leaves its line after the last fitted value, 400, so at 820 it is far above the prediction.
	if slope := fitSlope("members", "breaks", runsOf(func(x float64) float64 { return 5 + x + math.Max(0, x-400)*9 })); slope.RelativeError() > -0.5 {
		t.Errorf("fitSlope() of a cost that breaks off its line = %+v with relative error %.3f, want -0.5 or less", slope, slope.RelativeError())
	}
}

// TestSlopesOptionsAreValidated checks that ValidateSlopes reports each run of a series that cannot be made.
func TestSlopesOptionsAreValidated(t *testing.T) {
	opts := &schema.SlopesOptions{}
	if err := options.Parse("testbed slopes", []string{"-drivers=members,loads,releases", "-members=10,99999,many", "-releases=1,500"}, opts, io.Discard); err != nil {
		t.Fatalf("options.Parse() failed: %v", err)
	}
	faults := ValidateSlopes(opts).Error()
	for _, part := range []string{`"loads"`, `members: "many"`, "releases=500: releases"} {
		if !strings.Contains(faults, part) {
			t.Errorf("ValidateSlopes() = %q, want it to contain %q", faults, part)
		}
	}
	if opts.Members = "10,99999"; !strings.Contains(ValidateSlopes(opts).Error(), "members=99999: members: 99999 is outside") {
		t.Errorf("ValidateSlopes(members %q) = %v, want a fault for members=99999", opts.Members, ValidateSlopes(opts))
	}
}

// TestSlopesSmall checks the costs in docs/CAPACITY.md at a small size: the bytes and messages of a member and of a
// change, and the disk space of an item of the configuration. Its limits do not depend on the speed of the machine.
func TestSlopesSmall(t *testing.T) {
	if testing.Short() {
		t.Skip("brings up processes")
	}
	opts := &schema.SlopesOptions{}
	if err := options.Parse("testbed slopes", []string{"-drivers=members,changes,routes", "-members=4,8,16", "-changes=0,60,240", "-routes=64,128,256", "-at=6", "-runs=1",
		"-length=2s", "-settle=500ms", "-folder=" + t.TempDir(), "-binaries=" + buildWithoutRaceDetector(t)}, opts, io.Discard); err != nil {
		t.Fatalf("options.Parse() failed: %v", err)
	}
	began := time.Now()
	report, err := RunSlopes(t.Context(), opts, t.Output())
	if err != nil {
		t.Fatalf("RunSlopes() failed: %v", err)
	}
	report.Print(t.Output())
	t.Logf("RunSlopes() took %.0f s", time.Since(began).Seconds())
	if report.Runs != 9 || len(report.Slopes) != 3*len(slopeCosts) {
		t.Fatalf("RunSlopes() = %d runs and %d slopes, want 9 and %d", report.Runs, len(report.Slopes), 3*len(slopeCosts))
	}
	// A change costs the bytes of one route's item, some 250, and of its message. Sessions that begin again, as happens on
	// a machine that is too busy for its heartbeats, are counted in the report. Each costs as much as a change and, in
	// addition, an update of each other member.
	const changeBytes, updateBytes, itemBytes, heartbeats = 1000.0, 200.0, 1024.0, 4.0
	for _, point := range report.points {
		proxy := point.Report.Roles[0]
		seconds, changes := point.Report.Seconds, float64(point.Report.Acknowledge.Count)
		sessionsBegun, others := proxy.SessionsBegun*seconds, float64(proxy.Processes)
		if limit := (changeBytes*(1+changes+sessionsBegun) + updateBytes*sessionsBegun*others) / seconds; proxy.BytesIn > 2*limit || proxy.BytesOut > 2*limit {
			t.Errorf("%s %g: a member received %.0f bytes per second and sent %.0f, with %.0f changes in %.0f s; want up to %.0f each",
				point.Driver, point.Value, proxy.BytesIn, proxy.BytesOut, changes, seconds, 2*limit)
		}
		// A session that begins again takes a greeting, its response, the beginning, and an update of each other member.
		if limit := heartbeats + (2*(1+changes)+sessionsBegun*(others+3))/seconds; proxy.Messages > limit {
			t.Errorf("%s %g: a member had %.2f messages per second, want up to %.2f", point.Driver, point.Value, proxy.Messages, limit)
		}
		if point.Report.Unapplied > 0 {
			t.Errorf("%s %g: %d changes were not applied by every member, want 0", point.Driver, point.Value, point.Report.Unapplied)
		}
	}
	for _, slope := range report.Slopes {
		if slope.Driver == "routes" && slope.Cost == "store disk KB" && (slope.Coefficients[1] < 0.05 || slope.Coefficients[1]*1024 > itemBytes) {
			t.Errorf("%s by routes = %s, want a slope from 0.05 to %g KB", slope.Cost, slope.Formula(), itemBytes/1024)
		}
	}
	if err := report.WritePlots(t.TempDir(), "svg"); err != nil {
		t.Errorf("WritePlots() failed: %v", err)
	}
	// A second call with the same folder uses the runs that are stored there.
	again, err := RunSlopes(t.Context(), opts, t.Output())
	if err != nil || again.Runs != report.Runs {
		t.Errorf("the second RunSlopes() = %+v, error %v; want %d runs and no error", again, err, report.Runs)
	}
}
