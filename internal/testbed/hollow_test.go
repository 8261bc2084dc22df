package testbed

import (
	"io"
	"os/exec"
	"strings"
	"testing"

	"meadowhinge/internal/options"
	"meadowhinge/schema"
)

// parseHollowOptions parses command-line arguments as the program does.
func parseHollowOptions(t *testing.T, args ...string) *schema.HollowOptions {
	t.Helper()
	opts := &schema.HollowOptions{}
	if err := options.Parse("testbed hollow", args, opts, io.Discard); err != nil {
		t.Fatalf("options.Parse(%v) failed: %v", args, err)
	}
	return opts
}

// TestHollowOptionsAreValidated checks that settings with which no run can be made are rejected, and that each fault
// begins with the name of the setting.
func TestHollowOptionsAreValidated(t *testing.T) {
	for _, testCase := range []struct {
		name   string
		args   []string
		faults []string // names of the settings with faults, in order
	}{
		{"the default settings can be run", nil, nil},
		{"a large fleet can be run", []string{"-members=820", "-services=150", "-routes=150", "-zones=6", "-seats=5"}, nil},
		{"too many releases, too many called routes and too few workers are rejected", []string{"-releases=5", "-reach=9", "-workers=3"}, []string{"releases", "reach", "workers"}},
		{"losses beside restarts, in a short run or of a single core member are rejected", []string{"-cores-lost=2", "-zones-lost=1", "-length=20s", "-restarts=1", "-seats=1"}, []string{"length", "restarts", "cores-lost"}},
		{"losses that just fit into the run can be run", []string{"-cores-lost=1", "-zones-lost=1", "-length=32s"}, nil},
		{"more members than memory and open files allow are rejected", []string{"-members=5000", "-workers=20000", "-routes=20000"}, []string{"members", "members"}},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			faults := validateHollow(parseHollowOptions(t, testCase.args...), 16<<30, 20000)
			if len(faults) != len(testCase.faults) {
				t.Errorf("validateHollow(%v) = %v, want faults of %v", testCase.args, faults, testCase.faults)
				return
			}
			for i, fault := range faults {
				if name, _, _ := strings.Cut(fault, ":"); name != testCase.faults[i] {
					t.Errorf("validateHollow(%v) = %v, want faults of %v", testCase.args, faults, testCase.faults)
				}
			}
		})
	}
	outOfBounds := []string{"-members=0", "-seats=6", "-length=1ms", "-mode=lax"}
	err := options.Parse("testbed hollow", outOfBounds, &schema.HollowOptions{}, io.Discard)
	for _, name := range []string{"members: ", "seats: ", "length: ", "mode: "} {
		if err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("options.Parse(%v) = %v, want an error that contains %q", outOfBounds, err, name)
		}
	}
}

// buildWithoutRaceDetector builds the daemons without the race detector, whose overhead would distort measurements. It
// returns the folder of the binaries.
func buildWithoutRaceDetector(t *testing.T) string {
	t.Helper()
	binaries := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", binaries+"/", "meadowhinge/cmd/proxy", "meadowhinge/cmd/registry", "meadowhinge/cmd/store").CombinedOutput(); err != nil {
		t.Fatalf("go build failed: %v: %s", err, out)
	}
	return binaries
}

// TestHollowMembers checks that hollow members behave like proxies: they learn of every worker, apply every change and
// recover from restarts. It also checks that the costs of every role are measured.
func TestHollowMembers(t *testing.T) {
	if testing.Short() {
		t.Skip("brings up processes")
	}
	opts := parseHollowOptions(t, "-members=12", "-workers=24", "-services=4", "-routes=40", "-changes=60", "-restarts=20", "-releases=2", "-length=8s", "-settle=1s",
		"-lease=2s", "-mode=strict", "-beat=500ms", "-real=1", "-folder="+t.TempDir(), "-binaries="+buildWithoutRaceDetector(t))
	report, err := RunHollow(t.Context(), opts, t.Output())
	if err != nil {
		t.Fatalf("RunHollow() failed: %v", err)
	}
	report.Print(t.Output())
	if report.Unapplied > 0 || report.Acknowledge.Count == 0 || report.Rulings["accepted"] == 0 {
		t.Errorf("got changes %v, %d acknowledged, %d not applied by every member; want some accepted and acknowledged, and 0 not applied",
			report.Rulings, report.Acknowledge.Count, report.Unapplied)
	}
	if report.Restarts == 0 || report.Recovery.Count == 0 {
		t.Errorf("got %d restarts and %d recoveries, want at least 1 each", report.Restarts, report.Recovery.Count)
	}
	if least := 4 + 40 + 2*2; report.Items < least { // services, routes, and a flag and a release plan for each release
		t.Errorf("the configuration has %d items, want at least %d", report.Items, least)
	}
	if rows := len(report.Roles); rows != 4 {
		t.Fatalf("the report has %d roles, want 4: %+v", rows, report.Roles)
	}
	for _, row := range report.Roles {
		if row.BytesIn == 0 || row.BytesOut == 0 || row.MemoryMB == 0 || (row.Messages == 0 && row.Role != realProxy) {
			t.Errorf("costs of role %s = %+v, want bytes, memory and (except for real proxies) messages above 0", row.Role, row)
		}
	}
	if err := report.WritePlots(t.TempDir(), "svg"); err != nil {
		t.Errorf("WritePlots() failed: %v", err)
	}
}

// TestHollowLosses checks that members whose registry is lost get a session with another one, that members of a lost
// zone recover, and that every member applies all changes despite the losses.
func TestHollowLosses(t *testing.T) {
	if testing.Short() {
		t.Skip("brings up processes")
	}
	opts := parseHollowOptions(t, "-members=9", "-changes=60", "-cores-lost=1", "-zones-lost=1", "-length=8s", "-settle=1s", "-lease=2s", "-beat=500ms",
		"-folder="+t.TempDir(), "-binaries="+buildWithoutRaceDetector(t))
	report, err := RunHollow(t.Context(), opts, t.Output())
	if err != nil {
		t.Fatalf("RunHollow() failed: %v", err)
	}
	report.Print(t.Output())
	if report.InjectedLosses != 2 || report.RegistryFailover.Count < 3 || report.Recovery.Count < 3 {
		t.Errorf("got %d losses, %d failovers and %d recoveries, want 2, at least 3 and at least 3",
			report.InjectedLosses, report.RegistryFailover.Count, report.Recovery.Count)
	}
	if report.Unapplied > 0 || report.Rulings["accepted"] == 0 {
		t.Errorf("got changes %v, %d not applied by every member; want some accepted and 0 not applied", report.Rulings, report.Unapplied)
	}
}
