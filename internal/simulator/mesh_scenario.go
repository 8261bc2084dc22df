package simulator

import (
	"time"
)

// Durations of a mesh scenario.
const (
	settlingTime          = 3 * leaseDuration // time from the start of the world to the start of the callers
	defaultFaultyDuration = 60 * time.Second
	maxFaultDuration      = 12 * time.Second  // longest time from the start of a fault to its repair
	registryRestartTime   = 2 * leaseDuration // time after which a restarted registry surely grants leases again
)

// RunMesh runs one seed of a mesh. The fleet boots, callers send calls, and operators submit changes and, with every
// second seed, a release plan. Faults come and go in combination. When all are repaired, service must recover.
// RunMesh returns the closed world, whose History has the violations. It must run inside a synctest bubble.
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
	// By then the last fault is repaired. A registry may have restarted just before.
	w.Run(until + maxFaultDuration + time.Second)
	w.checkRecovery()
	w.Close()
	w.History.checkAtEnd()
	return w
}

// startRelease submits a release plan for the service "shop". With every fourth seed the new version becomes
// unhealthy at a random time.
func (w *World) startRelease(seed uint64) {
	w.submitUntilAccepted(func() {}, releasePlanItem("shop", 60, 20*time.Second))
	if seed%4 == 0 {
		w.degradeVersion("shop", "2", &Degradation{From: w.now + w.randomDuration(40*time.Second), FailureRate: 1})
	}
}

// degradeVersion degrades a version and makes the history check its exposure.
func (w *World) degradeVersion(service, version string, degradation *Degradation) {
	w.withLock(func() { w.degradations[[2]string{service, version}] = degradation })
	w.History.lock.Lock()
	w.History.badVersions = append(w.History.badVersions, &badVersion{service: service, version: version})
	w.History.lock.Unlock()
}

// checkRecovery checks that service recovers within recoveryBound from now, and that no acknowledged change is lost.
// Service has recovered when every proxy serves and a further change has been acknowledged.
func (w *World) checkRecovery() {
	start := w.now
	acknowledgedBefore := w.History.lastAcknowledged
	recoveredAfter := time.Duration(0)
	// A registry that restarted with the last fault grants leases again only after a lease. So the loop goes on beyond
	// the bound, to report how long the recovery took.
	for w.now < start+recoveryBound+registryRestartTime {
		w.Run(w.now + 250*time.Millisecond)
		if w.isServing() && w.History.lastAcknowledged > acknowledgedBefore {
			recoveredAfter = w.now - start
			break
		}
	}
	if recoveredAfter == 0 || recoveredAfter > recoveryBound {
		w.History.recordViolation(ViolationRecoveryTime, "service recovered after %v (0s: not at all); the bound is %v", recoveredAfter, recoveryBound)
	}
	for _, node := range w.members {
		if !node.up {
			continue
		}
		if committed, _ := node.replica.Committed(); committed < acknowledgedBefore {
			w.History.recordViolation(ViolationAcknowledgedLost, "%s has committed up to %d; %d had been acknowledged",
				node.name, committed, acknowledgedBefore)
		}
	}
}

// isServing reports whether every proxy is up, admits callers and, without Options.ServeStale, holds a lease.
func (w *World) isServing() bool {
	for _, node := range w.proxies {
		if !node.up || (!w.Options.ServeStale && !node.leaseGate.IsOpen()) || !node.acceptsCallers.Load() {
			return false
		}
	}
	return true
}
