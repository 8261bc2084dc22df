package testbed

import (
	"strings"
	"testing"
	"time"

	"meadowhinge/internal/dispatch"
)

// TestSoak runs two seeds of the soak with real processes that were built with the race detector. It does not check
// limits that depend on the speed of the machine; a long soak by hand does.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("brings up processes")
	}
	report, err := Soak(SoakOptions{Deployment: Deployments["small"], Folder: t.TempDir(), Binaries: buildWithRaceDetector(t), FirstSeed: 1, SeedCount: 2, ParallelFleets: 1,
		LoadDuration: 16 * time.Second, Lease: 8 * time.Second, DrainingBound: 20 * time.Second, Out: t.Output()})
	if err != nil {
		t.Fatalf("Soak() failed: %v", err)
	}
	for i := range report.Runs {
		run := &report.Runs[i]
		if !run.Passed() {
			t.Errorf("seed %d did not pass: %+v", run.Seed, run)
		}
		if run.Faults == 0 || run.Outcomes["answered"] == 0 || run.Outcomes[outcomeDisconnected] == 0 || run.Disconnects.Detected == 0 {
			t.Errorf("seed %d: %+v, want at least one fault, answered call, disconnected call and detected disconnect", run.Seed, run)
		}
	}
}

// TestDisconnectsAreChecked checks that CheckInvariants finds violations of the invariants about disconnecting callers,
// and finds none where they hold.
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
		"an execution may end at the disconnect":                       {left, 2 * time.Second, nil, 0},
		"an execution may end at the bound":                            {left, 2500 * time.Millisecond, nil, 0},
		"an execution must not go on after the bound":                  {left, 2501 * time.Millisecond, nil, 1},
		"a slow disk of a store does not allow a late end":             {left, 3 * time.Second, []FaultEntry{{Name: "disk slow", At: time.Second}}, 1},
		"a partition during the call allows a late end":                {left, 3 * time.Second, []FaultEntry{{Name: "edge machine cut off", At: time.Second, DelaysPeerMessages: true}}, 0},
		"a partition that ended long before does not allow a late end": {left, 3 * time.Second, []FaultEntry{{Name: "edge machine cut off", At: -4 * time.Second, End: -3 * time.Second, DelaysPeerMessages: true}}, 1},
		"a non-idempotent request may go on after a disconnect":        {nonIdempotent, time.Minute, nil, 0},
	} {
		t.Run(name, func(t *testing.T) {
			history := &History{DisconnectBound: 500 * time.Millisecond, Calls: []CallEntry{testCase.call}, ExecutionEnds: []ExecutionEndEntry{{Operation: "a", Worker: "w", At: testCase.end}}, Faults: testCase.faults}
			for _, finding := range CheckInvariants(history, Deployments["small"]) {
				if finding.Rule == rule && finding.Violations != testCase.violations {
					t.Errorf("CheckInvariants() found %d violations of %q, want %d: %v", finding.Violations, finding.Rule, testCase.violations, finding.Examples)
				}
			}
		})
	}
	counted := &History{Disconnects: map[string]dispatch.DisconnectCounts{"p 1": {Overrun: 1, SentLate: 1}, "p 2": {Canceled: 5}}}
	for _, finding := range CheckInvariants(counted, Deployments["small"]) {
		if strings.HasPrefix(finding.Rule, "no proxy counts a breach") && (finding.Violations != 2 || finding.Checked != 5) {
			t.Errorf("CheckInvariants() on inconsistent counts: got %+v, want 2 violations and 5 checked", finding)
		}
	}
}

// TestLostResponsesAreChecked checks that an executed call without a response is a violation unless a fault that may
// cause rejections was active.
func TestLostResponsesAreChecked(t *testing.T) {
	for name, testCase := range map[string]struct {
		fault      string
		mayReject  bool
		violations int
	}{
		"planned work must not lose a response": {"proxies restarted politely in series", false, 1},
		"a killed proxy may lose a response":    {"proxy killed", true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			history := &History{Calls: []CallEntry{{Operation: "a", Outcome: "unknown", Sent: 2 * time.Second, Received: 3 * time.Second}}, Executions: []ExecutionEntry{{Operation: "a"}},
				Faults: []FaultEntry{{Name: testCase.fault, At: time.Second, MayReject: testCase.mayReject}}}
			for _, finding := range CheckInvariants(history, Deployments["small"]) {
				if strings.HasPrefix(finding.Rule, "a call that a worker is at is answered") && finding.Violations != testCase.violations {
					t.Errorf("CheckInvariants() found %d violations of %q, want %d: %v", finding.Violations, finding.Rule, testCase.violations, finding.Examples)
				}
			}
		})
	}
}
