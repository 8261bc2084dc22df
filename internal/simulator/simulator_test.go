package simulator

import (
	"flag"
	"fmt"
	"slices"
	"sort"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

var (
	seedCount       = flag.Int("seeds", 40, "number of mesh seeds to run")
	cancelSeedCount = flag.Int("leaving-seeds", 6, "number of seeds to run with callers that cancel")
	firstSeed       = flag.Uint64("first", 1, "first seed of a mesh or a core; with -seeds 1 it replays one mesh seed")
	harmlessOnly    = flag.Bool("free", false, "inject only faults that must not cause rejected calls, one at a time")
)

// runMeshSeed runs a seed of a mesh in a synctest bubble of its own and returns its history.
func runMeshSeed(t *testing.T, seed uint64, seededFault SeededFault, options Options) *History {
	t.Helper()
	var history *History
	synctest.Test(t, func(*testing.T) { history = RunMesh(seed, seededFault, options).History })
	return history
}

// violationKinds returns the kinds of violation that were found, sorted.
func (h *History) violationKinds() []string {
	var kinds []string
	for kind := range h.Violations {
		kinds = append(kinds, kind)
	}
	sort.Strings(kinds)
	return kinds
}

// maxShrunkFaults is the number of faults of a seed that shrink tries to leave out.
const maxShrunkFaults = 48

// shrink returns options that skip the faults without which the seed still has a violation of the same kind. It tries
// them one after another.
func shrink(t *testing.T, seed uint64, seededFault SeededFault, options Options, kind string) Options {
	t.Helper()
	for index := range maxShrunkFaults {
		without := options
		without.SkipFaults = map[int]bool{index: true}
		for skipped := range options.SkipFaults {
			without.SkipFaults[skipped] = true
		}
		if len(runMeshSeed(t, seed, seededFault, without).Violations[kind]) > 0 {
			options = without
		}
	}
	return options
}

// runMeshSeeds runs consecutive seeds in parallel, as subtests of "all". It fails the subtest of a seed with
// violations, and returns the sum of the totals of all seeds.
func runMeshSeeds(t *testing.T, first uint64, count int, options Options) *History {
	t.Helper()
	sum := &History{Rejections: map[string]int{}}
	var lock sync.Mutex
	t.Run("all", func(t *testing.T) {
		for seed := first; seed < first+uint64(count); seed++ {
			t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
				t.Parallel()
				h := runMeshSeed(t, seed, SeededNone, options)
				lock.Lock()
				sum.add(h)
				lock.Unlock()
				h.report(t, seed, options)
			})
		}
	})
	return sum
}

// TestMeshSeeds checks that the faults of no seed violate an invariant.
func TestMeshSeeds(t *testing.T) {
	sum := runMeshSeeds(t, *firstSeed, *seedCount, Options{HarmlessFaultsOnly: *harmlessOnly})
	// The invariants say nothing about seeds in which little happens.
	if sum.Answered < 500**seedCount || sum.Acknowledgements < 5**seedCount {
		t.Errorf("in %d seeds: %d answered attempts, want at least %d; %d acknowledged changes, want at least %d",
			*seedCount, sum.Answered, 500**seedCount, sum.Acknowledgements, 5**seedCount)
	}
	if sum.Purges == 0 {
		t.Errorf("in %d seeds: got no purge of tombstones, want at least one", *seedCount)
	}
	t.Logf("%d seeds: %s", *seedCount, sum.summary())
}

// TestServeStaleSeeds checks that the faults of no seed violate an invariant with Options.ServeStale. The invariants
// on fresh configuration then apply only to well-connected proxies, so these must make at least a tenth of the
// decisions.
func TestServeStaleSeeds(t *testing.T) {
	sum := runMeshSeeds(t, *firstSeed, *seedCount, Options{ServeStale: true, HarmlessFaultsOnly: *harmlessOnly})
	if sum.Answered < 500**seedCount || sum.Acknowledgements < 5**seedCount || sum.WellConnectedDecisions < sum.Decisions/10 {
		t.Errorf("in %d seeds: %d answered attempts, want at least %d; %d acknowledged changes, want at least %d; "+
			"%d of %d decisions by well-connected proxies, want at least a tenth",
			*seedCount, sum.Answered, 500**seedCount, sum.Acknowledgements, 5**seedCount, sum.WellConnectedDecisions, sum.Decisions)
	}
	t.Logf("%d seeds, %d of %d decisions by well-connected proxies: %s", *seedCount, sum.WellConnectedDecisions, sum.Decisions, sum.summary())
}

