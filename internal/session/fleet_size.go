package session

import "time"

// fleetMemoryLeases is the length in leases of one of the two periods over which FleetSize takes its
// maximum.
const fleetMemoryLeases = 16

// FleetSize estimates how many proxies share a limit that applies to the whole fleet. The estimate is
// the largest count reported in the current period and the one before, because too large is safe and
// too small is not: a registry partitioned from the others counts only its own proxies, and if every
// side of the partition divided the limit by such a count, the sides together would exceed it.
//
// A FleetSize is not safe for concurrent use; the proxy and the registry guard theirs with their lock.
type FleetSize struct {
	lease           time.Duration
	initial         int64 // the estimate until one lease has passed since the start
	currentMax      int64 // largest count reported in the current period
	previousMax     int64 // largest count reported in the period before
	periodStartedAt time.Duration
}

// NewFleetSize makes an estimate that stays at initial until one lease has passed.
func NewFleetSize(initial int64, lease time.Duration) *FleetSize {
	return &FleetSize{lease: lease, initial: initial}
}

// Observe records the number of proxies that a registry reported and returns the estimate, which is
// at least 1 once a lease has passed.
func (f *FleetSize) Observe(now time.Duration, proxies int64) int64 {
	if now-f.periodStartedAt > fleetMemoryLeases*f.lease {
		f.previousMax = f.currentMax
		f.currentMax = 0
		f.periodStartedAt = now
	}
	f.currentMax = max(f.currentMax, proxies)
	// In the first lease after a start, some proxies may not have reported to any registry yet.
	if now < f.lease {
		return f.initial
	}
	return max(1, f.currentMax, f.previousMax)
}
