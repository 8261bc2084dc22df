package release

import (
	"testing"
	"time"

	"meadowhinge/internal/config"
)

// shopPlan is a ramp plan that reaches half of the calls in 100 seconds.
var shopPlan = &config.Release{
	Name:     "r",
	Service:  "shop",
	Version:  "2",
	Target:   50,
	Duration: 100 * time.Second,
	Control:  "go",
}

// callStats returns counts of calls with the given mean latency.
func callStats(calls, failures uint64, mean time.Duration) CallStats {
	return CallStats{Calls: calls, Failures: failures, TotalLatency: mean * time.Duration(calls)}
}

// versionCounts returns counts of one route, "a".
func versionCounts(oldStats, newStats CallStats) VersionCounts {
	return VersionCounts{Old: map[string]CallStats{"a": oldStats}, New: map[string]CallStats{"a": newStats}}
}

// TestHealthyRampReachesTarget checks that a healthy version keeps the canary's percentage until it had enough
// calls on each route, and that its percentage then rises over the plan's duration and ends at the target.
func TestHealthyRampReachesTarget(t *testing.T) {
	progress := config.Progress{}
	unproven := versionCounts(callStats(400, 0, time.Millisecond), callStats(29, 0, time.Millisecond))
	sinceLastStep := versionCounts(callStats(90, 0, time.Millisecond), callStats(10, 0, time.Millisecond))
	progress = Defaults.NextRampProgress(shopPlan, progress, unproven, sinceLastStep, 5*time.Second)
	if progress.State != StateCanary || progress.Percentage != 10 {
		t.Fatalf("progress with 29 calls of the new version = %+v, want state %q at 10 %%", progress, StateCanary)
	}
	proven := versionCounts(callStats(4000, 0, time.Millisecond), callStats(400, 0, time.Millisecond))
	lastPercent := 0.0
	for step := range 20 {
		progress = Defaults.NextRampProgress(shopPlan, progress, proven, sinceLastStep, 5*time.Second)
		if progress.Percentage < lastPercent || progress.Percentage > shopPlan.Target {
			t.Fatalf("step %d: percentage = %v, want at least %v and at most %v", step, progress.Percentage, lastPercent, shopPlan.Target)
		}
		lastPercent = progress.Percentage
	}
	if progress.State != StateDone || progress.Percentage != 50 {
		t.Errorf("progress after the plan's duration = %+v, want state %q at 50 %%", progress, StateDone)
	}
}

// TestRampHoldsOrRollsBack checks that the operator, too few calls and a failing version stop a ramp, and which of
// these stops the operator may resume.
func TestRampHoldsOrRollsBack(t *testing.T) {
	proven := versionCounts(callStats(4000, 0, time.Millisecond), callStats(400, 0, time.Millisecond))
	sinceLastStep := versionCounts(callStats(90, 0, time.Millisecond), callStats(10, 0, time.Millisecond))
	fewCalls := versionCounts(callStats(9, 0, 0), callStats(1, 0, 0))
	ramping := config.Progress{State: StateRamping, Percentage: 20, Weight: 20000, Elapsed: int64(40 * time.Second)}
	withControl := func(control string) *config.Release {
		plan := *shopPlan
		plan.Control = control
		return &plan
	}
	got := Defaults.NextRampProgress(withControl("hold"), ramping, proven, sinceLastStep, time.Second)
	if got.State != StateHolding || got.Percentage != 20 || got.Elapsed != ramping.Elapsed {
		t.Errorf("progress held by the operator = %+v, want state %q with unchanged percentage and elapsed time", got, StateHolding)
	}
	if got := Defaults.NextRampProgress(shopPlan, ramping, proven, fewCalls, time.Second); got.State != StateHolding || got.Percentage != 20 {
		t.Errorf("progress with 1 call since the last step = %+v, want state %q at 20 %%", got, StateHolding)
	}
	rolledBack := Defaults.NextRampProgress(withControl("back"), ramping, proven, sinceLastStep, time.Second)
	if rolledBack.State != StateRolledBack || rolledBack.Weight != 0 {
		t.Errorf("progress rolled back by the operator = %+v, want state %q with weight 0", rolledBack, StateRolledBack)
	}
	// The operator may resume a plan that the operator rolled back. It starts over as a canary.
	got = Defaults.NextRampProgress(shopPlan, rolledBack, fewCalls, sinceLastStep, time.Second)
	if got.State != StateCanary || got.Percentage != 10 || got.Elapsed != 0 {
		t.Errorf("progress resumed by the operator = %+v, want state %q at 10 %% with elapsed time 0", got, StateCanary)
	}
	rolledBack.Reason = "the version fails on the whole"
	// A version that was rolled back as bad stays rolled back.
	if got := Defaults.NextRampProgress(shopPlan, rolledBack, proven, sinceLastStep, time.Second); got.State != StateRolledBack {
		t.Errorf("progress of a version rolled back as bad = %+v, want state %q", got, StateRolledBack)
	}
	failing := versionCounts(callStats(90, 0, time.Millisecond), callStats(30, 30, time.Millisecond))
	done := config.Progress{State: StateDone, Percentage: 50}
	if got := Defaults.NextRampProgress(shopPlan, done, proven, failing, time.Second); got.State != StateRolledBack {
		t.Errorf("progress of a version that fails at the target = %+v, want state %q", got, StateRolledBack)
	}
}

// TestMeasuredPercentCorrectsWeight checks that the weight is corrected by the measured percentage, within limits.
func TestMeasuredPercentCorrectsWeight(t *testing.T) {
	before := config.Progress{State: StateRamping, Percentage: 50, Weight: 50000, Elapsed: int64(200 * time.Second)}
	proven := versionCounts(callStats(4000, 0, time.Millisecond), callStats(400, 0, time.Millisecond))
	measured40 := versionCounts(callStats(60, 0, time.Millisecond), callStats(40, 0, time.Millisecond))
	if got := Defaults.NextRampProgress(shopPlan, before, proven, measured40, time.Second); got.Weight != 55000 {
		t.Errorf("weight with 40 %% measured at set point 50 = %d, want 55000", got.Weight)
	}
	measured99 := versionCounts(callStats(1, 0, time.Millisecond), callStats(99, 0, time.Millisecond))
	if got := Defaults.NextRampProgress(shopPlan, before, proven, measured99, time.Second); got.Weight != 25500 {
		t.Errorf("weight with 99 %% measured at set point 50 = %d, want 25500", got.Weight)
	}
}
