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
	rollbackSeedCount      = flag.Int("brake-seeds", 1, "how many seeds to run for each kind of version")
	rollbackFirstSeed      = flag.Uint64("brake-first", 1, "the first of them")
	rollbackScenarioFilter = flag.String("brake-kind", "", "only kinds whose name holds this")
)

func runRollbackSeed(t *testing.T, seed uint64, scenario RollbackScenario, seededFault SeededFault) RollbackResult {
	t.Helper()
	var got RollbackResult
	// Most seeds have few proxies, for speed; each eighth has as many as a whole fleet.
	proxies := 5
	if seed%8 == 0 {
		proxies = 14
	}
	synctest.Test(t, func(*testing.T) { got = RunRollback(seed, scenario, seededFault, proxies) })
	return got
}

// A bad version is stopped within the bounds, exactly, in each way of coming in and of being
// bad; a sound one is not.
func TestBrake(t *testing.T) {
	for _, kind := range RollbackScenarios {
		if !strings.Contains(kind.Name, *rollbackScenarioFilter) {
			continue
		}
		t.Run(kind.Name, func(t *testing.T) {
			t.Parallel()
			var its, failed, held []int
			var took []time.Duration
			back := 0
			for seed := *rollbackFirstSeed; seed < *rollbackFirstSeed+uint64(*rollbackSeedCount); seed++ {
				got := runRollbackSeed(t, seed, kind, SeededNone)
				for rule, breaches := range got.Breaches {
					t.Errorf("seed %d: %s: %v", seed, rule, breaches)
				}
				its, failed, held, took = append(its, got.VersionCalls), append(failed, got.FailedCalls), append(held, got.BlockedCalls), append(took, got.ExposureTime)
				if got.RolledBack {
					back++
				}
			}
			t.Logf("%d seeds: turned back %d; calls to it at most %d, failures %d; last call %v after; held %d",
				*rollbackSeedCount, back, slices.Max(its), slices.Max(failed), slices.Max(took).Round(time.Millisecond),
				slices.Max(held))
		})
	}
}

// A version of which a tenth fails stays within its bound while no part of the core hears enough of
// it: with a duty in each part this seed let it go on for 13 s, to 497 calls of 4229.
func TestBrakeInSplitCore(t *testing.T) {
	place := slices.IndexFunc(RollbackScenarios, func(kind RollbackScenario) bool { return kind.Name == "by hand, a tenth fails late, the core split" })
	if got := runRollbackSeed(t, 15, RollbackScenarios[place], SeededNone); len(got.Breaches) > 0 {
		t.Errorf("%d of %d calls, the last %v after it turned bad: %v", got.VersionCalls, got.ServiceCalls, got.ExposureTime, got.Breaches)
	}
}
