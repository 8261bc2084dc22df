package release

import (
	"testing"
	"time"
)

// TestIsFailingComparesWithOldVersion checks the verdict on one window of counts. A version that fails more often or
// is slower than the old one is failing. A difference that chance explains, or a fault of both versions, does not make
// it so.
func TestIsFailingComparesWithOldVersion(t *testing.T) {
	const ms = time.Millisecond
	healthyBaseline := map[string]CallStats{"a": callStats(9000, 9, ms)}
	for name, test := range map[string]struct {
		counts      VersionCounts
		baseline    map[string]CallStats
		wantFailing bool
	}{
		"failing: all calls fail":                     {versionCounts(callStats(1000, 0, ms), callStats(20, 20, ms)), nil, true},
		"not failing: failures below the threshold":   {versionCounts(callStats(1000, 0, ms), callStats(1000, 14, ms)), nil, false},
		"not failing: failure rate within the margin": {versionCounts(callStats(100000, 500, ms), callStats(10000, 100, ms)), nil, false},
		"not failing: both versions fail alike":       {versionCounts(callStats(1000, 300, ms), callStats(100, 33, ms)), nil, false},
		"not failing: difference explained by chance": {versionCounts(callStats(19, 3, ms), callStats(38, 15, ms)), nil, false},
		"failing: old version without calls":          {versionCounts(callStats(0, 0, ms), callStats(20, 20, ms)), nil, true},
		"failing: slow":                               {versionCounts(callStats(1000, 0, ms), callStats(50, 0, 6*ms)), nil, true},
		"not failing: both versions slow alike":       {versionCounts(callStats(1000, 0, 100*ms), callStats(50, 0, 130*ms)), nil, false},
		"not failing: slow, but with too few calls":   {versionCounts(callStats(1000, 0, ms), callStats(5, 0, 60*ms)), nil, false},
		"failing: only on one route": {VersionCounts{
			Old: map[string]CallStats{"a": callStats(5000, 5, ms), "b": callStats(300, 0, ms)},
			New: map[string]CallStats{"a": callStats(5000, 5, ms), "b": callStats(100, 15, ms)},
		}, nil, true},
		"failing: although a third version fails more": {VersionCounts{
			Old:    map[string]CallStats{"a": callStats(1000, 0, ms)},
			New:    map[string]CallStats{"a": callStats(100, 40, ms)},
			Others: callStats(1000, 900, ms),
		}, nil, true},
		"failing: a quarter fails, old version with hardly any calls": {
			versionCounts(callStats(1, 0, ms), callStats(200, 50, ms)), healthyBaseline, true},
		"failing: slow, old version no longer called": {
			versionCounts(callStats(0, 0, ms), callStats(50, 0, 6*ms)), healthyBaseline, true},
		"not failing: both versions fail alike, old version no longer called": {
			versionCounts(callStats(0, 0, ms), callStats(200, 40, ms)), map[string]CallStats{"a": callStats(9000, 1800, ms)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if verdict, failing := Defaults.IsFailing(test.counts, test.baseline); failing != test.wantFailing {
				t.Errorf("IsFailing() = %q, %t, want failing %t", verdict, failing, test.wantFailing)
			}
		})
	}
}
