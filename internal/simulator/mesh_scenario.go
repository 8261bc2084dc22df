package simulator

import (
	"time"
)

// Lengths of a play.
const (
	settlingTime          = 3 * leaseDuration
	defaultFaultyDuration = 60 * time.Second
	maxFaultDuration      = 12 * time.Second
	registryRestartTime   = 2 * leaseDuration // registries that restarted last count again only after a lease
)

// RunMesh runs one seed: a fleet comes up, callers call, operators state changes and a release
// plan, faults come and go in combination, all are mended, and the fleet must be back. It must
// run inside a bubble.
func RunMesh(seed uint64, seededFault SeededFault, options Options) *World {
	if options.Proxies == 0 {
		options.Proxies = 5
		if seed%8 == 0 {
			options.Proxies = 14
		}
	}
	if options.CallRate == 0 {
		options.CallRate = 30
	}
	if options.FaultyDuration == 0 {
		options.FaultyDuration = defaultFaultyDuration
	}
	w := NewWorld(seed, seededFault, options)
	w.bootFleet()
	w.startOperators()
	until := w.now + options.FaultyDuration
	if seed%2 == 0 {
		w.startRelease(seed)
	}
	if !options.NoFaults {
		w.injectFaults(until)
	}
	// By then the last fault has been mended; the registries may have restarted just before.
	w.Run(until + maxFaultDuration + time.Second)
	w.checkRecovery()
	w.Close()
	w.History.checkAtEnd()
	return w
}

// startRelease states a plan for the shop in the midst of it all; in some seeds the version is bad.
func (w *World) startRelease(seed uint64) {
	w.submitUntilAccepted(func() {}, releasePlanItem("shop", 60, 20*time.Second))
	if seed%4 == 0 {
		w.degradeVersion("shop", "2", &Degradation{From: w.now + w.randomDuration(40*time.Second), FailureRate: 1})
	}
}

// degradeVersion makes a version ill from a time on, and has it watched.
func (w *World) degradeVersion(service, version string, degradation *Degradation) {
	w.lock.Lock()
	w.degradations[[2]string{service, version}] = degradation
	w.lock.Unlock()
	w.History.lock.Lock()
	w.History.badVersions = append(w.History.badVersions, &badVersion{service: service, version: version})
	w.History.lock.Unlock()
}

// checkRecovery checks that after the last fault service is back and what was acknowledged stands.
func (w *World) checkRecovery() {
	recoveredAfter := time.Duration(0)
	start := w.now
	acknowledgedBefore := w.History.lastAcknowledged
	// A registry that restarted with the last fault counts again after a lease: that is the bound's bulk.
	for w.now < start+recoveryBound+registryRestartTime {
		w.Run(w.now + 250*time.Millisecond)
		leased := 0
		for _, node := range w.proxies {
			if node.up && (w.Options.ServeStale || node.leaseGate.Open()) && node.acceptsCallers.Load() {
				leased++
			}
		}
		if leased == len(w.proxies) && w.History.lastAcknowledged > acknowledgedBefore {
			recoveredAfter = w.now - start
			break
		}
	}
	if recoveredAfter == 0 || recoveredAfter > recoveryBound {
		w.History.recordBreach(RuleRecoveryTime, "service back after %v (0: never)", recoveredAfter)
	}
	for _, node := range w.members {
		if !node.up {
			continue
		}
		if committed, _ := node.replica.Committed(); committed < acknowledgedBefore {
			w.History.recordBreach(RuleAcknowledgedLost, "%s shows %d; %d had been acknowledged", node.name, committed, acknowledgedBefore)
		}
	}
}