// TestCallerCancellation checks the invariants with callers that cancel while their calls wait or run. Only without
// faults does it check that workers stop in time after a cancellation.
func TestCallerCancellation(t *testing.T) {
	for name, options := range map[string]Options{
		"no faults": {
			NoFaults:         true,
			CallerCancelRate: 0.3,
			MeanServiceTime:  100 * time.Millisecond,
			FaultyDuration:   20 * time.Second,
		},
		"all faults": {CallerCancelRate: 0.3, MeanServiceTime: 100 * time.Millisecond, FaultyDuration: 30 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := *firstSeed; seed < *firstSeed+uint64(*cancelSeedCount); seed++ {
				t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
					t.Parallel()
					h := runMeshSeed(t, seed, SeededNone, options)
					for _, kind := range h.violationKinds() {
						t.Errorf("seed %d: %s: %s", seed, kind, strings.Join(h.Violations[kind], "\n\t"))
					}
					if h.CancelledCalls < 20 || h.Disconnects.Canceled+h.Disconnects.Dequeued == 0 || h.Disconnects.RanToEnd == 0 {
						t.Errorf("seed %d: %d cancelled attempts, want at least 20; disconnects %+v, want RanToEnd above 0, and Canceled or Dequeued above 0",
							seed, h.CancelledCalls, h.Disconnects)
					}
					t.Logf("%d of %d attempts cancelled; disconnects: %+v", h.CancelledCalls, h.Attempts, h.Disconnects)
				})
			}
		})
	}
}

// report fails a test with the violations of a seed. It logs how to replay the seed, and the faults that the first
// kind of violation needs.
func (h *History) report(t *testing.T, seed uint64, options Options) {
	t.Helper()
	for _, kind := range h.violationKinds() {
		t.Errorf("seed %d: %s: %s", seed, kind, strings.Join(h.Violations[kind], "\n\t"))
	}
	if len(h.Violations) == 0 {
		return
	}
	test := map[bool]string{false: "TestMeshSeeds", true: "TestServeStaleSeeds"}[options.ServeStale]
	t.Logf("replay: go test ./internal/simulator -run '%s$' -seeds 1 -first %d -free=%v -v", test, seed, options.HarmlessFaultsOnly)
	least := shrink(t, seed, SeededNone, options, h.violationKinds()[0])
	shrunk := runMeshSeed(t, seed, SeededNone, least)
	t.Logf("faults needed for %q: %s", h.violationKinds()[0], shrunk.faultNames())
}

// faultNames lists the faults of a run with the virtual times at which they began and ended.
func (h *History) faultNames() string {
	var names []string
	for _, record := range h.world.faults {
		names = append(names, fmt.Sprintf("%s (%v to %v)", record.name, record.startedAt, record.endedAt))
	}
	return strings.Join(names, "; ")
}

// add adds the totals of another run to those of h.
func (h *History) add(other *History) {
	h.Attempts += other.Attempts
	h.Answered += other.Answered
	h.WorkerRuns += other.WorkerRuns
	h.AnsweredRetries += other.AnsweredRetries
	h.Acknowledgements += other.Acknowledgements
	h.RefusedChanges += other.RefusedChanges
	h.Decisions += other.Decisions
	h.WellConnectedDecisions += other.WellConnectedDecisions
	h.Unsent += other.Unsent
	h.BlockedCalls += other.BlockedCalls
	h.MaxTombstones = max(h.MaxTombstones, other.MaxTombstones)
	h.Purges += other.Purges
	for cause, count := range other.Rejections {
		h.Rejections[cause] += count
	}
}

// summary describes the totals of a run.
func (h *History) summary() string {
	var rejections []string
	for cause, count := range h.Rejections {
		rejections = append(rejections, fmt.Sprintf("%s %d", cause, count))
	}
	slices.Sort(rejections)
	const format = "%d attempts, %d answered, %d of them retries, %d unsent, %d with a blocked version; " +
		"%d changes acknowledged, %d refused; at most %d tombstones, %d purges; rejected attempts:\n\t%s"
	return fmt.Sprintf(format, h.Attempts, h.Answered, h.AnsweredRetries, h.Unsent, h.BlockedCalls, h.Acknowledgements,
		h.RefusedChanges, h.MaxTombstones, h.Purges, strings.Join(rejections, "\n\t"))
}

