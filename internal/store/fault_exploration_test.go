package store

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var everyStep = flag.Bool("every-step", false, "inject faults before every step of the model instead of every few steps")

var modelSeeds = flag.Int("model-seeds", 800, "number of random sets of faults to run on each size of core")

// modelSize is the size of a model run.
type modelSize struct {
	members int // number of machines at the first start
	losses  int // number of tolerated disk losses
	writes  int // number of writes scheduled
	stride  int // distance between two steps before which faults are injected, unless -every-step is set
}

var (
	threeMembers = modelSize{members: 3, losses: 1, writes: 6, stride: 5}
	fiveMembers  = modelSize{members: 5, losses: 2, writes: 3, stride: 19}
)

// modelInjection injects a fault before a step. drop means that the message of this step is lost.
type modelInjection func(m *model, event *modelEvent) (drop bool)

// runModel runs a core with faults, given by the step before which each is injected, and returns the violations. Steps
// count from 1, which is the first one after the core has been founded.
func runModel(size modelSize, prepare func(*model), faults map[int]modelInjection) []string {
	m := newModel(size.members, size.losses, prepare)
	from := m.steps
	for step, fault := range faults {
		m.faultAt[from+step] = append(m.faultAt[from+step], func(event *modelEvent) bool { return fault(m, event) })
	}
	m.scheduleCalls(size.writes)
	m.runTo(m.now + time.Duration(size.writes)*modelCallInterval)
	return m.recoverAndCheck()
}

// countModelSteps returns the number of steps of a run without faults, up to the end of its writes.
func countModelSteps(t *testing.T, size modelSize) int {
	t.Helper()
	m := newModel(size.members, size.losses, nil)
	from := m.steps
	m.scheduleCalls(size.writes)
	m.runTo(m.now + time.Duration(size.writes)*modelCallInterval)
	steps := m.steps - from
	if violations := m.recoverAndCheck(); len(violations) > 0 {
		t.Fatalf("violations in a run without faults: %v, want none", violations)
	}
	return steps
}

// injectInto returns an injection of a fault into the replica with an index.
func injectInto(fault modelFault, index int) modelInjection {
	return func(m *model, _ *modelEvent) bool {
		fault.inject(m, m.members[index])
		return false
	}
}

// allInjections returns all faults that can be injected before a step, by name.
func allInjections(size modelSize) map[string]modelInjection {
	all := map[string]modelInjection{
		"all lose power":      allLosePower,
		"the message is lost": func(_ *model, event *modelEvent) bool { return event.kind == messageEvent },
	}
	for _, fault := range modelFaults {
		for index := range size.members {
			all[modelName(index)+" "+fault.name] = injectInto(fault, index)
		}
	}
	return all
}

// modelStride returns the distance between two steps before which faults are injected.
func modelStride(size modelSize) int {
	if *everyStep {
		return 1
	}
	return size.stride
}

// Each fault of each replica is injected before messages and writes. In every run the operators' history is linearizable,
// no two members lead in one term or have different states at one sequence, and soon after the fault the core decides
// again and is healthy.
func TestCoreRecoversFromEveryFaultAtEveryStep(t *testing.T) {
	for _, size := range []modelSize{threeMembers, fiveMembers} {
		steps := countModelSteps(t, size)
		for step := 1; step <= steps; step += modelStride(size) {
			t.Run(fmt.Sprintf("%d members, step %d of %d", size.members, step, steps), func(t *testing.T) {
				t.Parallel()
				for name, inject := range allInjections(size) {
					if violations := runModel(size, nil, map[int]modelInjection{step: inject}); len(violations) > 0 {
						t.Errorf("violations after %s: %v, want none", name, violations)
					}
				}
			})
		}
	}
}

// diskLosses are the faults that destroy a disk. A core tolerates another one as soon as the lost replica has caught up.
var diskLosses = []modelFault{{"loses its disk", wipeMember}, {"is replaced", replaceMember}}

// A replica loses its disk or is replaced. After the time to catch up any other one may be lost, and then a third. None
// of these losses violates the checks of the model.
func TestLossAfterRepairIsTolerated(t *testing.T) {
	for _, size := range []modelSize{threeMembers, fiveMembers} {
		for _, first := range diskLosses {
			for _, second := range diskLosses {
				t.Run(fmt.Sprintf("%d members, one %s, then one %s", size.members, first.name, second.name), func(t *testing.T) {
					t.Parallel()
					for index := range size.members {
						for other := range size.members {
							if violations := runModel(size, nil, map[int]modelInjection{20: lossAfterRepair(first, index, second, other)}); len(violations) > 0 {
								t.Errorf("violations after the loss of %s, then %s: %v, want none", modelName(index), modelName(other), violations)
							}
						}
					}
				})
			}
		}
	}
}

