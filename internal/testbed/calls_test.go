package testbed

import (
	"io"
	"strings"
	"testing"

	"meadowhinge/internal/options"
	"meadowhinge/schema"
)

// TestCallsSmall measures calls through real proxies, alone and in chains. It checks that all are answered and that the
// bytes sent per call are bounded by the size of its bodies, however deep the chain is.
func TestCallsSmall(t *testing.T) {
	if testing.Short() {
		t.Skip("brings up processes")
	}
	binaries := buildWithoutRaceDetector(t)
	opts := &schema.CallsOptions{}
	if err := options.Parse("testbed calls", []string{"-rates=20,40,80", "-depths=1,2,4,8", "-chains=10", "-runs=1", "-length=1s", "-work=1ms", "-body=1000", "-lease=2s",
		"-folder=" + t.TempDir(), "-binaries=" + binaries}, opts, io.Discard); err != nil {
		t.Fatalf("options.Parse() failed: %v", err)
	}
	report, err := RunCalls(t.Context(), opts, t.Output())
	if err != nil {
		t.Fatalf("RunCalls() failed: %v", err)
	}
	report.Print(t.Output())
	for _, point := range report.Points {
		if point.Failed > 0 || point.CallRate == 0 {
			t.Errorf("at %g chains per second of depth %d: got %.0f answered calls per second and %d failed chains, want more than 0 and none",
				point.Rate, point.Depth, point.CallRate, point.Failed)
		}
	}
	// The bodies of request and response cross one link between proxies. The rest of the messages is smaller than that.
	const bodies = 1000 + 300
	for _, slope := range report.Slopes {
		if strings.HasPrefix(slope.Cost, "bytes sent") && (slope.Coefficients[1] < bodies || slope.Coefficients[1] > 2*bodies) {
			t.Errorf("%s by %s = %s, want a slope from %d to %d", slope.Cost, slope.Driver, slope.Formula(), bodies, 2*bodies)
		}
	}
	if err := report.WritePlots(t.TempDir(), "svg"); err != nil {
		t.Errorf("WritePlots() failed: %v", err)
	}
	opts.Rates, opts.Depths = "0,x", "65"
	if faults := ValidateCalls(opts); len(faults) != 2 {
		t.Errorf("ValidateCalls(rates %q, depths %q) = %v, want 2 faults", opts.Rates, opts.Depths, faults)
	}
}
