package session

import "time"

// fleetPeriodLeases is the length, in leases, of each of the two periods over which FleetSize takes its maximum.
const fleetPeriodLeases = 16

// FleetSize estimates how many proxies share a limit that applies to the whole fleet. The estimate is the largest
// count reported in the current and the previous period. It errs on the large side, because too small an estimate
// is unsafe: a registry partitioned from the others counts only its own proxies. If every side of the partition
// divided the limit by such a count, the sides together would exceed it.
//
// A FleetSize is not safe for concurrent use. The proxy and the registry each guard theirs with their own lock.
type FleetSize struct {
	lease           time.Duration // length of a lease
	initial         int64         // estimate during the first lease after the start
	currentMax      int64         // largest count reported in the current period
	previousMax     int64         // largest count reported in the previous period
	periodStartedAt time.Duration // start of the current period
}

// NewFleetSize returns an estimate that stays at initial until one lease has passed since the start of the process.
func NewFleetSize(initial int64, lease time.Duration) *FleetSize {
	return &FleetSize{lease: lease, initial: initial}
}

// Observe records the number of proxies that a registry reported and returns the estimate. Once a lease has passed
// since the start of the process, the estimate is at least 1.
func (f *FleetSize) Observe(now time.Duration, proxies int64) int64 {
	if now-f.periodStartedAt > fleetPeriodLeases*f.lease {
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
