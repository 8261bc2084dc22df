package session

import "time"

// fleetMemory is how many leases a larger fleet is remembered for.
const fleetMemory = 16

// Fleet tells among how many proxies what is allowed to the whole fleet is shared out. It
// errs to the large side: a registry cut off from the others sees only its own proxies, and
// were each to take a part of so few, they would together take too much.
type Fleet struct {
	lease    time.Duration
	most     int64 // reckoned with until the fleet is known
	now      int64 // the largest number told in this period
	before   int64 // and in the one before
	turnedAt time.Duration
}

// NewFleet reckons with most until a lease has passed.
func NewFleet(most int64, lease time.Duration) *Fleet { return &Fleet{lease: lease, most: most} }

// Note takes a number that a registry told and gives the one to reckon with.
func (f *Fleet) Note(now time.Duration, members int64) int64 {
	if now-f.turnedAt > fleetMemory*f.lease {
		f.before, f.now, f.turnedAt = f.now, 0, now
	}
	f.now = max(f.now, members)
	// Right after a start the registries have not heard of everyone yet.
	if now < f.lease {
		return f.most
	}
	return max(1, f.now, f.before)
}
