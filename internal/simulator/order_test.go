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
	orderSeedCount      = flag.Int("term-seeds", 1, "how many seeds to run for each scenario")
	orderFirstSeed      = flag.Uint64("term-first", 1, "the first of these seeds")
	orderScenarioFilter = flag.String("term-kind", "", "only scenarios whose name contains this")
)

// TestRolloutOrders checks that the rollout of an ordered healthy version is done in time, and that a bad version is rolled back and
// gets no more calls than it may, whatever faults hit the core and the proxies. One seed in ten may miss the state or the
// time; none may exceed the exposure.
func TestRolloutOrders(t *testing.T) {
	for i, scenario := range OrderScenarios {
		// By default the test runs a third of the scenarios, which takes in each behavior under one of the loads.
		if !strings.Contains(scenario.Name, *orderScenarioFilter) || (*orderSeedCount == 1 && *orderScenarioFilter == "" && i%3 != 0) {
			continue
		}
		t.Run(scenario.Name, func(t *testing.T) {
			t.Parallel()
			wrong := 0
			exposed := 0
			lost := 0
			maxFraction, latest := 0.0, time.Duration(0)
			for seed := *orderFirstSeed; seed < *orderFirstSeed+uint64(*orderSeedCount); seed++ {
				var got OrderResult
				synctest.Test(t, func(*testing.T) { got = RunOrder(seed, scenario) })
				for rule, breaches := range got.Violations {
					t.Errorf("seed %d: %s: %v", seed, rule, breaches)
				}
				want := release.StateRolledBack
				if scenario.IsHealthy() {
					want = release.StateDone
				}
				if got.State != want || got.ReachedAfter > scenario.RolloutDuration {
					wrong++
					t.Logf("seed %d: %s at %v", seed, got.State, got.ReachedAfter)
				}
				if got.Exposed(scenario) {
					exposed++
					t.Errorf("seed %d: %d of %d calls, late %v", seed, got.VersionCalls, got.ServiceCalls, got.HasLateCall)
				}
				maxFraction = max(maxFraction, float64(got.VersionCalls)/float64(got.ServiceCalls))
				latest = max(latest, got.ReachedAfter)
				lost += got.LostCalls
			}
			t.Logf("%d seeds: wrong or too late %d, exposed %d, largest fraction of calls %.3f, latest %v, calls lost at the end %d",
				*orderSeedCount, wrong, exposed, maxFraction, latest.Round(10*time.Millisecond), lost)
			if wrong*10 > *orderSeedCount {
				t.Errorf("%d of %d went wrong", wrong, *orderSeedCount)
			}
		})
	}
}
