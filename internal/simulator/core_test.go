package simulator

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
)

var (
	coreSeedCount       = flag.Int("core-seeds", 20, "number of seeds to run for each size of a core without a mesh")
	copiedCallSeedCount = flag.Int("copied-call-seeds", 6, "number of seeds with calls in copies to run for each size of a core without a mesh")
)

// runCoreSeed runs a seed of a core without a mesh in a synctest bubble of its own.
func runCoreSeed(t *testing.T, seed uint64, seededFault SeededFault, options CoreOptions) *CoreWorld {
	t.Helper()
	var w *CoreWorld
	synctest.Test(t, func(*testing.T) { w = RunCore(seed, seededFault, options) })
	return w
}

// coreSizes lists the supported sizes of a core, with the number of members that each must survive losing at once.
var coreSizes = []CoreOptions{{Members: 3, MaxLosses: 1}, {Members: 5, MaxLosses: 2}}

// runCoreSeeds runs seedCount seeds for each size of a core, from the first one of the command line on, and reports the
// violations. check reports what else is wrong with a run.
func runCoreSeeds(t *testing.T, seedCount int, copiedCalls bool, check func(t *testing.T, seed uint64, w *CoreWorld)) {
	t.Helper()
	for _, options := range coreSizes {
		options.CopiedCalls = copiedCalls
		t.Run(fmt.Sprint(options.Members, " members"), func(t *testing.T) {
			for seed := *firstSeed; seed < *firstSeed+uint64(seedCount); seed++ {
				t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
					t.Parallel()
					w := runCoreSeed(t, seed, SeededNone, options)
					for kind, violations := range w.History.Violations {
						t.Errorf("seed %d: %s: %v", seed, kind, violations)
					}
					check(t, seed, w)
				})
			}
		})
	}
}

// TestCoreSeeds checks the invariants of a core while no more members are lost at once than it must survive. Nothing
// acknowledged may be lost, no operator version may decrease, and the core must be complete again in time.
func TestCoreSeeds(t *testing.T) {
	runCoreSeeds(t, *coreSeedCount, false, func(t *testing.T, seed uint64, w *CoreWorld) {
		t.Helper()
		if w.Acknowledgements < 20 || w.Reads < 5 {
			t.Errorf("seed %d: %d acknowledged changes, want at least 20; %d reads, want at least 5", seed, w.Acknowledgements, w.Reads)
		}
	})
}

// TestRefusedCallsHaveNoLateEffect checks the invariants of a core whose operators send calls in copies, some of which
// arrive after the call was refused: at a member that was frozen, cut off or restarted, or under another leader. A copy
// must get the ruling of the call, and the items of a refused call must never be in force.
func TestRefusedCallsHaveNoLateEffect(t *testing.T) {
	runCoreSeeds(t, *copiedCallSeedCount, true, func(t *testing.T, seed uint64, w *CoreWorld) {
		t.Helper()
		if w.RefusedCalls < 5 || w.LateCopies < 5 {
			t.Errorf("seed %d: %d refused calls and %d late copies, want at least 5 of each", seed, w.RefusedCalls, w.LateCopies)
		}
	})
}

// TestCoreSeededFaults checks that the checks of a core detect each seeded fault in at least one of a few seeds.
func TestCoreSeededFaults(t *testing.T) {
	for _, test := range []struct {
		seededFault SeededFault
		want        []string // kinds of violation, of which one must be found
		onlyFaults  []string
		options     CoreOptions
	}{
		{
			SeededWipedMemberInQuorum,
			[]string{ViolationOperatorVersionLost, ViolationDivergedState},
			[]string{"disk lost right after an acknowledgement", "one member isolated"},
			coreSizes[0],
		},
		{
			SeededSyncedWritesLost,
			[]string{ViolationOperatorVersionLost, ViolationDivergedState},
			[]string{"all lose power", "all lose power, and some their disks"},
			coreSizes[0],
		},
		{SeededUncommittedAcknowledgement, []string{ViolationOperatorVersionLost}, []string{"power lost", "disk lost", "one member isolated"}, coreSizes[0]},
		{SeededOperatorVersionsIgnored, []string{ViolationOperatorVersionLost, ViolationContentMismatch}, nil, coreSizes[0]},
		{SeededNoTombstones, []string{ViolationOperatorVersionLost, ViolationContentMismatch}, nil, coreSizes[0]},
		{SeededStaleRead, []string{ViolationNotLinearizable}, []string{"one member isolated", "core split in two", "member frozen"}, coreSizes[0]},
		{SeededConflictAccepted, []string{ViolationNotLinearizable}, nil, coreSizes[0]},
		{
			SeededCopiesDecidedAnew,
			[]string{ViolationInvalidConfig},
			nil,
			CoreOptions{Members: 3, MaxLosses: 1, CopiedCalls: true},
		},
		{SeededNoReplacement, []string{ViolationCoreIncomplete, ViolationSlowAcknowledgement}, []string{"member replaced"}, coreSizes[0]},
	} {
		t.Run(fmt.Sprint(test.seededFault, ", ", test.options.Members, " members"), func(t *testing.T) {
			t.Parallel()
			options := test.options
			options.OnlyFaults = test.onlyFaults
			for seed := uint64(1); seed <= seededFaultSeedCount; seed++ {
				w := runCoreSeed(t, seed, test.seededFault, options)
				for _, kind := range test.want {
					if len(w.History.Violations[kind]) > 0 {
						t.Logf("seed %d: %s: %s", seed, kind, w.History.Violations[kind][0])
						return
					}
				}
			}
			t.Errorf("seeds 1 to %d with the fault %q: got no violation of the kinds %q, want at least one",
				seededFaultSeedCount, test.seededFault, test.want)
		})
	}
}
