package release

import (
	"testing"
	"time"
)

// TestIsFailing checks the verdict on one window of counts. A version that fails more often or is slower than the
// old one is failing. A difference that chance explains, or a fault of both versions, does not make it so.
func TestIsFailing(t *testing.T) {
	const ms = time.Millisecond
	healthyBaseline := map[string]CallStats{"a": callStats(9000, 9, ms)}
	for name, test := range map[string]struct {
		counts      VersionCounts
		baseline    map[string]CallStats
		wantFailing bool
	}{
		"all calls fail":                   {versionCounts(callStats(1000, 0, ms), callStats(20, 20, ms)), nil, true},
		"failures below the threshold":     {versionCounts(callStats(1000, 0, ms), callStats(1000, 14, ms)), nil, false},
		"failure rate within the margin":   {versionCounts(callStats(100000, 500, ms), callStats(10000, 100, ms)), nil, false},
		"both versions fail alike":         {versionCounts(callStats(1000, 300, ms), callStats(100, 33, ms)), nil, false},
		"difference explained by chance":   {versionCounts(callStats(19, 3, ms), callStats(38, 15, ms)), nil, false},
		"fails, old version without calls": {versionCounts(callStats(0, 0, ms), callStats(20, 20, ms)), nil, true},
		"slow":                             {versionCounts(callStats(1000, 0, ms), callStats(50, 0, 6*ms)), nil, true},
		"both versions slow alike":         {versionCounts(callStats(1000, 0, 100*ms), callStats(50, 0, 130*ms)), nil, false},
		"slow, but with too few calls":     {versionCounts(callStats(1000, 0, ms), callStats(5, 0, 60*ms)), nil, false},
		"fails on one route only": {VersionCounts{
			Old: map[string]CallStats{"a": callStats(5000, 5, ms), "b": callStats(300, 0, ms)},
			New: map[string]CallStats{"a": callStats(5000, 5, ms), "b": callStats(100, 15, ms)},
		}, nil, true},
		"fails, and a third version fails more": {VersionCounts{
			Old:    map[string]CallStats{"a": callStats(1000, 0, ms)},
			New:    map[string]CallStats{"a": callStats(100, 40, ms)},
			Others: callStats(1000, 900, ms),
		}, nil, true},
		"a quarter fails, old version with hardly any calls": {
			versionCounts(callStats(1, 0, ms), callStats(200, 50, ms)), healthyBaseline, true},
		"slow, old version no longer called": {
			versionCounts(callStats(0, 0, ms), callStats(50, 0, 6*ms)), healthyBaseline, true},
		"fails like the old version, which is no longer called": {
			versionCounts(callStats(0, 0, ms), callStats(200, 40, ms)), map[string]CallStats{"a": callStats(9000, 1800, ms)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if verdict, failing := Defaults.IsFailing(test.counts, test.baseline); failing != test.wantFailing {
				t.Errorf("IsFailing() = %q, %t, want %t", verdict, failing, test.wantFailing)
			}
		})
	}
}
