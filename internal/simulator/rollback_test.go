package simulator

import (
	"flag"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

var (
	rollbackSeedCount      = flag.Int("brake-seeds", 1, "how many seeds to run for each scenario")
	rollbackFirstSeed      = flag.Uint64("brake-first", 1, "the first of these seeds")
	rollbackScenarioFilter = flag.String("brake-kind", "", "only scenarios whose name contains this")
)

// runRollbackSeed runs a scenario in a bubble of its own.
func runRollbackSeed(t *testing.T, seed uint64, scenario RollbackScenario, seededFault SeededFault) RollbackResult {
	t.Helper()
	var got RollbackResult
	// Most seeds have few proxies, for speed; each eighth has as many as a real fleet.
	proxies := 5
	if seed%8 == 0 {
		proxies = 14
	}
	synctest.Test(t, func(*testing.T) { got = RunRollback(seed, scenario, seededFault, proxies) })
	return got
}

// rollbackScenarioNamed returns the scenario of a name.
func rollbackScenarioNamed(t *testing.T, name string) RollbackScenario {
	t.Helper()
	index := slices.IndexFunc(RollbackScenarios, func(scenario RollbackScenario) bool { return scenario.Name == name })
	if index < 0 {
		t.Fatalf("there is no scenario %q", name)
	}
	return RollbackScenarios[index]
}

// TestRollbackGuard checks that the rollback guard stops a bad version within the bounds, however it was introduced and in whatever
// way it is bad, and that it does not stop a healthy one.
func TestRollbackGuard(t *testing.T) {
	for _, scenario := range RollbackScenarios {
		if !strings.Contains(scenario.Name, *rollbackScenarioFilter) {
			continue
		}
		t.Run(scenario.Name, func(t *testing.T) {
			t.Parallel()
			var versionCalls, failedCalls, blockedCalls []int
			var exposureTimes []time.Duration
			rolledBack := 0
			for seed := *rollbackFirstSeed; seed < *rollbackFirstSeed+uint64(*rollbackSeedCount); seed++ {
				got := runRollbackSeed(t, seed, scenario, SeededNone)
				for rule, breaches := range got.Violations {
					t.Errorf("seed %d: %s: %v", seed, rule, breaches)
				}
				versionCalls = append(versionCalls, got.VersionCalls)
				failedCalls = append(failedCalls, got.FailedCalls)
				blockedCalls = append(blockedCalls, got.BlockedCalls)
				exposureTimes = append(exposureTimes, got.ExposureTime)
				if got.RolledBack {
					rolledBack++
				}
			}
			t.Logf("%d seeds: rolled back %d; at most %d calls to the version, %d failures; last call %v after; %d blocked",
				*rollbackSeedCount, rolledBack, slices.Max(versionCalls), slices.Max(failedCalls),
				slices.Max(exposureTimes).Round(time.Millisecond), slices.Max(blockedCalls))
		})
	}
}

// TestRollbackGuardInPartitionedCore checks that a version that fails a tenth of its calls stays within its bound while no part of a split
// core gets enough reports of it. When each part had a rollout controller, this seed let the version go on for 13 s, to 497
// calls of 4229.
func TestRollbackGuardInPartitionedCore(t *testing.T) {
	scenario := rollbackScenarioNamed(t, "by hand, a tenth fails late, the core split")
	if got := runRollbackSeed(t, 15, scenario, SeededNone); len(got.Violations) > 0 {
		t.Errorf("%d of %d calls, the last %v after it turned bad: %v", got.VersionCalls, got.ServiceCalls, got.ExposureTime, got.Violations)
	}
}