// TestHarmlessFaultsRejectNoCall checks that no call is rejected because of a fault that must not cause rejections.
// These are draining and replacing workers, graceful restarts, a single core host that is lost, frozen, slow or back
// with an empty disk, many changes, a growing configuration, and invalid and racing changes.
func TestHarmlessFaultsRejectNoCall(t *testing.T) {
	sum := runMeshSeeds(t, 1, harmlessSeedCount, Options{HarmlessFaultsOnly: true})
	if len(sum.Rejections) > 0 || sum.Answered < 500*harmlessSeedCount {
		t.Errorf("%d seeds with harmless faults: got %s\nwant no rejected attempt and at least %d answered ones",
			harmlessSeedCount, sum.summary(), 500*harmlessSeedCount)
	}
}

// harmlessSeedCount is the number of seeds that TestHarmlessFaultsRejectNoCall runs.
const harmlessSeedCount = 16

// TestRegressionSeeds runs seeds that once found a defect:
//
//   - 10404: a call was rejected as VERSION_NOT_ALLOWED, because its proxy did not wait long enough for the
//     configuration that the worker's proxy already had. TestNewerConfigElsewhere in internal/dispatch tests the same.
//   - 10080, 10167, 10209: goroutines that remained from the calls of a killed proxy still had an effect. This was a
//     defect of the simulator.
//   - 10609: two proxies restarted gracefully at the same time, and with them every worker of a service.
//
// What a seed draws changes with the list of Faults, so each cause also has a test of its own.
func TestRegressionSeeds(t *testing.T) {
	for _, seed := range []uint64{10080, 10167, 10209, 10404, 10609} {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			runMeshSeed(t, seed, SeededNone, Options{}).report(t, seed, Options{})
		})
	}
}

// TestSeedReplaysExactly checks that two runs of a seed have the same events at the same times and the same totals.
func TestSeedReplaysExactly(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			first := runMeshSeed(t, seed, SeededNone, Options{})
			second := runMeshSeed(t, seed, SeededNone, Options{})
			if first.EventHash != second.EventHash || first.summary() != second.summary() {
				t.Errorf("two runs of seed %d differ:\nfirst  hash %x, %s\nsecond hash %x, %s", seed, first.EventHash, first.summary(), second.EventHash, second.summary())
			}
		})
	}
}

// seededFaultSeedCount is the number of seeds in which a seeded fault must be detected at least once.
const seededFaultSeedCount = 40