// lossAfterRepair loses as many replicas at once as are tolerated, three times. Each time the replicas lost before have
// had the time to catch up.
func lossAfterRepair(first modelFault, index int, second modelFault, other int) modelInjection {
	return func(m *model, _ *modelEvent) bool {
		lose := func(fault modelFault, from int) {
			for loss := range m.losses {
				if members := m.remaining(); len(members) > 0 {
					fault.inject(m, members[(from+loss)%len(members)])
				}
			}
		}
		m.faultsEndAt = m.now + 3*(modelHeartbeatTimeout+modelCatchUpTime)
		lose(first, index)
		m.at(modelHeartbeatTimeout+modelCatchUpTime, nil, ordinaryEvent, func() {
			m.scheduleCalls(1)
			lose(second, other)
		})
		m.at(2*(modelHeartbeatTimeout+modelCatchUpTime), nil, ordinaryEvent, func() {
			m.scheduleCalls(1)
			lose(first, index+1)
		})
		return false
	}
}

const (
	repairFrom  = 15  // the step before which a fault makes a repair necessary
	repairSteps = 120 // the steps below repairFrom + repairSteps are tried for the power loss of all
)

// While a replica is being repaired, all replicas may lose power at any step: that loses no disk, so it is tolerated.
func TestPowerLossOfAllDuringRepairIsTolerated(t *testing.T) {
	for _, size := range []modelSize{threeMembers, fiveMembers} {
		for _, fault := range modelFaults {
			if fault.name != "loses its disk" && fault.name != "is replaced" && fault.name != "is replaced as planned" {
				continue
			}
			t.Run(fmt.Sprintf("%d members, one %s", size.members, fault.name), func(t *testing.T) {
				t.Parallel()
				for index := range size.members {
					for step := repairFrom + 1; step < repairFrom+repairSteps; step += modelStride(size) {
						faults := map[int]modelInjection{repairFrom: injectInto(fault, index), step: allLosePower}
						if violations := runModel(size, nil, faults); len(violations) > 0 {
							t.Errorf("violations after the fault at %s and a power loss of all before step %d: %v, want none",
								modelName(index), step, violations)
						}
					}
				}
			})
		}
	}
}

// Any number of faults may occur at any members, if none of them loses a disk: no acknowledged change is lost, and once
// the faults have ended the core decides again.
func TestRandomFaultsWithoutDiskLossAreTolerated(t *testing.T) {
	for _, size := range []modelSize{threeMembers, fiveMembers} {
		for part := range randomFaultParts {
			t.Run(fmt.Sprintf("%d members, part %d", size.members, part), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(*modelSeeds / randomFaultParts) {
					faults := randomFaultsWithoutLoss(size, seed*randomFaultParts+uint64(part))
					if violations := runModel(size, nil, faults); len(violations) > 0 {
						t.Errorf("violations with the random faults of seed %d: %v, want none", seed*randomFaultParts+uint64(part), violations)
					}
				}
			})
		}
	}
}

// randomFaultParts is the number of parallel subtests that the seeds are divided among.
const randomFaultParts = 8

// randomFaultsWithoutLoss returns up to 8 faults before random steps, none of which loses a disk. They depend only on the
// seed and the number of members.
func randomFaultsWithoutLoss(size modelSize, seed uint64) map[int]modelInjection {
	const maxFaults, lastStep = 8, 300
	rng := rand.New(rand.NewPCG(seed, uint64(size.members)))
	faults := map[int]modelInjection{}
	for range 2 + rng.IntN(maxFaults-1) {
		kind, index, outage := rng.IntN(6), rng.IntN(size.members), time.Duration(rng.Int64N(int64(modelOutage)))
		faults[1+rng.IntN(lastStep)] = func(m *model, event *modelEvent) bool {
			replica := m.members[index]
			m.extendFaults(outage)
			switch kind {
			case 0:
				if replica.up {
					m.powerLoss(replica, int(outage)%2)
					m.restartAfter(replica, outage)
				}
			case 1:
				if replica.up {
					m.powerLoss(replica, int(outage)%2)
					m.restartAfter(replica, modelLinkDelay)
				}
			case 2:
				m.isolateFor(outage, replica, true, true)
			case 3:
				m.isolateFor(outage, replica, int(outage)%2 == 0, int(outage)%2 == 1)
			case 4:
				replica.frozenUntil = m.now + outage
			case 5:
				return event.kind == messageEvent
			}
			return false
		}
	}
	return faults
}

