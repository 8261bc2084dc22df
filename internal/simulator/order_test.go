package simulator

import (
	"flag"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"meadowhinge/internal/release"
)

var (
	orderSeedCount      = flag.Int("term-seeds", 1, "how many seeds to run for each kind of order")
	orderFirstSeed      = flag.Uint64("term-first", 1, "the first of them")
	orderScenarioFilter = flag.String("term-kind", "", "only kinds whose name holds this")
)

// An ordered version that is good is done by its term; one that is bad is turned back, and gets
// no more calls than it may, whatever troubles the core and the proxies.
func TestTerm(t *testing.T) {
	for i, kind := range OrderScenarios {
		// Without seeds of its own the test takes each kind once, at one of the loads.
		if !strings.Contains(kind.Name, *orderScenarioFilter) || (*orderSeedCount == 1 && *orderScenarioFilter == "" && i%3 != 0) {
			continue
		}
		t.Run(kind.Name, func(t *testing.T) {
			t.Parallel()
			wrong := 0
			exposed := 0
			lost := 0
			share, latest := 0.0, time.Duration(0)
			for seed := *orderFirstSeed; seed < *orderFirstSeed+uint64(*orderSeedCount); seed++ {
				var got OrderResult
				synctest.Test(t, func(*testing.T) { got = RunOrder(seed, kind) })
				for rule, breaches := range got.Breaches {
					t.Errorf("seed %d: %s: %v", seed, rule, breaches)
				}
				want := release.StateRolledBack
				if kind.IsHealthy() {
					want = release.StateDone
				}
				if got.State != want || got.ReachedAfter > kind.RolloutDuration {
					wrong++
					t.Logf("seed %d: %s at %v", seed, got.State, got.ReachedAfter)
				}
				if got.Exposed(kind) {
					exposed++
					t.Errorf("seed %d: %d of %d calls, late %v", seed, got.VersionCalls, got.ServiceCalls, got.HasLateCall)
				}
				share, latest, lost = max(share, float64(got.VersionCalls)/float64(got.ServiceCalls)), max(latest, got.ReachedAfter), lost+got.LostCalls
			}
			t.Logf("%d seeds: wrong or too late %d, exposed %d, largest share %.3f, latest %v, calls lost at the end %d",
				*orderSeedCount, wrong, exposed, share, latest.Round(10*time.Millisecond), lost)
			if wrong*10 > *orderSeedCount {
				t.Errorf("%d of %d went wrong", wrong, *orderSeedCount)
			}
		})
	}
}
