package simulator

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
)

var coreSeedCount = flag.Int("core-seeds", 20, "how many seeds of a core alone to run, of each size")

// runCoreSeed runs a seed of a core in a bubble of its own.
func runCoreSeed(t *testing.T, seed uint64, seededFault SeededFault, options CoreOptions) *CoreWorld {
	t.Helper()
	var w *CoreWorld
	synctest.Test(t, func(*testing.T) { w = RunCore(seed, seededFault, options) })
	return w
}

// coreSizes are the sizes of core that the product supports, and how many members of each may be lost at once.
var coreSizes = []CoreOptions{{Members: 3, MaxLosses: 1}, {Members: 5, MaxLosses: 2}}

// TestCoreSeeds checks that while no more members are lost at once than the core promises to survive, nothing acknowledged is
// lost, no operator version decreases, and the core is complete again in time.
func TestCoreSeeds(t *testing.T) {
	for _, options := range coreSizes {
		t.Run(fmt.Sprint(options.Members, " seats"), func(t *testing.T) {
			for seed := *firstSeed; seed < *firstSeed+uint64(*coreSeedCount); seed++ {
				t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
					t.Parallel()
					w := runCoreSeed(t, seed, SeededNone, options)
					for rule, breaches := range w.History.Violations {
						t.Errorf("seed %d: %s: %v", seed, rule, breaches)
					}
					if w.Acknowledgements < 20 || w.Reads < 5 {
						t.Errorf("only %d acknowledged and %d reads", w.Acknowledgements, w.Reads)
					}
				})
			}
		})
	}
}

// TestCoreSeededFaults checks that each check of a core detects the fault that it is there for, in one of a few seeds.
func TestCoreSeededFaults(t *testing.T) {
	for _, test := range []struct {
		seededFault SeededFault
		rules       []string
		onlyFaults  []string
		options     CoreOptions
	}{
		{
			SeededWipedMemberInQuorum,
			[]string{ViolationOperatorVersionLost, ViolationDivergedState},
			[]string{"disk lost right after a yes", "one cut off"},
			coreSizes[0],
		},
		{
			SeededSyncedWritesLost,
			[]string{ViolationOperatorVersionLost, ViolationDivergedState},
			[]string{"all lose power", "all lose power, and some their disks"},
			coreSizes[0],
		},
		{SeededUncommittedAcknowledgement, []string{ViolationOperatorVersionLost}, []string{"power lost", "disk lost", "one cut off"}, coreSizes[0]},
		{SeededOperatorVersionsIgnored, []string{ViolationOperatorVersionLost, ViolationContentMismatch}, nil, coreSizes[0]},
		{SeededNoTombstones, []string{ViolationOperatorVersionLost, ViolationContentMismatch}, nil, coreSizes[0]},
		{SeededStaleRead, []string{ViolationNotLinearizable}, []string{"one cut off", "split in two", "machine frozen"}, coreSizes[0]},
		{SeededConflictAccepted, []string{ViolationNotLinearizable}, nil, coreSizes[0]},
		{SeededNoReplacement, []string{ViolationCoreIncomplete, ViolationSlowAcknowledgement}, []string{"machine replaced"}, coreSizes[0]},
	} {
		t.Run(fmt.Sprint(test.seededFault, ", ", test.options.Members, " seats"), func(t *testing.T) {
			t.Parallel()
			options := test.options
			options.OnlyFaults = test.onlyFaults
			for seed := uint64(1); seed <= seededFaultSeedCount; seed++ {
				w := runCoreSeed(t, seed, test.seededFault, options)
				for _, rule := range test.rules {
					if len(w.History.Violations[rule]) > 0 {
						t.Logf("seed %d: %s: %s", seed, rule, w.History.Violations[rule][0])
						return
					}
				}
			}
			t.Errorf("no seed breaches any of %v", test.rules)
		})
	}
}
