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
func (c *testRun) runRandomFaults(schedule *randomSchedule, length time.Duration, logf func(string, ...any)) {
	dice := rand.New(rand.NewPCG(c.options.Seed, 77))
	type pending struct {
		at    time.Duration
		entry int
		core  bool
		end   func()
	}
	var active []pending
	start, coreFaulty := c.now(), false
	next := start + time.Duration(dice.Int64N(int64(schedule.meanInterval)))
	endFault := func(fault pending) {
		fault.end()
		c.history.lock.Lock()
		c.history.Faults[fault.entry].End = c.now()
		c.history.lock.Unlock()
		logf("%6.1f s:   over: %s", c.now().Seconds(), c.history.Faults[fault.entry].Name)
	}
	for c.now()-start < length-schedule.faultFreeTail {
		time.Sleep(100 * time.Millisecond)
		for i := 0; i < len(active); i++ {
			if fault := active[i]; c.now() >= fault.at {
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
			coreFaulty = stillFaulty || !c.coreHealthy()
		}
		if c.now() < next {
			continue
		}
		next = c.now() + time.Duration(dice.Int64N(int64(2*schedule.meanInterval)))
		chosen := randomFaults[dice.IntN(len(randomFaults))]
		duration := time.Duration(dice.Int64N(int64(schedule.maxDuration)))
		if len(active) >= schedule.maxActive || (chosen.hitsCore && coreFaulty) {
			continue
		}
		entry := FaultEntry{Name: chosen.name, At: c.now(), MayReject: chosen.mayReject, HitsCore: chosen.hitsCore, DelaysPeerMessages: delaysPeerMessages[chosen.name]}
		c.history.lock.Lock()
		c.history.Faults = append(c.history.Faults, entry)
		index := len(c.history.Faults) - 1
		c.history.lock.Unlock()
		on, end := chosen.inject(c, dice)
		c.history.lock.Lock()
		c.history.Faults[index].Target = on
		c.history.lock.Unlock()
		logf("%6.1f s: %s: %s", entry.At.Seconds(), entry.Name, on)
		active = append(active, pending{c.now() + duration, index, chosen.hitsCore, end})
		coreFaulty = coreFaulty || chosen.hitsCore
	}
	for _, fault := range active {
		endFault(fault)
	}
	c.recoveryTime = c.awaitRecovery()
	logf("%6.1f s: all mended; back after %.1f s", c.now().Seconds(), c.recoveryTime.Seconds())
	time.Sleep(length - (c.now() - start))
}

// coreHealthy tells whether every core machine is ready and counts the claims of keys.
func (c *testRun) coreHealthy() bool {
	for i, store := range c.fleet.Stores {
		var status struct {
			ClaimsCount bool `json:"claims_count"`
		}
		if !store.Ready() || !c.fleet.Registries[i].Ready() {
			return false
		}
		response, err := probeClient.Get("http://" + c.fleet.Registries[i].probeAddress + "/status")
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
