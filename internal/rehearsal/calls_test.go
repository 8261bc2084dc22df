package rehearsal

import (
	"io"
	"strings"
	"testing"

	"meadowhinge/internal/options"
	"meadowhinge/schema"
)

// Calls through real proxies, alone and in chains, are all answered; what a call sends over the
// links is its bodies and a bounded rest, however deep it is.
func TestCallsSmall(t *testing.T) {
	if testing.Short() {
		t.Skip("brings up processes")
	}
	binaries := buildPlain(t)
	given := &schema.CallsOptions{}
	if err := options.Parse("rehearsal calls", []string{"-rates=20,40,80", "-depths=1,2,4,8", "-chains=10", "-runs=1", "-length=1s", "-work=1ms", "-body=1000", "-lease=2s",
		"-folder=" + t.TempDir(), "-binaries=" + binaries}, given, io.Discard); err != nil {
		t.Fatal(err)
	}
	report, err := RunCalls(t.Context(), given, t.Output())
	if err != nil {
		t.Fatal(err)
	}
	report.Print(t.Output())
	for _, point := range report.Points {
		if point.Failed > 0 || point.Calls == 0 {
			t.Errorf("%g chains of depth %d: %.0f calls a second, %d failed", point.Rate, point.Depth, point.Calls, point.Failed)
		}
	}
	// A call's two bodies cross one link, and what goes with them is smaller than they are.
	const bodies = 1000 + 300
	for _, slope := range report.Slopes {
		if strings.HasPrefix(slope.Cost, "bytes sent") && (slope.Terms[1] < bodies || slope.Terms[1] > 2*bodies) {
			t.Errorf("%s by %s: %s", slope.Cost, slope.Driver, slope.Text())
		}
	}
	if err := report.Draw(t.TempDir(), "svg"); err != nil {
		t.Error(err)
	}
	given.Rates, given.Depths = "0,x", "65"
	if faults := CheckCalls(given); len(faults) != 2 {
		t.Error(faults)
	}
}
