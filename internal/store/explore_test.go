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

// modelSize is a core that is explored. Stride says before which steps a fault strikes where not
// every one is asked for.
type modelSize struct{ members, losses, writes, stride int }

var (
	three = modelSize{members: 3, losses: 1, writes: 6, stride: 5}
	five  = modelSize{members: 5, losses: 2, writes: 3, stride: 19}
)

// modelStrike is a fault as it strikes before a step; it may let the step's message be lost.
type modelStrike func(m *model, event *modelEvent) (drop bool)

// modelRun plays a core with faults, given by the step before which each strikes, and tells what is
// wrong with what came of it.
func modelRun(size modelSize, prepare func(*model), faults map[int]modelStrike) []string {
	m := newModel(size.members, size.losses, prepare)
	from := m.steps
	for step, fault := range faults {
		m.faultAt[from+step] = append(m.faultAt[from+step], func(event *modelEvent) bool { return fault(m, event) })
	}
	m.operate(size.writes)
	m.runTo(m.now + time.Duration(size.writes)*modelBetween)
	return m.verdict()
}

// modelSteps counts the steps of a run without faults until its calls are decided.
func modelSteps(t *testing.T, size modelSize) int {
	t.Helper()
	m := newModel(size.members, size.losses, nil)
	from := m.steps
	m.operate(size.writes)
	m.runTo(m.now + time.Duration(size.writes)*modelBetween)
	steps := m.steps - from
	if said := m.verdict(); len(said) > 0 {
		t.Fatalf("without a fault: %v", said)
	}
	return steps
}

// strikeSeat lets a fault strike one replica.
func strikeSeat(fault modelFault, place int) modelStrike {
	return func(m *model, _ *modelEvent) bool {
		fault.strike(m, m.members[place])
		return false
	}
}

// strikes lists all faults that can strike before a step, by name.
func strikes(size modelSize) map[string]modelStrike {
	all := map[string]modelStrike{
		"all lose power":      powerOfAll,
		"the message is lost": func(_ *model, event *modelEvent) bool { return event.kind == letterEvent },
	}
	for _, fault := range modelFaults {
		for place := range size.members {
			all[modelName(place)+" "+fault.name] = strikeSeat(fault, place)
		}
	}
	return all
}

// modelStride is how many steps lie between two that are explored.
func modelStride(size modelSize) int {
	if *everyStep {
		return 1
	}
	return size.stride
}

// Whatever happens to whichever replica, before whichever message or sync: what operators are told has
// an order, no two members lead under one epoch or hold unlike states under one sequence, and soon
// after the fault the core decides again and is whole.
func TestEveryFaultAtEveryStep(t *testing.T) {
	for _, size := range []modelSize{three, five} {
		steps := modelSteps(t, size)
		for step := 1; step <= steps; step += modelStride(size) {
			t.Run(fmt.Sprintf("%d members, step %d of %d", size.members, step, steps), func(t *testing.T) {
				t.Parallel()
				for name, strike := range strikes(size) {
					if said := modelRun(size, nil, map[int]modelStrike{step: strike}); len(said) > 0 {
						t.Errorf("%s: %v", name, said)
					}
				}
			})
		}
	}
}

// secondLosses are what may come as soon as a replica that was lost counts again.
var secondLosses = []modelFault{{"loses its disk", wipeSeat}, {"is replaced", replaceSeat}}

// A replica is lost for good or with its disk, is repaired, and after the time to catch up another one
// is lost, whichever that is; and once more.
func TestLossAfterRepair(t *testing.T) {
	for _, size := range []modelSize{three, five} {
		for _, first := range secondLosses {
			for _, second := range secondLosses {
				t.Run(fmt.Sprintf("%d members, one %s, then one %s", size.members, first.name, second.name), func(t *testing.T) {
					t.Parallel()
					for place := range size.members {
						for other := range size.members {
							if said := modelRun(size, nil, map[int]modelStrike{20: lossAfterRepair(first, place, second, other)}); len(said) > 0 {
								t.Errorf("%s, then %s: %v", modelName(place), modelName(other), said)
							}
						}
					}
				})
			}
		}
	}
}

// lossAfterRepair lets a first replica be lost, as many as may be at once, and then others, each as
// soon as those before count again.
func lossAfterRepair(first modelFault, place int, second modelFault, other int) modelStrike {
	return func(m *model, _ *modelEvent) bool {
		lose := func(fault modelFault, from int) {
			for loss := range m.losses {
				if members := m.standing(); len(members) > 0 {
					fault.strike(m, members[(from+loss)%len(members)])
				}
			}
		}
		m.endOf = m.now + 3*(modelSilence+modelCatchUp)
		lose(first, place)
		m.at(modelSilence+modelCatchUp, nil, plainEvent, func() {
			m.operate(1)
			lose(second, other)
		})
		m.at(2*(modelSilence+modelCatchUp), nil, plainEvent, func() {
			m.operate(1)
			lose(first, place+1)
		})
		return false
	}
}

