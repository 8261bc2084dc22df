package testbed

import (
	"math/rand/v2"
	"slices"
	"time"
)

// randomSchedule holds the frequency and the duration of random faults.
type randomSchedule struct {
	meanInterval  time.Duration // mean time between the draws of two faults, of which faultScheduler.begin drops some
	maxDuration   time.Duration // longest duration of a fault
	faultFreeTail time.Duration // length of the last part of the load, which has no faults
	maxActive     int           // largest number of faults at the same time
}

// schedulerInterval is the time between two checks of the scheduler for faults that are due to begin or end.
const schedulerInterval = 100 * time.Millisecond

// activeFault is a random fault that has begun and not ended.
type activeFault struct {
	until    time.Duration // time at which the fault is due to end, since the run began
	index    int           // index of the fault in History.Faults
	hitsCore bool          // the fault affects a core machine or its disk
	end      func()        // ends the fault
}

// faultScheduler begins and ends random faults, from one goroutine. All draws come from one generator in a fixed order.
// Which fault begins when still depends on the speed of the machine.
type faultScheduler struct {
	run        *testRun
	schedule   *randomSchedule
	rng        *rand.Rand    // source of all draws, including those of randomFault.inject
	active     []activeFault // faults that have not ended, in the order of their beginnings
	next       time.Duration // time at which the next fault is due to begin, since the run began
	coreFaulty bool          // a core machine is faulty, or the core has not recovered from its last fault
}

// runRandomFaults injects random faults that may overlap, ends them all, and measures how long the fleet then takes to
// recover. It returns at the end of the load's duration.
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

// endExpired ends the faults that are due to end.
func (s *faultScheduler) endExpired() {
	for i := 0; i < len(s.active); i++ {
		if fault := s.active[i]; s.run.now() >= fault.until {
			s.active = append(s.active[:i], s.active[i+1:]...)
			i--
			s.end(fault)
		}
	}
}

// checkCore clears coreFaulty once the core has recovered from its last fault. The mesh tolerates only one core fault at
// a time, so the next may not begin earlier.
func (s *faultScheduler) checkCore() {
	if !s.coreFaulty {
		return
	}
	stillFaulty := slices.ContainsFunc(s.active, func(fault activeFault) bool { return fault.hitsCore })
	s.coreFaulty = stillFaulty || !s.run.coreHealthy()
}

// begin draws a fault and the time of the next draw. It injects the fault unless maxActive faults are active, or the
// fault hits the core while coreFaulty is set. A fault that is not injected is dropped.
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
	// The fault is recorded before it is injected, so that the entry covers everything that the fault causes.
	index := r.history.addFault(entry)
	target, end := chosen.inject(r, s.rng)
	r.history.setFaultTarget(index, target)
	r.logf("%6.1f s: %s: %s", entry.At.Seconds(), entry.Name, target)
	s.active = append(s.active, activeFault{r.now() + duration, index, chosen.hitsCore, end})
	s.coreFaulty = s.coreFaulty || chosen.hitsCore
}

// end ends a fault and records the time of its end.
func (s *faultScheduler) end(fault activeFault) {
	fault.end()
	name := s.run.history.endFault(fault.index, s.run.now())
	s.run.logf("%6.1f s:   ended: %s", s.run.now().Seconds(), name)
}

// coreHealthy reports whether every store and registry is ready and the key reservations of every registry count
// towards a majority again.
func (r *testRun) coreHealthy() bool {
	for i, store := range r.fleet.Stores {
		var status struct {
			ReservationsAuthoritative bool `json:"claims_count"`
		}
		if !store.Ready() || !r.fleet.Registries[i].Ready() {
			return false
		}
		if r.fleet.Registries[i].getPage("/status", &status) != nil || !status.ReservationsAuthoritative {
			return false
		}
	}
	return true
}
