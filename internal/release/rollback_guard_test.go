package release

import (
	"testing"
	"time"
)

// TestRecovered checks that proxies may use a version again only if nearly the whole fleet reported and the
// version did not fail more than the old one of late.
func TestRecovered(t *testing.T) {
	const ms = time.Millisecond
	none := callStats(0, 0, ms)
	for name, test := range map[string]struct {
		earlier, later    VersionCounts
		reportingFraction float64
		wantRecovered     bool
	}{
		"all reported, no failures": {versionCounts(none, none), versionCounts(callStats(100, 0, ms), callStats(100, 0, ms)), 1, true},
		"a third reported":          {versionCounts(none, none), versionCounts(callStats(100, 0, ms), callStats(100, 0, ms)), 0.34, false},
		"failures lately":           {versionCounts(none, none), versionCounts(callStats(100, 0, ms), callStats(100, 20, ms)), 1, false},
		"failures long ago": {versionCounts(callStats(100, 0, ms), callStats(100, 20, ms)),
			versionCounts(callStats(200, 0, ms), callStats(200, 20, ms)), 1, true},
		"both versions fail alike": {versionCounts(none, none), versionCounts(callStats(100, 30, ms), callStats(100, 30, ms)), 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			guard := &RollbackGuard{}
			guard.Observe(Defaults, test.earlier, test.reportingFraction)
			guard.Observe(Defaults, test.later, test.reportingFraction)
			if got := guard.Recovered(Defaults, test.reportingFraction); got != test.wantRecovered {
				t.Errorf("recovered %v", got)
			}
		})
	}
	if (&RollbackGuard{}).Recovered(Defaults, 1) {
		t.Error("recovered before the first sample")
	}
}

// TestBaselineOfUnusedVersion checks that all counts of the old version stand for it only where it hardly
// gets calls any more, and where the new version has enough calls to tell.
func TestBaselineOfUnusedVersion(t *testing.T) {
	const ms = time.Millisecond
	for name, test := range map[string]struct {
		oldCalls, newCalls uint64
		wantBaseline       bool
	}{
		"all to the new":        {0, 1000, true},
		"two in a hundred":      {19, 1000, true},
		"a tenth":               {100, 1000, false},
		"too few calls to tell": {0, 150, false},
	} {
		t.Run(name, func(t *testing.T) {
			guard := &RollbackGuard{}
			guard.Observe(Defaults, versionCounts(callStats(5000, 5, ms), callStats(0, 0, ms)), 1)
			counts := versionCounts(callStats(5000+test.oldCalls, 5, ms), callStats(test.newCalls, 0, ms))
			if got := guard.baseline(counts, guard.recentSamples[0]); (got != nil) != test.wantBaseline {
				t.Errorf("baseline %v", got)
			}
		})
	}
}
