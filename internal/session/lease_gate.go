package session

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// renewalGraceDivisor is the part of a lease for which, after its end, calls still wait for it.
const renewalGraceDivisor = 8

// LeaseGate is where calls pass while the lease stands, and wait through the short gap after its
// end. Most gaps are shorter than that; beyond it nothing is known of when the lease comes
// back, and no call is held.
type LeaseGate struct {
	lock      sync.Mutex
	lease     *Lease
	duration  time.Duration
	expiresAt atomic.Int64
	renewed   chan struct{} // closed and replaced when the lease is renewed
	now       func() time.Duration
}

// NewLeaseGate makes a gate that is shut until a first lease stands.
func NewLeaseGate(duration time.Duration, now func() time.Duration) *LeaseGate {
	return &LeaseGate{lease: NewLease(duration), duration: duration, renewed: make(chan struct{}), now: now}
}

// RecordGrant notes that one of a number of seats granted what was asked for at a time.
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

// ExpiresAt is when the lease runs out; 0 if it never stood.
func (g *LeaseGate) ExpiresAt() time.Duration { return time.Duration(g.expiresAt.Load()) }

// Open tells whether the lease stands.
func (g *LeaseGate) Open() bool { return g.now() < g.ExpiresAt() }

// AwaitFirst waits until the lease stands, or ctx ends.
func (g *LeaseGate) AwaitFirst(ctx context.Context) bool {
	for {
		g.lock.Lock()
		renewed := g.renewed
		g.lock.Unlock()
		if g.Open() {
			return true
		}
		select {
		case <-renewed:
		case <-ctx.Done():
			return g.Open()
		}
	}
}

// Await waits until the lease stands, but no longer than through the gap after its end.
func (g *LeaseGate) Await(ctx context.Context) bool {
	if g.Open() {
		return true
	}
	remaining := g.ExpiresAt() + g.duration/renewalGraceDivisor - g.now()
	if remaining <= 0 || g.ExpiresAt() == 0 {
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	return g.AwaitFirst(bounded)
}
