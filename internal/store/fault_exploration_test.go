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

var everyStep = flag.Bool("every-step", false, "explore a fault before every step of the model, not before some of them")

var modelSeeds = flag.Int("model-seeds", 800, "how many drawn sets of faults to play on each size of core")

// modelSize is a core to explore: its members, the tolerated losses, the writes of a run, and the stride between the
// steps before which a fault strikes, unless every one is asked for.
type modelSize struct{ members, losses, writes, stride int }

var (
	three = modelSize{members: 3, losses: 1, writes: 6, stride: 5}
	five  = modelSize{members: 5, losses: 2, writes: 3, stride: 19}
)

// modelStrike is a fault that strikes before a step; drop means that the step's message is lost.
type modelStrike func(m *model, event *modelEvent) (drop bool)

// modelRun runs a core with faults, by the step before which each strikes, and returns the verdict.
func modelRun(size modelSize, prepare func(*model), faults map[int]modelStrike) []string {
	m := newModel(size.members, size.losses, prepare)
	from := m.steps
	for step, fault := range faults {
		m.faultAt[from+step] = append(m.faultAt[from+step], func(event *modelEvent) bool { return fault(m, event) })
	}
	m.operate(size.writes)
	m.runTo(m.now + time.Duration(size.writes)*modelCallInterval)
	return m.verdict()
}

// modelSteps counts the steps of a run without faults, up to the end of its writes.
func modelSteps(t *testing.T, size modelSize) int {
	t.Helper()
	m := newModel(size.members, size.losses, nil)
	from := m.steps
	m.operate(size.writes)
	m.runTo(m.now + time.Duration(size.writes)*modelCallInterval)
	steps := m.steps - from
	if breaches := m.verdict(); len(breaches) > 0 {
		t.Fatalf("without a fault: %v", breaches)
	}
	return steps
}

// strikeMember is a fault that strikes one replica.
func strikeMember(fault modelFault, index int) modelStrike {
	return func(m *model, _ *modelEvent) bool {
		fault.strike(m, m.members[index])
		return false
	}
}

// strikes are all faults that can strike before a step, by name.
func strikes(size modelSize) map[string]modelStrike {
	all := map[string]modelStrike{
		"all lose power":      allLosePower,
		"the message is lost": func(_ *model, event *modelEvent) bool { return event.kind == messageEvent },
	}
	for _, fault := range modelFaults {
		for index := range size.members {
			all[modelName(index)+" "+fault.name] = strikeMember(fault, index)
		}
	}
	return all
}

// modelStride is the distance between two steps that are explored.
func modelStride(size modelSize) int {
	if *everyStep {
		return 1
	}
	return size.stride
}

// Any fault of any replica, before any message or write: the operators' history is linearizable, no two members lead in
// one term or have different states at one sequence, and soon after the fault the core decides again and is healthy.
func TestEveryFaultAtEveryStep(t *testing.T) {
	for _, size := range []modelSize{three, five} {
		steps := modelSteps(t, size)
		for step := 1; step <= steps; step += modelStride(size) {
			t.Run(fmt.Sprintf("%d members, step %d of %d", size.members, step, steps), func(t *testing.T) {
				t.Parallel()
				for name, strike := range strikes(size) {
					if breaches := modelRun(size, nil, map[int]modelStrike{step: strike}); len(breaches) > 0 {
						t.Errorf("%s: %v", name, breaches)
					}
				}
			})
		}
	}
}

// secondLosses are the faults that a core tolerates again as soon as a lost replica has caught up.
var secondLosses = []modelFault{{"loses its disk", wipeMember}, {"is replaced", replaceMember}}

// A replica is lost for good or with its disk and is repaired; after the time to catch up any other one may be lost, and
// then a third.
func TestLossAfterRepair(t *testing.T) {
	for _, size := range []modelSize{three, five} {
		for _, first := range secondLosses {
			for _, second := range secondLosses {
				t.Run(fmt.Sprintf("%d members, one %s, then one %s", size.members, first.name, second.name), func(t *testing.T) {
					t.Parallel()
					for index := range size.members {
						for other := range size.members {
							if breaches := modelRun(size, nil, map[int]modelStrike{20: lossAfterRepair(first, index, second, other)}); len(breaches) > 0 {
								t.Errorf("%s, then %s: %v", modelName(index), modelName(other), breaches)
							}
						}
					}
				})
			}
		}
	}
}

// lossAfterRepair loses as many replicas as are tolerated at once, and then others, twice, each time as soon as those
// before have had the time to catch up.
func lossAfterRepair(first modelFault, index int, second modelFault, other int) modelStrike {
	return func(m *model, _ *modelEvent) bool {
		lose := func(fault modelFault, from int) {
			for loss := range m.losses {
				if members := m.standing(); len(members) > 0 {
					fault.strike(m, members[(from+loss)%len(members)])
				}
			}
		}
		m.faultsEndAt = m.now + 3*(modelHeartbeatTimeout+modelCatchUp)
		lose(first, index)
		m.at(modelHeartbeatTimeout+modelCatchUp, nil, ordinaryEvent, func() {
			m.operate(1)
			lose(second, other)
		})
		m.at(2*(modelHeartbeatTimeout+modelCatchUp), nil, ordinaryEvent, func() {
			m.operate(1)
			lose(first, index+1)
		})
		return false
	}
}