// TestSeededFaults checks that the checks of the simulator detect each seeded fault in at least one of a few seeds.
func TestSeededFaults(t *testing.T) {
	diskAndLinkFaults := []string{"seat loses its disk", "core split one from two", "a core machine cut off one way", "slow links"}
	proxyFaults := []string{"proxy killed", "a herd of proxies killed", "lossy links", "edge machine frozen"}
	for _, test := range []struct {
		seededFault SeededFault
		want        []string // kinds of violation, of which one must be found
		options     Options
	}{
		{SeededEarlyAcknowledgement, []string{ViolationStaleConfig}, Options{}},
		{SeededLeaseNeverExpires, []string{ViolationStaleConfig}, Options{}},
		{SeededSyncedWritesLost, []string{ViolationAcknowledgedLost, ViolationDivergedState, ViolationStaleConfig}, Options{
			OnlyFaults:     []string{corePowerLoss},
			CallRate:       1,
			ChangeInterval: 300 * time.Millisecond,
		}},
		{SeededWipedMemberInQuorum, []string{ViolationAcknowledgedLost, ViolationDivergedState, ViolationStaleConfig}, Options{
			OnlyFaults:     diskAndLinkFaults,
			CallRate:       1,
			FaultyDuration: 3 * time.Minute,
			ChangeInterval: 300 * time.Millisecond,
		}},
		{SeededPartialChange, []string{ViolationInvalidConfig}, Options{}},
		{SeededYoungRegistryGrants, []string{ViolationStaleConfig, ViolationRevisionDecreased}, Options{
			OnlyFaults:     []string{"registry restarts", "core cut off from some proxies"},
			ChangeInterval: 200 * time.Millisecond,
			FaultyDuration: 2 * time.Minute,
		}},
		{SeededAdmitsBeforeLease, []string{ViolationRevisionDecreased, ViolationStaleConfig}, Options{}},
		{SeededNoRecovery, []string{ViolationRecoveryTime}, Options{}},
		{SeededNoKeyReservation, []string{ViolationRanTwice}, Options{OnlyFaults: proxyFaults}},
		{SeededReservationsForgotten, []string{ViolationRanTwice}, Options{
			OnlyFaults:     append([]string{"registry restarts"}, proxyFaults...),
			CallRate:       60,
			FaultyDuration: 3 * time.Minute,
		}},
		{SeededConnectionLostAsConnectFailed, []string{ViolationNotExecutedRan}, Options{OnlyFaults: proxyFaults}},
		{SeededNoDuplicateDetection, []string{ViolationRanTwice}, Options{OnlyFaults: []string{"links that repeat"}}},
		{SeededDeltaAfterPurge, []string{ViolationDivergedState}, Options{
			OnlyFaults:     []string{"edge machine frozen", "edge machine cut off", "core cut off from some proxies"},
			ChangeInterval: 300 * time.Millisecond,
		}},
		{SeededStaleFeedReply, []string{ViolationDivergedState}, Options{
			OnlyFaults:     []string{"proxy killed", "a herd of proxies killed", "proxy restarted politely", "slow links"},
			ChangeInterval: 300 * time.Millisecond,
			CallRate:       1,
		}},
		{SeededTokenIgnored, []string{ViolationUnauthorizedRun}, Options{OnlyFaults: []string{"worker killed, its address another's"}}},
		{SeededDrainIgnored, []string{ViolationCallAfterDrain}, Options{OnlyFaults: []string{"worker drained, and goes later"}}},
		{SeededAnyCallerAccepted, []string{ViolationUnauthorizedRun}, Options{NoFaults: true}},
		{SeededCancelNotPropagated, []string{ViolationRunAfterCancel}, Options{
			NoFaults:         true,
			CallerCancelRate: 0.3,
			MeanServiceTime:  300 * time.Millisecond,
		}},
		{SeededForgedChecksum, []string{ViolationWrongResponse}, Options{OnlyFaults: []string{"links that alter"}}},
		{SeededNoRetryBudget, []string{ViolationRetryBudget}, Options{OnlyFaults: proxyFaults, RetryFloor: 5}},
		{SeededNoAuthorization, []string{ViolationDisallowedCall}, Options{NoFaults: true}},
		{SeededSpuriousConnectFailed, []string{ViolationCauselessRejection}, Options{HarmlessFaultsOnly: true}},
		{SeededNoRegistryFailover, []string{ViolationStaleConfig}, Options{
			ServeStale:     true,
			OnlyFaults:     []string{"core split one from two", "a core machine cut off one way"},
			ChangeInterval: 300 * time.Millisecond,
		}},
	} {
		t.Run(string(test.seededFault), func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= seededFaultSeedCount; seed++ {
				h := runMeshSeed(t, seed, test.seededFault, test.options)
				for _, kind := range test.want {
					if len(h.Violations[kind]) > 0 {
						t.Logf("seed %d: %s: %s", seed, kind, h.Violations[kind][0])
						return
					}
				}
			}
			t.Errorf("seeds 1 to %d with the fault %q: got no violation of the kinds %q, want at least one",
				seededFaultSeedCount, test.seededFault, test.want)
		})
	}
	want := []string{ViolationBadVersionExposure, ViolationHealthyRolledBack}
	for seededFault, scenarioName := range map[SeededFault]string{
		SeededFailuresIgnored:    "bad late, at a high percentage",
		SeededAlwaysHealthy:      "weighted flag at 100 %, bad late, core partitioned",
		SeededOversensitiveGuard: "0.5 % of calls fail",
	} {
		t.Run(string(seededFault), func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= seededFaultSeedCount; seed++ {
				got := runRollbackSeed(t, seed, rollbackScenarioNamed(t, scenarioName), seededFault)
				for _, kind := range want {
					if len(got.Violations[kind]) > 0 {
						t.Logf("seed %d: %s: %s", seed, kind, got.Violations[kind][0])
						return
					}
				}
			}
			t.Errorf("seeds 1 to %d of scenario %q with the fault %q: got no violation of the kinds %q, want at least one",
				seededFaultSeedCount, scenarioName, seededFault, want)
		})
	}
}
