package testbed

import (
	"encoding/json"
	"math/rand/v2"
	"time"
)

// randomSchedule is how densely faults are drawn.
type randomSchedule struct {
	meanInterval  time.Duration // mean time between two faults
	maxDuration   time.Duration // the longest that one lasts
	faultFreeTail time.Duration // of the length that is left free of new faults
	maxActive     int           // at once
}

// runRandomFaults draws faults by the seed, lets them come and go in combination, mends all, and
// measures how long the fleet then takes to be back.
func (r *testRun) runRandomFaults(schedule *randomSchedule, length time.Duration, logf func(string, ...any)) {
	rng := rand.New(rand.NewPCG(r.options.Seed, 77))
	type pending struct {
		at    time.Duration
		entry int
		core  bool
		end   func()
	}
	var active []pending
	start, coreFaulty := r.now(), false
	next := start + time.Duration(rng.Int64N(int64(schedule.meanInterval)))
	endFault := func(fault pending) {
		fault.end()
		r.history.lock.Lock()
		r.history.Faults[fault.entry].End = r.now()
		r.history.lock.Unlock()
		logf("%6.1f s:   over: %s", r.now().Seconds(), r.history.Faults[fault.entry].Name)
	}
	for r.now()-start < length-schedule.faultFreeTail {
		time.Sleep(100 * time.Millisecond)
		for i := 0; i < len(active); i++ {
			if fault := active[i]; r.now() >= fault.at {
				active = append(active[:i], active[i+1:]...)
				i--
				endFault(fault)
			}
		}
		if coreFaulty {
			stillFaulty := false
			for _, fault := range active {
				stillFaulty = stillFaulty || fault.core
			}
			coreFaulty = stillFaulty || !r.coreHealthy()
		}
		if r.now() < next {
			continue
		}
		next = r.now() + time.Duration(rng.Int64N(int64(2*schedule.meanInterval)))
		chosen := randomFaults[rng.IntN(len(randomFaults))]
		duration := time.Duration(rng.Int64N(int64(schedule.maxDuration)))
		if len(active) >= schedule.maxActive || (chosen.hitsCore && coreFaulty) {
			continue
		}
		entry := FaultEntry{Name: chosen.name, At: r.now(), MayReject: chosen.mayReject, HitsCore: chosen.hitsCore, DelaysPeerMessages: delaysPeerMessages[chosen.name]}
		r.history.lock.Lock()
		r.history.Faults = append(r.history.Faults, entry)
		index := len(r.history.Faults) - 1
		r.history.lock.Unlock()
		on, end := chosen.inject(r, rng)
		r.history.lock.Lock()
		r.history.Faults[index].Target = on
		r.history.lock.Unlock()
		logf("%6.1f s: %s: %s", entry.At.Seconds(), entry.Name, on)
		active = append(active, pending{r.now() + duration, index, chosen.hitsCore, end})
		coreFaulty = coreFaulty || chosen.hitsCore
	}
	for _, fault := range active {
		endFault(fault)
	}
	r.recoveryTime = r.awaitRecovery()
	logf("%6.1f s: all mended; back after %.1f s", r.now().Seconds(), r.recoveryTime.Seconds())
	time.Sleep(length - (r.now() - start))
}

// coreHealthy tells whether every core machine is ready and counts the claims of keys.
func (r *testRun) coreHealthy() bool {
	for i, store := range r.fleet.Stores {
		var status struct {
			ClaimsCount bool `json:"claims_count"`
		}
		if !store.Ready() || !r.fleet.Registries[i].Ready() {
			return false
		}
		response, err := probeClient.Get("http://" + r.fleet.Registries[i].probeAddress + "/status")
		if err != nil {
			return false
		}
		_ = json.NewDecoder(response.Body).Decode(&status)
		response.Body.Close()
		if !status.ClaimsCount {
			return false
		}
	}
	return true
}
