package release

import (
	"testing"
	"time"

	"meadowhinge/internal/config"
)

var shopPlan = &config.Release{Name: "r", Service: "shop", Version: "2", Target: 50, Duration: 100 * time.Second, Control: "go"}

func callStats(calls, failures uint64, mean time.Duration) CallStats {
	return CallStats{Calls: calls, Failures: failures, TotalLatency: mean * time.Duration(calls)}
}

func versionCounts(oldStats, newStats CallStats) VersionCounts {
	return VersionCounts{Old: map[string]CallStats{"a": oldStats}, New: map[string]CallStats{"a": newStats}}
}

func TestFailingIsRolledBackAndHealthyIsNot(t *testing.T) {
	millisecond := time.Millisecond
	for name, test := range map[string]struct {
		counts      VersionCounts
		baseline    map[string]CallStats
		wantFailing bool
	}{
		"bad from the start":              {versionCounts(callStats(1000, 0, millisecond), callStats(20, 20, millisecond)), nil, true},
		"a few failures":                  {versionCounts(callStats(1000, 0, millisecond), callStats(1000, 14, millisecond)), nil, false},
		"many failures in very many":      {versionCounts(callStats(100000, 500, millisecond), callStats(10000, 100, millisecond)), nil, false},
		"both fail alike":                 {versionCounts(callStats(1000, 300, millisecond), callStats(100, 33, millisecond)), nil, false},
		"both fail alike, by chance less": {versionCounts(callStats(19, 3, millisecond), callStats(38, 15, millisecond)), nil, false},
		"bad, and the old one not seen":   {versionCounts(callStats(0, 0, millisecond), callStats(20, 20, millisecond)), nil, true},
		"slow":                            {versionCounts(callStats(1000, 0, millisecond), callStats(50, 0, 6*millisecond)), nil, true},
		"both slow alike":                 {versionCounts(callStats(1000, 0, 100*millisecond), callStats(50, 0, 130*millisecond)), nil, false},
		"slow, but seen only few times":   {versionCounts(callStats(1000, 0, millisecond), callStats(5, 0, 60*millisecond)), nil, false},
		"bad on one route only": {VersionCounts{Old: map[string]CallStats{"a": callStats(5000, 5, millisecond), "b": callStats(300, 0, millisecond)},
			New: map[string]CallStats{"a": callStats(5000, 5, millisecond), "b": callStats(100, 15, millisecond)}}, nil, true},
		"bad, beside one that fails more":              {VersionCounts{Old: map[string]CallStats{"a": callStats(1000, 0, millisecond)}, New: map[string]CallStats{"a": callStats(100, 40, millisecond)}, Others: callStats(1000, 900, millisecond)}, nil, true},
		"bad at nearly all, a quarter failing":         {versionCounts(callStats(1, 0, millisecond), callStats(200, 50, millisecond)), map[string]CallStats{"a": callStats(9000, 9, millisecond)}, true},
		"slow, the old one not called any more":        {versionCounts(callStats(0, 0, millisecond), callStats(50, 0, 6*millisecond)), map[string]CallStats{"a": callStats(9000, 9, millisecond)}, true},
		"as it always was, the old one called no more": {versionCounts(callStats(0, 0, millisecond), callStats(200, 40, millisecond)), map[string]CallStats{"a": callStats(9000, 1800, millisecond)}, false},
	} {
		if reason, wantFailing := Defaults.IsFailing(test.counts, test.baseline); wantFailing != test.wantFailing {
			t.Errorf("%s: bad %v (%s)", name, wantFailing, reason)
		}
	}
}

// A good version stays at the trial's share until each route is known, then rises over the
// plan's time, and ends at the target.
func TestHealthyRamp(t *testing.T) {
	progress := config.Progress{}
	sinceLastStep := versionCounts(callStats(90, 0, time.Millisecond), callStats(10, 0, time.Millisecond))
	progress = Defaults.NextRampProgress(shopPlan, progress, versionCounts(callStats(400, 0, time.Millisecond), callStats(29, 0, time.Millisecond)), sinceLastStep, 5*time.Second)
	if progress.State != StateCanary || progress.Percentage != 10 {
		t.Fatalf("before it is known: %+v", progress)
	}
	proven := versionCounts(callStats(4000, 0, time.Millisecond), callStats(400, 0, time.Millisecond))
	lastPercent := 0.0
	for step := range 20 {
		progress = Defaults.NextRampProgress(shopPlan, progress, proven, sinceLastStep, 5*time.Second)
		if progress.Percentage < lastPercent || progress.Percentage > shopPlan.Target {
			t.Fatalf("step %d: share %v after %v", step, progress.Percentage, lastPercent)
		}
		lastPercent = progress.Percentage
	}
	if progress.State != StateDone || progress.Percentage != 50 {
		t.Errorf("after the plan's time: %+v", progress)
	}
}