// copiesLost keeps all but the given members from receiving anything for a while. Then the given members, which alone
// have what is written meanwhile, lose their disks.
func copiesLost(wiped ...int) modelInjection {
	return func(m *model, _ *modelEvent) bool {
		for index, replica := range m.members[:min(len(m.members), m.initialMachines)] {
			if !slices.Contains(wiped, index) {
				m.isolate(replica, true, false)
			}
		}
		m.scheduleCalls(4)
		m.at(4*modelCallInterval, nil, ordinaryEvent, func() {
			for _, index := range wiped {
				wipeMember(m, m.members[index])
			}
		})
		return false
	}
}

// If all copies of a change are on disks that are then lost, the change was not acknowledged. A commit quorum that is too
// small, or counts a learner as a member, would acknowledge it.
func TestChangeOnLostDisksWasNotAcknowledged(t *testing.T) {
	for step := 1; step < 60; step += modelStride(threeMembers) {
		for index := range threeMembers.members {
			if violations := runModel(threeMembers, nil, map[int]modelInjection{step: copiesLost(index)}); len(violations) > 0 {
				t.Errorf("violations after the loss of the copies at %s from step %d: %v, want none", modelName(index), step, violations)
			}
			if violations := runModel(threeMembers, nil, map[int]modelInjection{step: withLearner(copiesLost(index))}); len(violations) > 0 {
				t.Errorf("violations after the loss of the copies at %s, beside a learner, from step %d: %v, want none",
					modelName(index), step, violations)
			}
		}
		for index := range fiveMembers.members {
			for other := range index {
				if violations := runModel(fiveMembers, nil, map[int]modelInjection{step: copiesLost(other, index)}); len(violations) > 0 {
					t.Errorf("violations after the loss of the copies at %s and %s from step %d: %v, want none",
						modelName(other), modelName(index), step, violations)
				}
			}
		}
	}
}

// withLearner adds a machine for which the membership has no place, so that it stays a learner, and then injects a fault.
// The machine is removed once the others have recovered.
func withLearner(inject modelInjection) modelInjection {
	return func(m *model, event *modelEvent) bool {
		learner := m.add(modelName(len(m.members)), false)
		m.at(2*modelHeartbeatTimeout, nil, ordinaryEvent, func() {
			inject(m, event)
		})
		m.at(2*modelHeartbeatTimeout+2*modelOutage, nil, ordinaryEvent, func() { m.remove(learner) })
		m.extendFaults(2*modelHeartbeatTimeout + 3*modelOutage)
		return false
	}
}

// lagWipeDown makes one of three replicas lag and another lose its disk, and keeps the third one down while the first
// two are back. Only the third one has what was acknowledged meanwhile.
func lagWipeDown(lagging, wiped, down int) modelInjection {
	return func(m *model, _ *modelEvent) bool {
		m.isolate(m.members[lagging], true, true)
		m.at(2*modelCallInterval, nil, ordinaryEvent, func() { wipeMember(m, m.members[wiped]) })
		m.at(2*modelCallInterval+modelHeartbeatTimeout/2, nil, ordinaryEvent, func() {
			m.powerLoss(m.members[down], 0)
			m.restartAfter(m.members[down], 2*modelOutage)
		})
		return false
	}
}

