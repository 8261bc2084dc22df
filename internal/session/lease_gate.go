package session

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// renewalGraceDivisor gives the grace period after the expiry of a lease in which calls wait for a renewal: the
// length of the lease divided by this constant.
const renewalGraceDivisor = 8

// LeaseGate admits calls while the lease is valid. After expiry it lets calls wait for a short grace period,
// because most gaps between leases are shorter than that. After the grace period it cannot be predicted when the
// lease is renewed, so calls no longer wait.
//
// A LeaseGate is safe for concurrent use. IsOpen does not take the lock, because every call passes through it.
type LeaseGate struct {
	duration  time.Duration        // full length of the lease
	now       func() time.Duration // clock of the request times passed to RecordGrant
	expiresAt atomic.Int64         // expiry in nanoseconds as of the latest renewal; 0 before the first lease

	lock    sync.Mutex
	lease   *Lease        // guarded by lock
	renewed chan struct{} // guarded by lock; closed and replaced at each renewal
}

// NewLeaseGate returns a gate that is closed until the first lease is granted. The function now reads the clock
// that the request times of RecordGrant come from.
func NewLeaseGate(duration time.Duration, now func() time.Duration) *LeaseGate {
	return &LeaseGate{
		duration: duration,
		now:      now,
		lease:    NewLease(duration),
		renewed:  make(chan struct{}),
	}
}

// RecordGrant records that one of memberCount core members granted the request sent at requestedAt,
// and wakes the waiting calls if that extends the lease.
func (g *LeaseGate) RecordGrant(memberID string, memberCount int, requestedAt time.Duration) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.lease.RecordGrant(memberID, memberCount, requestedAt)
	if expiresAt := int64(g.lease.ExpiresAt()); expiresAt > g.expiresAt.Load() {
		g.expiresAt.Store(expiresAt)
		close(g.renewed)
		g.renewed = make(chan struct{})
	}
}

// ExpiresAt returns the time at which the lease expires, 0 if there was no lease yet.
func (g *LeaseGate) ExpiresAt() time.Duration { return time.Duration(g.expiresAt.Load()) }

// IsOpen reports whether the lease is valid now.
func (g *LeaseGate) IsOpen() bool { return g.now() < g.ExpiresAt() }

// AwaitOpen waits until the lease is valid or ctx ends, and reports whether the lease is valid.
func (g *LeaseGate) AwaitOpen(ctx context.Context) bool {
	for {
		// The channel is read before the check, so that a renewal between the two is not missed.
		g.lock.Lock()
		renewed := g.renewed
		g.lock.Unlock()
		if g.IsOpen() {
			return true
		}
		select {
		case <-renewed:
		case <-ctx.Done():
			return g.IsOpen()
		}
	}
}

// AwaitWithinGrace waits until the lease is valid, but no longer than the grace period after its expiry or until
// ctx ends. It reports whether the lease is valid.
func (g *LeaseGate) AwaitWithinGrace(ctx context.Context) bool {
	if g.IsOpen() {
		return true
	}
	remaining := g.ExpiresAt() + g.duration/renewalGraceDivisor - g.now()
	if remaining <= 0 || g.ExpiresAt() == 0 {
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	return g.AwaitOpen(bounded)
}
