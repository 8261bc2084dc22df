package session

import "time"

// fleetMemoryLeases is how many leases a larger fleet is remembered for.
const fleetMemoryLeases = 16

// FleetSize tells among how many proxies what is allowed to the whole fleet is shared out. It
// errs to the large side: a registry cut off from the others sees only its own proxies, and
// were each to take a part of so few, they would together take too much.
type FleetSize struct {
	lease           time.Duration
	initial         int64 // reckoned with until the fleet is known
	currentMax      int64 // the largest number told in this period
	previousMax     int64 // and in the one before
	periodStartedAt time.Duration
}

// NewFleetSize reckons with most until a lease has passed.
func NewFleetSize(initial int64, lease time.Duration) *FleetSize {
	return &FleetSize{lease: lease, initial: initial}
}

// Observe takes a number that a registry told and gives the one to reckon with.
func (f *FleetSize) Observe(now time.Duration, proxies int64) int64 {
	if now-f.periodStartedAt > fleetMemoryLeases*f.lease {
		f.previousMax, f.currentMax, f.periodStartedAt = f.currentMax, 0, now
	}
	f.currentMax = max(f.currentMax, proxies)
	// Right after a start the registries have not heard of everyone yet.
	if now < f.lease {
		return f.initial
	}
	return max(1, f.currentMax, f.previousMax)
}
