package release

import (
	"testing"
	"time"

	"meadowhinge/internal/config"
)

// shopPlan is a plan by ramp to half of the calls in 100 seconds.
var shopPlan = &config.Release{
	Name:     "r",
	Service:  "shop",
	Version:  "2",
	Target:   50,
	Duration: 100 * time.Second,
	Control:  "go",
}

func callStats(calls, failures uint64, mean time.Duration) CallStats {
	return CallStats{Calls: calls, Failures: failures, TotalLatency: mean * time.Duration(calls)}
}

// versionCounts are counts of one route.
func versionCounts(oldStats, newStats CallStats) VersionCounts {
	return VersionCounts{Old: map[string]CallStats{"a": oldStats}, New: map[string]CallStats{"a": newStats}}
}

// TestHealthyRamp checks that a healthy version stays at the canary's percentage until it is known on each
// route, rises over the plan's time, and ends at the target.
func TestHealthyRamp(t *testing.T) {
	progress := config.Progress{}
	unproven := versionCounts(callStats(400, 0, time.Millisecond), callStats(29, 0, time.Millisecond))
	sinceLastStep := versionCounts(callStats(90, 0, time.Millisecond), callStats(10, 0, time.Millisecond))
	progress = Defaults.NextRampProgress(shopPlan, progress, unproven, sinceLastStep, 5*time.Second)
	if progress.State != StateCanary || progress.Percentage != 10 {
		t.Fatalf("before it is known: %+v", progress)
	}
	proven := versionCounts(callStats(4000, 0, time.Millisecond), callStats(400, 0, time.Millisecond))
	lastPercent := 0.0
	for step := range 20 {
		progress = Defaults.NextRampProgress(shopPlan, progress, proven, sinceLastStep, 5*time.Second)
		if progress.Percentage < lastPercent || progress.Percentage > shopPlan.Target {
			t.Fatalf("step %d: %v %% after %v %%", step, progress.Percentage, lastPercent)
		}
		lastPercent = progress.Percentage
	}
	if progress.State != StateDone || progress.Percentage != 50 {
		t.Errorf("after the plan's time: %+v", progress)
	}
}

// TestHoldRollbackAndThinEvidence checks what stops a ramp: the operator, too few calls, and a version that
// fails, and which of these the operator may resume.
func TestHoldRollbackAndThinEvidence(t *testing.T) {
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
		t.Errorf("held: %+v", got)
	}
	if got := Defaults.NextRampProgress(shopPlan, ramping, proven, fewCalls, time.Second); got.State != StateHolding || got.Percentage != 20 {
		t.Errorf("thin evidence: %+v", got)
	}
	rolledBack := Defaults.NextRampProgress(withControl("back"), ramping, proven, sinceLastStep, time.Second)
	if rolledBack.State != StateRolledBack || rolledBack.Weight != 0 {
		t.Errorf("rolled back: %+v", rolledBack)
	}
	// The operator may resume what the operator rolled back; it begins again as a canary.
	got = Defaults.NextRampProgress(shopPlan, rolledBack, fewCalls, sinceLastStep, time.Second)
	if got.State != StateCanary || got.Percentage != 10 || got.Elapsed != 0 {
		t.Errorf("resumed: %+v", got)
	}
	rolledBack.Reason = "the version fails on the whole"
	// What was rolled back as bad does not resume by itself.
	if got := Defaults.NextRampProgress(shopPlan, rolledBack, proven, sinceLastStep, time.Second); got.State != StateRolledBack {
		t.Errorf("after it was rolled back: %+v", got)
	}
	failing := versionCounts(callStats(90, 0, time.Millisecond), callStats(30, 30, time.Millisecond))
	done := config.Progress{State: StateDone, Percentage: 50}
	if got := Defaults.NextRampProgress(shopPlan, done, proven, failing, time.Second); got.State != StateRolledBack {
		t.Errorf("bad late, at the target: %+v", got)
	}
}

// TestWeightFollowsMeasuredShare checks that the measured percentage corrects the weight toward the set point,
// within bounds.
func TestWeightFollowsMeasuredShare(t *testing.T) {
	before := config.Progress{State: StateRamping, Percentage: 50, Weight: 50000, Elapsed: int64(200 * time.Second)}
	proven := versionCounts(callStats(4000, 0, time.Millisecond), callStats(400, 0, time.Millisecond))
	measured40 := versionCounts(callStats(60, 0, time.Millisecond), callStats(40, 0, time.Millisecond))
	if got := Defaults.NextRampProgress(shopPlan, before, proven, measured40, time.Second); got.Weight != 55000 {
		t.Errorf("measured 40 of 50: weight %d", got.Weight)
	}
	measured99 := versionCounts(callStats(1, 0, time.Millisecond), callStats(99, 0, time.Millisecond))
	if got := Defaults.NextRampProgress(shopPlan, before, proven, measured99, time.Second); got.Weight != 25500 {
		t.Errorf("measured 99 of 50: weight %d", got.Weight)
	}
}