func TestHoldRollbackAndThinEvidence(t *testing.T) {
	proven := versionCounts(callStats(4000, 0, time.Millisecond), callStats(400, 0, time.Millisecond))
	sinceLastStep := versionCounts(callStats(90, 0, time.Millisecond), callStats(10, 0, time.Millisecond))
	ramping := config.Progress{State: StateRamping, Percentage: 20, Weight: 20000, Elapsed: int64(40 * time.Second)}
	withPace := func(pace string) *config.Release { plan := *shopPlan; plan.Control = pace; return &plan }
	if got := Defaults.NextRampProgress(withPace("hold"), ramping, proven, sinceLastStep, time.Second); got.State != StateHolding || got.Percentage != 20 || got.Elapsed != ramping.Elapsed {
		t.Errorf("held: %+v", got)
	}
	if got := Defaults.NextRampProgress(shopPlan, ramping, proven, versionCounts(callStats(9, 0, 0), callStats(1, 0, 0)), time.Second); got.State != StateHolding || got.Percentage != 20 {
		t.Errorf("thin evidence: %+v", got)
	}
	rolledBack := Defaults.NextRampProgress(withPace("back"), ramping, proven, sinceLastStep, time.Second)
	if rolledBack.State != StateRolledBack || rolledBack.Weight != 0 {
		t.Errorf("turned back: %+v", rolledBack)
	}
	// The operator may resume what the operator turned back; it begins again with a trial.
	if got := Defaults.NextRampProgress(shopPlan, rolledBack, versionCounts(callStats(9, 0, 0), callStats(1, 0, 0)), sinceLastStep, time.Second); got.State != StateCanary || got.Percentage != 10 || got.Elapsed != 0 {
		t.Errorf("resumed: %+v", got)
	}
	rolledBack.Reason = "the version fails on the whole"
	// What was turned back as bad does not come forward by itself.
	if got := Defaults.NextRampProgress(shopPlan, rolledBack, proven, sinceLastStep, time.Second); got.State != StateRolledBack {
		t.Errorf("after it was turned back: %+v", got)
	}
	failing := versionCounts(callStats(90, 0, time.Millisecond), callStats(30, 30, time.Millisecond))
	if got := Defaults.NextRampProgress(shopPlan, config.Progress{State: StateDone, Percentage: 50}, proven, failing, time.Second); got.State != StateRolledBack {
		t.Errorf("bad late, at the target: %+v", got)
	}
}

// The measured share moves the weight toward the set point, within bounds.
func TestWeightFollowsMeasuredShare(t *testing.T) {
	before := config.Progress{State: StateRamping, Percentage: 50, Weight: 50000, Elapsed: int64(200 * time.Second)}
	proven := versionCounts(callStats(4000, 0, time.Millisecond), callStats(400, 0, time.Millisecond))
	if got := Defaults.NextRampProgress(shopPlan, before, proven, versionCounts(callStats(60, 0, time.Millisecond), callStats(40, 0, time.Millisecond)), time.Second); got.Weight != 55000 {
		t.Errorf("measured 40 of 50: weight %d", got.Weight)
	}
	if got := Defaults.NextRampProgress(shopPlan, before, proven, versionCounts(callStats(1, 0, time.Millisecond), callStats(99, 0, time.Millisecond)), time.Second); got.Weight != 25500 {
		t.Errorf("measured 99 of 50: weight %d", got.Weight)
	}
}

// A duty that hears too little of the fleet, or saw failures of late, lets nobody try again.
func TestRecovered(t *testing.T) {
	millisecond := time.Millisecond
	for name, test := range map[string]struct {
		earlier, later VersionCounts
		heardFraction  float64
		wantRecovered  bool
	}{
		"all heard, no failures":   {versionCounts(callStats(0, 0, millisecond), callStats(0, 0, millisecond)), versionCounts(callStats(100, 0, millisecond), callStats(100, 0, millisecond)), 1, true},
		"a third heard":            {versionCounts(callStats(0, 0, millisecond), callStats(0, 0, millisecond)), versionCounts(callStats(100, 0, millisecond), callStats(100, 0, millisecond)), 0.34, false},
		"failures lately":          {versionCounts(callStats(0, 0, millisecond), callStats(0, 0, millisecond)), versionCounts(callStats(100, 0, millisecond), callStats(100, 20, millisecond)), 1, false},
		"failures long ago":        {versionCounts(callStats(100, 0, millisecond), callStats(100, 20, millisecond)), versionCounts(callStats(200, 0, millisecond), callStats(200, 20, millisecond)), 1, true},
		"both versions fail alike": {versionCounts(callStats(0, 0, millisecond), callStats(0, 0, millisecond)), versionCounts(callStats(100, 30, millisecond), callStats(100, 30, millisecond)), 1, true},
	} {
		guard := &RollbackGuard{}
		guard.Observe(Defaults, test.earlier, test.heardFraction)
		guard.Observe(Defaults, test.later, test.heardFraction)
		if got := guard.Recovered(Defaults, test.heardFraction); got != test.wantRecovered {
			t.Errorf("%s: fine %v", name, got)
		}
	}
	if (&RollbackGuard{}).Recovered(Defaults, 1) {
		t.Error("fine before anything was looked at")
	}
}

// What the old version used to be stands for it only where it hardly gets calls any more, and
// that can be told.
func TestBaselineOfUnusedVersion(t *testing.T) {
	millisecond := time.Millisecond
	for name, test := range map[string]struct {
		oldCalls, newCalls uint64
		wantBaseline       bool
	}{
		"all to the new":        {0, 1000, true},
		"two in a hundred":      {19, 1000, true},
		"a tenth":               {100, 1000, false},
		"too few calls to tell": {0, 150, false},
	} {
		guard := &RollbackGuard{}
		guard.Observe(Defaults, versionCounts(callStats(5000, 5, millisecond), callStats(0, 0, millisecond)), 1)
		counts := versionCounts(callStats(5000+test.oldCalls, 5, millisecond), callStats(test.newCalls, 0, millisecond))
		if got := guard.baseline(counts, guard.recentSamples[0]); (got != nil) != test.wantBaseline {
			t.Errorf("%s: %v", name, got)
		}
	}
}
