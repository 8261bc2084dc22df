package testbed

import (
	"strings"
	"testing"
	"time"

	"meadowhinge/internal/dispatch"
)

// TestSoak runs a few seeds of the soak with the race detector: real processes, overlapping faults, callers
// that disconnect. The speed of the machine decides nothing here; a long soak by hand checks the bounds in
// seconds too.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("brings up processes")
	}
	report, err := Soak(SoakOptions{Deployment: Deployments["small"], Folder: t.TempDir(), Binaries: buildWithRaceDetector(t), FirstSeed: 1, SeedCount: 2, ParallelFleets: 1,
		LoadDuration: 16 * time.Second, Lease: 8 * time.Second, DrainingBound: 20 * time.Second, Out: t.Output()})
	if err != nil {
		t.Fatal(err)
	}
	for i := range report.Runs {
		run := &report.Runs[i]
		if !run.Passed() {
			t.Errorf("seed %d: %+v", run.Seed, run)
		}
		if run.Faults == 0 || run.Outcomes["answered"] == 0 || run.Outcomes[outcomeDisconnected] == 0 || run.Disconnects.Detected == 0 {
			t.Errorf("seed %d judged nothing: %+v", run.Seed, run)
		}
	}
}

// TestDisconnectsAreChecked checks that the invariants about disconnecting callers are found violated where
// they are, and only there.
func TestDisconnectsAreChecked(t *testing.T) {
	const rule = "workers are freed when the callers of repeatable calls leave"
	left := CallEntry{Operation: "a", Outcome: outcomeDisconnected, Sent: time.Second, Received: 2 * time.Second}
	nonIdempotent := left
	nonIdempotent.NonIdempotent = true
	for name, testCase := range map[string]struct {
		call       CallEntry
		end        time.Duration
		faults     []FaultEntry
		violations int
	}{
		"freed at once":                      {left, 2 * time.Second, nil, 0},
		"freed in time":                      {left, 2500 * time.Millisecond, nil, 0},
		"goes on":                            {left, 2501 * time.Millisecond, nil, 1},
		"goes on, though a store is slow":    {left, 3 * time.Second, []FaultEntry{{Name: "disk slow", At: time.Second}}, 1},
		"held up by a cut":                   {left, 3 * time.Second, []FaultEntry{{Name: "edge machine cut off", At: time.Second, DelaysPeerMessages: true}}, 0},
		"after a cut long over":              {left, 3 * time.Second, []FaultEntry{{Name: "edge machine cut off", At: -4 * time.Second, End: -3 * time.Second, DelaysPeerMessages: true}}, 1},
		"may not be repeated, so it goes on": {nonIdempotent, time.Minute, nil, 0},
	} {
		t.Run(name, func(t *testing.T) {
			history := &History{DisconnectBound: 500 * time.Millisecond, Calls: []CallEntry{testCase.call}, ExecutionEnds: []ExecutionEndEntry{{Operation: "a", Worker: "w", At: testCase.end}}, Faults: testCase.faults}
			for _, finding := range CheckInvariants(history, Deployments["small"]) {
				if finding.Rule == rule && finding.Violations != testCase.violations {
					t.Errorf("%d violations, want %d: %v", finding.Violations, testCase.violations, finding.Examples)
				}
			}
		})
	}
	counted := &History{Disconnects: map[string]dispatch.DisconnectCounts{"p 1": {Overrun: 1, SentLate: 1}, "p 2": {Canceled: 5}}}
	for _, finding := range CheckInvariants(counted, Deployments["small"]) {
		if strings.HasPrefix(finding.Rule, "no proxy counts a breach") && (finding.Violations != 2 || finding.Checked != 5) {
			t.Errorf("%+v", finding)
		}
	}
}

// TestLostAnswersAreJudged checks that an executed call without a response is a violation, unless an
// unplanned fault was active.
func TestLostAnswersAreJudged(t *testing.T) {
	for name, testCase := range map[string]struct {
		fault      string
		mayReject  bool
		violations int
	}{"around planned work": {"proxies restarted politely in series", false, 1}, "around a kill": {"proxy killed", true, 0}} {
		t.Run(name, func(t *testing.T) {
			history := &History{Calls: []CallEntry{{Operation: "a", Outcome: "unknown", Sent: 2 * time.Second, Received: 3 * time.Second}}, Executions: []ExecutionEntry{{Operation: "a"}},
				Faults: []FaultEntry{{Name: testCase.fault, At: time.Second, MayReject: testCase.mayReject}}}
			for _, finding := range CheckInvariants(history, Deployments["small"]) {
				if strings.HasPrefix(finding.Rule, "a call that a worker is at is answered") && finding.Violations != testCase.violations {
					t.Errorf("%d violations, want %d", finding.Violations, testCase.violations)
				}
			}
		})
	}
}