// The step before which a fault makes a repair necessary, and the number of steps after it that are explored.
const (
	repairFrom  = 15
	repairSteps = 120
)

// While a replica is being repaired, all may lose power at any step: nothing but lost disks counts as a loss.
func TestPowerLossDuringRepair(t *testing.T) {
	for _, size := range []modelSize{three, five} {
		for _, fault := range modelFaults {
			if fault.name != "loses its disk" && fault.name != "is replaced" && fault.name != "is replaced as planned" {
				continue
			}
			t.Run(fmt.Sprintf("%d members, one %s", size.members, fault.name), func(t *testing.T) {
				t.Parallel()
				for index := range size.members {
					for step := repairFrom + 1; step < repairFrom+repairSteps; step += modelStride(size) {
						faults := map[int]modelStrike{repairFrom: strikeMember(fault, index), step: allLosePower}
						if breaches := modelRun(size, nil, faults); len(breaches) > 0 {
							t.Errorf("%s, then the power of all before step %d: %v", modelName(index), step, breaches)
						}
					}
				}
			})
		}
	}
}

// Faults that lose no disk may strike any members, any number of times: nothing is lost by them, and once they have
// ended the core decides again.
func TestFaultsWithoutLoss(t *testing.T) {
	for _, size := range []modelSize{three, five} {
		for part := range randomParts {
			t.Run(fmt.Sprintf("%d members, part %d", size.members, part), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(*modelSeeds / randomParts) {
					faults := withoutLoss(size, seed*randomParts+uint64(part))
					if breaches := modelRun(size, nil, faults); len(breaches) > 0 {
						t.Errorf("seed %d: %v", seed*randomParts+uint64(part), breaches)
					}
				}
			})
		}
	}
}

const randomParts = 8