// The step before which a repair is made needful, and how many steps after it are looked at.
const (
	repairFrom  = 15
	repairSteps = 120
)

// While a replica is being repaired, all may lose power at any step: only disks that are lost count.
func TestPowerLossDuringRepair(t *testing.T) {
	for _, size := range []modelSize{three, five} {
		for _, fault := range modelFaults {
			if fault.name != "loses its disk" && fault.name != "is replaced" && fault.name != "is replaced by plan" {
				continue
			}
			t.Run(fmt.Sprintf("%d members, one %s", size.members, fault.name), func(t *testing.T) {
				t.Parallel()
				for place := range size.members {
					for step := repairFrom + 1; step < repairFrom+repairSteps; step += modelStride(size) {
						faults := map[int]modelStrike{repairFrom: strikeSeat(fault, place), step: powerOfAll}
						if said := modelRun(size, nil, faults); len(said) > 0 {
							t.Errorf("%s, then the power of all before step %d: %v", modelName(place), step, said)
						}
					}
				}
			})
		}
	}
}

// What takes no disk may strike any members, any number of times: nothing is lost by it, and once all
// of it has ended the core decides again.
func TestFaultsWithoutLoss(t *testing.T) {
	for _, size := range []modelSize{three, five} {
		for part := range randomParts {
			t.Run(fmt.Sprintf("%d members, part %d", size.members, part), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(*modelSeeds / randomParts) {
					faults := withoutLoss(size, seed*randomParts+uint64(part))
					if said := modelRun(size, nil, faults); len(said) > 0 {
						t.Errorf("seed %d: %v", seed*randomParts+uint64(part), said)
					}
				}
			})
		}
	}
}

const randomParts = 8

// withoutLoss draws faults that take no disk.
func withoutLoss(size modelSize, seed uint64) map[int]modelStrike {
	const most, lastStep = 8, 300
	dice := rand.New(rand.NewPCG(seed, uint64(size.members)))
	faults := map[int]modelStrike{}
	for range 2 + dice.IntN(most-1) {
		kind, place, outage := dice.IntN(6), dice.IntN(size.members), time.Duration(dice.Int64N(int64(modelOutage)))
		faults[1+dice.IntN(lastStep)] = func(m *model, event *modelEvent) bool {
			replica := m.members[place]
			m.lasts(outage)
			switch kind {
			case 0:
				if replica.up {
					m.powerLoss(replica, int(outage)%2)
					m.back(replica, outage)
				}
			case 1:
				if replica.up {
					m.powerLoss(replica, int(outage)%2)
					m.back(replica, modelLink)
				}
			case 2:
				m.isolateFor(outage, replica, true, true)
			case 3:
				m.isolateFor(outage, replica, int(outage)%2 == 0, int(outage)%2 == 1)
			case 4:
				replica.frozenTo = m.now + outage
			case 5:
				return event.kind == letterEvent
			}
			return false
		}
	}
	return faults
}

// copiesLost lets so many members hear nothing for a while, and the others, whose copies are then all
// there are of what is sent meanwhile, lose their disks.
func copiesLost(wiped ...int) modelStrike {
	return func(m *model, _ *modelEvent) bool {
		for place, replica := range m.members[:min(len(m.members), m.founded)] {
			if !slices.Contains(wiped, place) {
				m.isolate(replica, true, false)
			}
		}
		m.operate(4)
		m.at(4*modelBetween, nil, plainEvent, func() {
			for _, place := range wiped {
				wipeSeat(m, m.members[place])
			}
		})
		return false
	}
}

// A change whose only copies are on disks that are then lost was not acknowledged: neither by too
// few members, nor by one that waits for a replica beside one member.
func TestCopiesLost(t *testing.T) {
	for step := 1; step < 60; step += modelStride(three) {
		for place := range three.members {
			if said := modelRun(three, nil, map[int]modelStrike{step: copiesLost(place)}); len(said) > 0 {
				t.Errorf("step %d, %s: %v", step, modelName(place), said)
			}
			if said := modelRun(three, nil, map[int]modelStrike{step: withLearner(copiesLost(place))}); len(said) > 0 {
				t.Errorf("step %d, %s and a learner: %v", step, modelName(place), said)
			}
		}
		for place := range five.members {
			for other := range place {
				if said := modelRun(five, nil, map[int]modelStrike{step: copiesLost(other, place)}); len(said) > 0 {
					t.Errorf("step %d, %s and %s: %v", step, modelName(other), modelName(place), said)
				}
			}
		}
	}
}

// withLearner lets a machine join for which there is no replica, and then a fault strike; the machine
// is taken away at the end, when the others have recovered.
func withLearner(strike modelStrike) modelStrike {
	return func(m *model, event *modelEvent) bool {
		learner := m.add(modelName(len(m.members)), false)
		m.at(2*modelSilence, nil, plainEvent, func() {
			strike(m, event)
		})
		m.at(2*modelSilence+2*modelOutage, nil, plainEvent, func() { m.remove(learner) })
		m.lasts(2*modelSilence + 3*modelOutage)
		return false
	}
}

