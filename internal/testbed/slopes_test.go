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

// TestFitSlope checks that a fit of noisy runs finds the line or curve behind them, and how far it is off at the
// value that was held out.
func TestFitSlope(t *testing.T) {
	noise := []float64{0.98, 1.02, 1}
	runsOf := func(law func(float64) float64) (runs []costSample) {
		for _, value := range []float64{15, 50, 100, 200, 400, 820} {
			for _, by := range noise {
				runs = append(runs, costSample{value, law(value) * by})
			}
		}
		return runs
	}
	for _, testCase := range []struct {
		name  string
		law   func(float64) float64
		terms int
		off   float64 // at most
	}{
		{"constant", func(float64) float64 { return 7 }, 2, 0.05},
		{"line", func(x float64) float64 { return 5 + 3*x }, 2, 0.05},
		{"pairs", func(x float64) float64 { return 5 + x + 0.2*x*x }, 3, 0.1},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			slope := fitSlope("members", testCase.name, runsOf(testCase.law))
			if len(slope.Coefficients) != testCase.terms || math.Abs(slope.RelativeError()) > testCase.off || slope.HeldOut != 820 || slope.RelativeSpread < 0.01 || slope.RelativeSpread > 0.05 {
				t.Errorf("%s: %+v, off %.3f", testCase.name, slope, slope.RelativeError())
			}
		})
	}
	// A cost that breaks off its line at the held-out value must show as an error.
	if slope := fitSlope("members", "breaks", runsOf(func(x float64) float64 { return 5 + x + math.Max(0, x-400)*9 })); slope.RelativeError() > -0.5 {
		t.Errorf("%+v, off %.3f", slope, slope.RelativeError())
	}
}

// TestSlopesOptionsAreValidated checks that a series with runs that cannot be made is rejected, and names each.
func TestSlopesOptionsAreValidated(t *testing.T) {
	opts := &schema.SlopesOptions{}
	if err := options.Parse("testbed slopes", []string{"-drivers=members,loads,releases", "-members=10,99999,many", "-releases=1,500"}, opts, io.Discard); err != nil {
		t.Fatal(err)
	}
	faults := ValidateSlopes(opts).Error()
	for _, part := range []string{`"loads"`, `members: "many"`, "releases=500: releases"} {
		if !strings.Contains(faults, part) {
			t.Errorf("%s is not named in:\n%s", part, faults)
		}
	}
	if opts.Members = "10,99999"; !strings.Contains(ValidateSlopes(opts).Error(), "members=99999: members: 99999 is outside") {
		t.Errorf("out of bounds: %v", ValidateSlopes(opts))
	}
}

// TestSlopesSmall checks the table of docs/CAPACITY.md at a small size: what a member and a change cost in bytes and
// messages, and what an item of the configuration takes, within bounds that do not depend on the speed of the
// machine.
func TestSlopesSmall(t *testing.T) {
	if testing.Short() {
		t.Skip("brings up processes")
	}
	opts := &schema.SlopesOptions{}
	if err := options.Parse("testbed slopes", []string{"-drivers=members,changes,routes", "-members=4,8,16", "-changes=0,60,240", "-routes=64,128,256", "-at=6", "-runs=1",
		"-length=2s", "-settle=500ms", "-folder=" + t.TempDir(), "-binaries=" + buildWithoutRaceDetector(t)}, opts, io.Discard); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	report, err := RunSlopes(t.Context(), opts, t.Output())
	if err != nil {
		t.Fatal(err)
	}
	report.Print(t.Output())
	t.Logf("took %.0f s", time.Since(began).Seconds())
	if report.Runs != 9 || len(report.Slopes) != 3*len(slopeCosts) {
		t.Fatalf("%d runs, %d slopes", report.Runs, len(report.Slopes))
	}
	// Bytes of a change: one route's item, some 250, and its message. A session that begins again, as on a machine
	// too busy for its heartbeats, is counted, and costs as much once more, and an update of each other member.
	const changeBytes, updateBytes, itemBytes, heartbeats = 1000.0, 200.0, 1024.0, 4.0
	for _, point := range report.points {
		proxy := point.Report.Roles[0]
		seconds, changes := point.Report.Seconds, float64(point.Report.Acknowledge.Count)
		sessionsBegun, others := proxy.SessionsBegun*seconds, float64(proxy.Processes)
		if most := (changeBytes*(1+changes+sessionsBegun) + updateBytes*sessionsBegun*others) / seconds; proxy.BytesIn > 2*most || proxy.BytesOut > 2*most {
			t.Errorf("%s %g: a member took %.0f bytes a second and sent %.0f, with %.0f changes in %.0f s", point.Driver, point.Value, proxy.BytesIn, proxy.BytesOut, changes, seconds)
		}
		// A session that begins again: a greeting, its response, the beginning, and an update of each other member.
		if most := heartbeats + (2*(1+changes)+sessionsBegun*(others+3))/seconds; proxy.Messages > most {
			t.Errorf("%s %g: %.2f messages a second of a member, more than %.2f", point.Driver, point.Value, proxy.Messages, most)
		}
		if point.Report.Unapplied > 0 {
			t.Errorf("%s %g: %d changes not in use everywhere", point.Driver, point.Value, point.Report.Unapplied)
		}
	}
	for _, slope := range report.Slopes {
		if slope.Driver == "routes" && slope.Cost == "store disk KB" && (slope.Coefficients[1] < 0.05 || slope.Coefficients[1]*1024 > itemBytes) {
			t.Errorf("%s by routes: %s", slope.Cost, slope.Formula())
		}
	}
	if err := report.WritePlots(t.TempDir(), "svg"); err != nil {
		t.Error(err)
	}
	// A series that was interrupted continues with what it has.
	again, err := RunSlopes(t.Context(), opts, t.Output())
	if err != nil || again.Runs != report.Runs {
		t.Errorf("%d runs the second time, %v", again.Runs, err)
	}
}