// withoutLoss draws faults that lose no disk.
func withoutLoss(size modelSize, seed uint64) map[int]modelStrike {
	const maxFaults, lastStep = 8, 300
	dice := rand.New(rand.NewPCG(seed, uint64(size.members)))
	faults := map[int]modelStrike{}
	for range 2 + dice.IntN(maxFaults-1) {
		kind, index, outage := dice.IntN(6), dice.IntN(size.members), time.Duration(dice.Int64N(int64(modelOutage)))
		faults[1+dice.IntN(lastStep)] = func(m *model, event *modelEvent) bool {
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

// copiesLost lets all but the given members receive nothing for a while, and then the given ones, which alone have what
// is written meanwhile, lose their disks.
func copiesLost(wiped ...int) modelStrike {
	return func(m *model, _ *modelEvent) bool {
		for index, replica := range m.members[:min(len(m.members), m.founded)] {
			if !slices.Contains(wiped, index) {
				m.isolate(replica, true, false)
			}
		}
		m.operate(4)
		m.at(4*modelCallInterval, nil, ordinaryEvent, func() {
			for _, index := range wiped {
				wipeMember(m, m.members[index])
			}
		})
		return false
	}
}

// A change whose only copies are on disks that are then lost was not acknowledged: neither by too few members, nor by
// counting a learner beside one member.
func TestCopiesLost(t *testing.T) {
	for step := 1; step < 60; step += modelStride(three) {
		for index := range three.members {
			if breaches := modelRun(three, nil, map[int]modelStrike{step: copiesLost(index)}); len(breaches) > 0 {
				t.Errorf("step %d, %s: %v", step, modelName(index), breaches)
			}
			if breaches := modelRun(three, nil, map[int]modelStrike{step: withLearner(copiesLost(index))}); len(breaches) > 0 {
				t.Errorf("step %d, %s and a learner: %v", step, modelName(index), breaches)
			}
		}
		for index := range five.members {
			for other := range index {
				if breaches := modelRun(five, nil, map[int]modelStrike{step: copiesLost(other, index)}); len(breaches) > 0 {
					t.Errorf("step %d, %s and %s: %v", step, modelName(other), modelName(index), breaches)
				}
			}
		}
	}
}

// withLearner lets a machine join for which there is no place, so that it stays a learner, and then a fault strike. The
// machine is removed once the others have recovered.
func withLearner(strike modelStrike) modelStrike {
	return func(m *model, event *modelEvent) bool {
		learner := m.add(modelName(len(m.members)), false)
		m.at(2*modelHeartbeatTimeout, nil, ordinaryEvent, func() {
			strike(m, event)
		})
		m.at(2*modelHeartbeatTimeout+2*modelOutage, nil, ordinaryEvent, func() { m.remove(learner) })
		m.extendFaults(2*modelHeartbeatTimeout + 3*modelOutage)
		return false
	}
}

// lagWipeOff lets one replica lag, another lose its disk, and the third be down while the first two are back: only the
// third has what was acknowledged meanwhile.
func lagWipeOff(lagging, wiped, off int) modelStrike {
	return func(m *model, _ *modelEvent) bool {
		m.isolate(m.members[lagging], true, true)
		m.at(2*modelCallInterval, nil, ordinaryEvent, func() { wipeMember(m, m.members[wiped]) })
		m.at(2*modelCallInterval+modelHeartbeatTimeout/2, nil, ordinaryEvent, func() {
			m.powerLoss(m.members[off], 0)
			m.restartAfter(m.members[off], 2*modelOutage)
		})
		return false
	}
}

// The model's checks detect each seeded fault, in a run that passes without it.
func TestModelDetectsSeededFaults(t *testing.T) {
	for _, test := range []struct {
		name    string
		size    modelSize
		prepare func(*model)
		runs    func(yield func(string, map[int]modelStrike) bool)
	}{
		{"a read without a majority", three, withSeededFault(faultLocalRead), eachFault(three)},
		{"commit by the founders' majority", five, withSeededFault(faultFoundersQuorum), eachLossOfCopies(five)},
		{"learners are counted", three, withSeededFault(faultCountLearners), eachLossOfCopies(three)},
		{"a leader with a stale state", three, withSeededFault(faultStaleLeader), eachFault(three)},
		{"entries are acknowledged before they are durable", three, withSeededFault(faultEarlyAcknowledgement), eachFault(three)},
		{"an empty folder counts as the one before", three, func(m *model) { m.amnesia = true }, eachLagWipeOff(three)},
		{"a void entry makes a member", three, withSeededFault(faultIgnoresExclusion), eachPowerLossDuringRepair(three)},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			runs := 0
			for name, faults := range test.runs {
				runs++
				breaches := modelRun(test.size, test.prepare, faults)
				if len(breaches) == 0 {
					continue
				}
				t.Logf("detected in run %d: %s: %s", runs, name, breaches[0])
				if withoutFault := modelRun(test.size, nil, faults); len(withoutFault) > 0 {
					t.Errorf("the same run without the fault: %v", withoutFault)
				}
				return
			}
			t.Errorf("not detected in %d runs", runs)
		})
	}
}

// withSeededFault prepares a model whose replicas have a fault.
func withSeededFault(fault seededFault) func(*model) { return func(m *model) { m.seededFault = fault } }

// seededFaultSteps is the number of steps that are explored for a seeded fault.
const seededFaultSteps = 100

// eachFault yields every fault before every step.
func eachFault(size modelSize) func(yield func(string, map[int]modelStrike) bool) {
	return func(yield func(string, map[int]modelStrike) bool) {
		all := strikes(size)
		for step := range seededFaultSteps {
			for _, name := range slices.Sorted(maps.Keys(all)) {
				if !yield(fmt.Sprint(name, " before step ", step+1), map[int]modelStrike{step + 1: all[name]}) {
					return
				}
			}
		}
	}
}

// eachLossOfCopies yields losses of as many disks as are tolerated, without a learner and with one.
func eachLossOfCopies(size modelSize) func(yield func(string, map[int]modelStrike) bool) {
	return func(yield func(string, map[int]modelStrike) bool) {
		for step := 1; step < seededFaultSteps; step++ {
			for index := range size.members {
				wiped := []int{index, (index + 1) % size.members}[:size.losses]
				if !yield(fmt.Sprint(wiped, " before step ", step), map[int]modelStrike{step: copiesLost(wiped...)}) ||
					!yield(fmt.Sprint(wiped, " and a learner, before step ", step), map[int]modelStrike{step: withLearner(copiesLost(wiped...))}) {
					return
				}
			}
		}
	}
}

// eachLagWipeOff yields lagWipeOff for every order of three members.
func eachLagWipeOff(size modelSize) func(yield func(string, map[int]modelStrike) bool) {
	return func(yield func(string, map[int]modelStrike) bool) {
		for step := 1; step < seededFaultSteps; step++ {
			for lagging := range size.members {
				for wiped := range size.members {
					off := size.members - lagging - wiped
					if lagging == wiped {
						continue
					}
					faults := map[int]modelStrike{step: lagWipeOff(lagging, wiped, off)}
					if !yield(fmt.Sprint(lagging, wiped, off, " before step ", step), faults) {
						return
					}
				}
			}
		}
	}
}

// eachPowerLossDuringRepair yields the runs of TestPowerLossDuringRepair with a lost disk.
func eachPowerLossDuringRepair(size modelSize) func(yield func(string, map[int]modelStrike) bool) {
	return func(yield func(string, map[int]modelStrike) bool) {
		for index := range size.members {
			for step := repairFrom + 1; step < repairFrom+repairSteps; step++ {
				faults := map[int]modelStrike{repairFrom: strikeMember(modelFault{strike: wipeMember}, index), step: allLosePower}
				if !yield(fmt.Sprint(modelName(index), ", all lose power before step ", step), faults) {
					return
				}
			}
		}
	}
}

// allLosePower is model.allLosePower as a fault.
func allLosePower(m *model, _ *modelEvent) bool {
	m.allLosePower()
	return false
}
