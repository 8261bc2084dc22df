package session

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// renewalGraceDivisor is the fraction of a lease, counted from its expiry, during which calls still
// wait for a renewal.
const renewalGraceDivisor = 8

// LeaseGate admits calls while the lease is valid. After expiry it lets calls wait for a short
// grace period, because most gaps between leases are shorter than that. After the grace period nothing
// tells when the lease comes back, so calls no longer wait.
//
// A LeaseGate is safe for concurrent use. Open does not take the lock: every call passes through it.
type LeaseGate struct {
	duration  time.Duration // full length of the lease
	now       func() time.Duration
	expiresAt atomic.Int64 // nanoseconds, as of the latest renewal; 0 before the first lease

	lock    sync.Mutex
	lease   *Lease        // guarded by lock
	renewed chan struct{} // guarded by lock; closed and replaced by each renewal
}

// NewLeaseGate makes a gate that is closed until the first lease is granted. The function now reads
// the clock that the request times of RecordGrant come from.
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

// ExpiresAt is when the lease runs out; 0 if there was no lease yet.
func (g *LeaseGate) ExpiresAt() time.Duration { return time.Duration(g.expiresAt.Load()) }

// IsOpen reports whether the lease is valid now.
func (g *LeaseGate) IsOpen() bool { return g.now() < g.ExpiresAt() }

// AwaitOpen waits until the lease is valid, and reports false if ctx ends before that.
func (g *LeaseGate) AwaitOpen(ctx context.Context) bool {
	for {
		// The channel is taken before the check, so a renewal between the two is not missed.
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

// AwaitWithinGrace waits until the lease is valid, but no longer than the grace period after its expiry. It
// reports whether the lease is valid.
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