// lagWipeOff lets one replica lag, another lose its disk, and the third be off while the first two are
// back: only the third holds what was acknowledged meanwhile.
func lagWipeOff(lagging, wiped, off int) modelStrike {
	return func(m *model, _ *modelEvent) bool {
		m.isolate(m.members[lagging], true, true)
		m.at(2*modelBetween, nil, plainEvent, func() { wipeSeat(m, m.members[wiped]) })
		m.at(2*modelBetween+modelSilence/2, nil, plainEvent, func() {
			m.powerLoss(m.members[off], 0)
			m.back(m.members[off], 2*modelOutage)
		})
		return false
	}
}

// The checks see each planted fault, in a run that passes without it.
func TestModelSeesPlantedFaults(t *testing.T) {
	for _, one := range []struct {
		name    string
		size    modelSize
		prepare func(*model)
		runs    func(yield func(string, map[int]modelStrike) bool)
	}{
		{"a read without a majority", three, planting(plantReadAlone), eachFault(three)},
		{"commit by the founders' majority", five, planting(plantFoundersQuorum), eachLossOfCopies(five)},
		{"learners are counted", three, planting(plantCountLearners), eachLossOfCopies(three)},
		{"a stale state is led from", three, planting(plantStaleLeader), eachFault(three)},
		{"entries are acknowledged before they are on disk", three, planting(plantEarlyAcknowledgement), eachFault(three)},
		{"an empty folder counts as the one before", three, func(m *model) { m.amnesia = true }, eachLagWipeOff(three)},
		{"a replica put in by an entry that came to nothing insists", three, planting(plantInsists), eachPowerLossDuringRepair(three)},
	} {
		t.Run(one.name, func(t *testing.T) {
			t.Parallel()
			runs := 0
			for name, faults := range one.runs {
				runs++
				said := modelRun(one.size, one.prepare, faults)
				if len(said) == 0 {
					continue
				}
				t.Logf("seen in run %d: %s: %s", runs, name, said[0])
				if sound := modelRun(one.size, nil, faults); len(sound) > 0 {
					t.Errorf("the same run without it: %v", sound)
				}
				return
			}
			t.Errorf("not seen in %d runs", runs)
		})
	}
}

func planting(fault plantedFault) func(*model) { return func(m *model) { m.planted = fault } }

// plantedSteps is how many steps are looked at for a planted fault.
const plantedSteps = 100

// eachFault gives every fault before every step.
func eachFault(size modelSize) func(yield func(string, map[int]modelStrike) bool) {
	return func(yield func(string, map[int]modelStrike) bool) {
		all := strikes(size)
		for step := range plantedSteps {
			for _, name := range slices.Sorted(maps.Keys(all)) {
				if !yield(fmt.Sprint(name, " before step ", step+1), map[int]modelStrike{step + 1: all[name]}) {
					return
				}
			}
		}
	}
}

// eachLossOfCopies gives every loss of as many disks as may be lost, with a learner and without.
func eachLossOfCopies(size modelSize) func(yield func(string, map[int]modelStrike) bool) {
	return func(yield func(string, map[int]modelStrike) bool) {
		for step := 1; step < plantedSteps; step++ {
			for place := range size.members {
				wiped := []int{place, (place + 1) % size.members}[:size.losses]
				if !yield(fmt.Sprint(wiped, " before step ", step), map[int]modelStrike{step: copiesLost(wiped...)}) ||
					!yield(fmt.Sprint(wiped, " and a learner, before step ", step), map[int]modelStrike{step: withLearner(copiesLost(wiped...))}) {
					return
				}
			}
		}
	}
}

// eachLagWipeOff gives every order of three members.
func eachLagWipeOff(size modelSize) func(yield func(string, map[int]modelStrike) bool) {
	return func(yield func(string, map[int]modelStrike) bool) {
		for step := 1; step < plantedSteps; step++ {
			for lagging := range size.members {
				for wiped := range size.members {
					off := size.members - lagging - wiped
					if lagging != wiped && !yield(fmt.Sprint(lagging, wiped, off, " before step ", step), map[int]modelStrike{step: lagWipeOff(lagging, wiped, off)}) {
						return
					}
				}
			}
		}
	}
}

// eachPowerLossDuringRepair gives what TestPowerLossDuringRepair looks at.
func eachPowerLossDuringRepair(size modelSize) func(yield func(string, map[int]modelStrike) bool) {
	return func(yield func(string, map[int]modelStrike) bool) {
		for place := range size.members {
			for step := repairFrom + 1; step < repairFrom+repairSteps; step++ {
				faults := map[int]modelStrike{repairFrom: strikeSeat(modelFault{strike: wipeSeat}, place), step: powerOfAll}
				if !yield(fmt.Sprint(modelName(place), ", all lose power before step ", step), faults) {
					return
				}
			}
		}
	}
}

func powerOfAll(m *model, _ *modelEvent) bool {
	m.allLosePower()
	return false
}
