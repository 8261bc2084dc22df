package testbed

import (
	"math/rand/v2"
	"slices"
	"time"
)

// randomSchedule is how densely random faults are drawn.
type randomSchedule struct {
	meanInterval  time.Duration // between the beginnings of two faults
	maxDuration   time.Duration // of one fault
	faultFreeTail time.Duration // at the end of the load, in which no fault begins
	maxActive     int           // faults at the same time
}

// schedulerInterval is between two looks of the scheduler at its faults.
const schedulerInterval = 100 * time.Millisecond

// activeFault is a random fault that has not ended.
type activeFault struct {
	until    time.Duration
	index    int // in the history's faults
	hitsCore bool
	end      func()
}

// faultScheduler begins and ends random faults. All draws come from its generator, in a fixed order, but what
// is drawn when depends on the speed of the machine.
type faultScheduler struct {
	run        *testRun
	schedule   *randomSchedule
	rng        *rand.Rand
	active     []activeFault
	next       time.Duration // when the next fault is due
	coreFaulty bool          // a core member is faulty, or has not recovered from its last fault
}

// runRandomFaults draws faults by the seed, lets them overlap, ends all, measures how long the fleet then takes
// to recover, and returns at the end of the load's duration.
func (r *testRun) runRandomFaults(schedule *randomSchedule, duration time.Duration) {
	s := &faultScheduler{run: r, schedule: schedule, rng: rand.New(rand.NewPCG(r.options.Seed, 77))}
	start := r.now()
	s.next = start + time.Duration(s.rng.Int64N(int64(schedule.meanInterval)))
	for r.now()-start < duration-schedule.faultFreeTail {
		time.Sleep(schedulerInterval)
		s.endExpired()
		s.checkCore()
		if r.now() >= s.next {
			s.begin()
		}
	}
	for _, fault := range s.active {
		s.end(fault)
	}
	r.recoveryTime = r.awaitRecovery()
	r.logf("%6.1f s: all faults ended; fleet recovered after %.1f s", r.now().Seconds(), r.recoveryTime.Seconds())
	time.Sleep(duration - (r.now() - start))
}

// endExpired ends the faults whose time is over.
func (s *faultScheduler) endExpired() {
	for i := 0; i < len(s.active); i++ {
		if fault := s.active[i]; s.run.now() >= fault.until {
			s.active = append(s.active[:i], s.active[i+1:]...)
			i--
			s.end(fault)
		}
	}
}

// checkCore finds out whether the core has recovered from its last fault. Only one fault of the core at a time
// is promised to be survived, so the next waits for that.
func (s *faultScheduler) checkCore() {
	if !s.coreFaulty {
		return
	}
	stillFaulty := slices.ContainsFunc(s.active, func(fault activeFault) bool { return fault.hitsCore })
	s.coreFaulty = stillFaulty || !s.run.coreHealthy()
}

// begin draws a fault and, if it may overlap with those that are active, injects it.
func (s *faultScheduler) begin() {
	r := s.run
	s.next = r.now() + time.Duration(s.rng.Int64N(int64(2*s.schedule.meanInterval)))
	chosen := randomFaults[s.rng.IntN(len(randomFaults))]
	duration := time.Duration(s.rng.Int64N(int64(s.schedule.maxDuration)))
	if len(s.active) >= s.schedule.maxActive || (chosen.hitsCore && s.coreFaulty) {
		return
	}
	entry := FaultEntry{
		Name:               chosen.name,
		At:                 r.now(),
		MayReject:          chosen.mayReject,
		HitsCore:           chosen.hitsCore,
		DelaysPeerMessages: delaysPeerMessages[chosen.name],
	}
	// The entry is there before the fault is: what it causes may be checked against it.
	index := r.history.addFault(entry)
	target, end := chosen.inject(r, s.rng)
	r.history.setFaultTarget(index, target)
	r.logf("%6.1f s: %s: %s", entry.At.Seconds(), entry.Name, target)
	s.active = append(s.active, activeFault{r.now() + duration, index, chosen.hitsCore, end})
	s.coreFaulty = s.coreFaulty || chosen.hitsCore
}

// end ends a fault and records when.
func (s *faultScheduler) end(fault activeFault) {
	fault.end()
	name := s.run.history.endFault(fault.index, s.run.now())
	s.run.logf("%6.1f s:   ended: %s", s.run.now().Seconds(), name)
}

// coreHealthy tells whether every core member is ready and its registry counts key reservations again.
func (r *testRun) coreHealthy() bool {
	for i, store := range r.fleet.Stores {
		var status struct {
			ClaimsCount bool `json:"claims_count"`
		}
		if !store.Ready() || !r.fleet.Registries[i].Ready() {
			return false
		}
		if r.fleet.Registries[i].getPage("/status", &status) != nil || !status.ClaimsCount {
			return false
		}
	}
	return true
}
