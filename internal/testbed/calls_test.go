package testbed

import (
	"io"
	"strings"
	"testing"

	"meadowhinge/internal/options"
	"meadowhinge/schema"
)

// TestCallsSmall checks that calls through real proxies, alone and in chains, are all answered, and that a call
// sends no more over the links than its bodies and a bounded rest, however deep its chain is.
func TestCallsSmall(t *testing.T) {
	if testing.Short() {
		t.Skip("brings up processes")
	}
	binaries := buildWithoutRaceDetector(t)
	opts := &schema.CallsOptions{}
	if err := options.Parse("testbed calls", []string{"-rates=20,40,80", "-depths=1,2,4,8", "-chains=10", "-runs=1", "-length=1s", "-work=1ms", "-body=1000", "-lease=2s",
		"-folder=" + t.TempDir(), "-binaries=" + binaries}, opts, io.Discard); err != nil {
		t.Fatal(err)
	}
	report, err := RunCalls(t.Context(), opts, t.Output())
	if err != nil {
		t.Fatal(err)
	}
	report.Print(t.Output())
	for _, point := range report.Points {
		if point.Failed > 0 || point.CallRate == 0 {
			t.Errorf("%g chains of depth %d: %.0f calls a second, %d failed", point.Rate, point.Depth, point.CallRate, point.Failed)
		}
	}
	// A call's two bodies cross one link, and what goes with them is smaller than they are.
	const bodies = 1000 + 300
	for _, slope := range report.Slopes {
		if strings.HasPrefix(slope.Cost, "bytes sent") && (slope.Coefficients[1] < bodies || slope.Coefficients[1] > 2*bodies) {
			t.Errorf("%s by %s: %s", slope.Cost, slope.Driver, slope.Formula())
		}
	}
	if err := report.WritePlots(t.TempDir(), "svg"); err != nil {
		t.Error(err)
	}
	opts.Rates, opts.Depths = "0,x", "65"
	if faults := ValidateCalls(opts); len(faults) != 2 {
		t.Error(faults)
	}
}
