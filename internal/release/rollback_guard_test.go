package release

import (
	"testing"
	"time"
)

// TestRecoveredNeedsFleetAndFewFailures checks that proxies may use a version again only if nearly the whole fleet
// reported, and the version recently did not fail more than the old one.
func TestRecoveredNeedsFleetAndFewFailures(t *testing.T) {
	const ms = time.Millisecond
	none := callStats(0, 0, ms)
	for name, test := range map[string]struct {
		earlier, later    VersionCounts
		reportingFraction float64
		wantRecovered     bool
	}{
		"recovers if the whole fleet reported no failures": {versionCounts(none, none),
			versionCounts(callStats(100, 0, ms), callStats(100, 0, ms)), 1, true},
		"does not recover if only a third of the fleet reported": {versionCounts(none, none),
			versionCounts(callStats(100, 0, ms), callStats(100, 0, ms)), 0.34, false},
		"does not recover with recent failures": {versionCounts(none, none),
			versionCounts(callStats(100, 0, ms), callStats(100, 20, ms)), 1, false},
		"recovers if all failures are earlier": {versionCounts(callStats(100, 0, ms), callStats(100, 20, ms)),
			versionCounts(callStats(200, 0, ms), callStats(200, 20, ms)), 1, true},
		"recovers if both versions fail alike": {versionCounts(none, none),
			versionCounts(callStats(100, 30, ms), callStats(100, 30, ms)), 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			guard := &RollbackGuard{}
			guard.Observe(Defaults, test.earlier, test.reportingFraction)
			guard.Observe(Defaults, test.later, test.reportingFraction)
			if got := guard.Recovered(Defaults, test.reportingFraction); got != test.wantRecovered {
				t.Errorf("Recovered() = %t, want %t", got, test.wantRecovered)
			}
		})
	}
	if (&RollbackGuard{}).Recovered(Defaults, 1) {
		t.Error("Recovered() before the first sample = true, want false")
	}
}

// TestBaselineReplacesUnusedOldVersion checks that all counts of the old version are used as the baseline only if
// it hardly gets calls any more, and the new version has enough calls to decide that.
func TestBaselineReplacesUnusedOldVersion(t *testing.T) {
	const ms = time.Millisecond
	for name, test := range map[string]struct {
		oldCalls, newCalls uint64
		wantBaseline       bool
	}{
		"baseline for an old version without calls":          {0, 1000, true},
		"baseline for an old version below the sparse ratio": {19, 1000, true},
		"none for an old version with a tenth of the calls":  {100, 1000, false},
		"none while the new version has too few calls":       {0, 150, false},
	} {
		t.Run(name, func(t *testing.T) {
			guard := &RollbackGuard{}
			guard.Observe(Defaults, versionCounts(callStats(5000, 5, ms), callStats(0, 0, ms)), 1)
			counts := versionCounts(callStats(5000+test.oldCalls, 5, ms), callStats(test.newCalls, 0, ms))
			if got := guard.baseline(counts, guard.recentSamples[0]); (got != nil) != test.wantBaseline {
				t.Errorf("baseline() = %v, want a non-nil baseline: %t", got, test.wantBaseline)
			}
		})
	}
}
