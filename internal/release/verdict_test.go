package release

import (
	"testing"
	"time"
)

// TestFailingIsRolledBackAndHealthyIsNot checks the verdict on one window of counts: a version that fails
// more often or is slower than the old one is found, and neither chance nor a fault of both versions counts.
func TestFailingIsRolledBackAndHealthyIsNot(t *testing.T) {
	const ms = time.Millisecond
	healthyBaseline := map[string]CallStats{"a": callStats(9000, 9, ms)}
	for name, test := range map[string]struct {
		counts      VersionCounts
		baseline    map[string]CallStats
		wantFailing bool
	}{
		"bad from the start":              {versionCounts(callStats(1000, 0, ms), callStats(20, 20, ms)), nil, true},
		"a few failures":                  {versionCounts(callStats(1000, 0, ms), callStats(1000, 14, ms)), nil, false},
		"many failures in very many":      {versionCounts(callStats(100000, 500, ms), callStats(10000, 100, ms)), nil, false},
		"both fail alike":                 {versionCounts(callStats(1000, 300, ms), callStats(100, 33, ms)), nil, false},
		"both fail alike, by chance less": {versionCounts(callStats(19, 3, ms), callStats(38, 15, ms)), nil, false},
		"bad, and the old one not seen":   {versionCounts(callStats(0, 0, ms), callStats(20, 20, ms)), nil, true},
		"slow":                            {versionCounts(callStats(1000, 0, ms), callStats(50, 0, 6*ms)), nil, true},
		"both slow alike":                 {versionCounts(callStats(1000, 0, 100*ms), callStats(50, 0, 130*ms)), nil, false},
		"slow, but seen only few times":   {versionCounts(callStats(1000, 0, ms), callStats(5, 0, 60*ms)), nil, false},
		"bad on one route only": {VersionCounts{
			Old: map[string]CallStats{"a": callStats(5000, 5, ms), "b": callStats(300, 0, ms)},
			New: map[string]CallStats{"a": callStats(5000, 5, ms), "b": callStats(100, 15, ms)},
		}, nil, true},
		"bad, beside one that fails more": {VersionCounts{
			Old:    map[string]CallStats{"a": callStats(1000, 0, ms)},
			New:    map[string]CallStats{"a": callStats(100, 40, ms)},
			Others: callStats(1000, 900, ms),
		}, nil, true},
		"bad at nearly all, a quarter failing": {
			versionCounts(callStats(1, 0, ms), callStats(200, 50, ms)), healthyBaseline, true},
		"slow, the old one not called any more": {
			versionCounts(callStats(0, 0, ms), callStats(50, 0, 6*ms)), healthyBaseline, true},
		"as it always was, the old one called no more": {
			versionCounts(callStats(0, 0, ms), callStats(200, 40, ms)), map[string]CallStats{"a": callStats(9000, 1800, ms)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if verdict, failing := Defaults.IsFailing(test.counts, test.baseline); failing != test.wantFailing {
				t.Errorf("failing %v (%s)", failing, verdict)
			}
		})
	}
}