// The checks of the model detect each seeded fault in some run, and the same run without that fault has no violation.
func TestModelDetectsSeededFaults(t *testing.T) {
	for _, test := range []struct {
		name    string
		size    modelSize
		prepare func(*model)
		runs    func(yield func(string, map[int]modelInjection) bool)
	}{
		{"a read without a majority", threeMembers, withSeededFault(faultLocalRead), eachFault(threeMembers)},
		{"commit by the founders' majority", fiveMembers, withSeededFault(faultFoundersQuorum), eachLossOfCopies(fiveMembers)},
		{"learners are counted", threeMembers, withSeededFault(faultCountLearners), eachLossOfCopies(threeMembers)},
		{"a leader with a stale state", threeMembers, withSeededFault(faultStaleLeader), eachFault(threeMembers)},
		{"entries are acknowledged before they are durable", threeMembers, withSeededFault(faultEarlyAcknowledgement), eachFault(threeMembers)},
		{"an empty folder counts as the lost one", threeMembers, func(m *model) { m.reusesIncarnation = true }, eachLagWipeDown(threeMembers)},
		{"a discarded entry makes a member", threeMembers, withSeededFault(faultIgnoresExclusion), eachPowerLossDuringRepair(threeMembers)},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			runs := 0
			for name, faults := range test.runs {
				runs++
				violations := runModel(test.size, test.prepare, faults)
				if len(violations) == 0 {
					continue
				}
				t.Logf("the seeded fault is detected in run %d, %s: %s", runs, name, violations[0])
				if withoutFault := runModel(test.size, nil, faults); len(withoutFault) > 0 {
					t.Errorf("violations in run %s without the seeded fault: %v, want none", name, withoutFault)
				}
				return
			}
			t.Errorf("the seeded fault is not detected in %d runs, want a violation in one", runs)
		})
	}
}

// withSeededFault returns a prepare function for newModel that seeds a fault in every replica.
func withSeededFault(fault seededFault) func(*model) { return func(m *model) { m.seededFault = fault } }

// seededFaultSteps is the number of steps before which faults are injected to detect a seeded fault.
const seededFaultSteps = 100

// eachFault yields runs with every fault before every step, with their names.
func eachFault(size modelSize) func(yield func(string, map[int]modelInjection) bool) {
	return func(yield func(string, map[int]modelInjection) bool) {
		all := allInjections(size)
		for step := range seededFaultSteps {
			for _, name := range slices.Sorted(maps.Keys(all)) {
				if !yield(fmt.Sprint(name, " before step ", step+1), map[int]modelInjection{step + 1: all[name]}) {
					return
				}
			}
		}
	}
}

// eachLossOfCopies yields runs of copiesLost with as many members as losses are tolerated, without a learner and with
// one.
func eachLossOfCopies(size modelSize) func(yield func(string, map[int]modelInjection) bool) {
	return func(yield func(string, map[int]modelInjection) bool) {
		for step := 1; step < seededFaultSteps; step++ {
			for index := range size.members {
				wiped := []int{index, (index + 1) % size.members}[:size.losses]
				if !yield(fmt.Sprint(wiped, " before step ", step), map[int]modelInjection{step: copiesLost(wiped...)}) ||
					!yield(fmt.Sprint(wiped, " and a learner, before step ", step), map[int]modelInjection{step: withLearner(copiesLost(wiped...))}) {
					return
				}
			}
		}
	}
}

// eachLagWipeDown yields runs of lagWipeDown with every order of three members.
func eachLagWipeDown(size modelSize) func(yield func(string, map[int]modelInjection) bool) {
	return func(yield func(string, map[int]modelInjection) bool) {
		for step := 1; step < seededFaultSteps; step++ {
			for lagging := range size.members {
				for wiped := range size.members {
					down := size.members - lagging - wiped
					if lagging == wiped {
						continue
					}
					faults := map[int]modelInjection{step: lagWipeDown(lagging, wiped, down)}
					if !yield(fmt.Sprint(lagging, wiped, down, " before step ", step), faults) {
						return
					}
				}
			}
		}
	}
}

// eachPowerLossDuringRepair yields the runs of TestPowerLossOfAllDuringRepairIsTolerated with a lost disk, at every step.
func eachPowerLossDuringRepair(size modelSize) func(yield func(string, map[int]modelInjection) bool) {
	return func(yield func(string, map[int]modelInjection) bool) {
		for index := range size.members {
			for step := repairFrom + 1; step < repairFrom+repairSteps; step++ {
				faults := map[int]modelInjection{repairFrom: injectInto(modelFault{inject: wipeMember}, index), step: allLosePower}
				if !yield(fmt.Sprint(modelName(index), ", all lose power before step ", step), faults) {
					return
				}
			}
		}
	}
}

// allLosePower is model.allLosePower as a modelInjection.
func allLosePower(m *model, _ *modelEvent) bool {
	m.allLosePower()
	return false
}
