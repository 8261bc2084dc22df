package session

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// gapParts is the part of a lease for which, after its end, calls still wait for it.
const gapParts = 8

// Gate is where calls pass while the lease stands, and wait through the short gap after its
// end. Most gaps are shorter than that; beyond it nothing is known of when the lease comes
// back, and no call is held.
type Gate struct {
	lock    sync.Mutex
	lease   *Lease
	length  time.Duration
	until   atomic.Int64
	renewed chan struct{} // closed and replaced when the lease is renewed
	now     func() time.Duration
}

// NewGate makes a gate that is shut until a first lease stands.
func NewGate(length time.Duration, now func() time.Duration) *Gate {
	return &Gate{lease: NewLease(length), length: length, renewed: make(chan struct{}), now: now}
}

// Granted notes that one of a number of seats granted what was asked for at a time.
func (g *Gate) Granted(seat string, seats int, asked time.Duration) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.lease.Granted(seat, seats, asked)
	if until := int64(g.lease.Until()); until > g.until.Load() {
		g.until.Store(until)
		close(g.renewed)
		g.renewed = make(chan struct{})
	}
}

// Until is when the lease runs out; 0 if it never stood.
func (g *Gate) Until() time.Duration { return time.Duration(g.until.Load()) }

// Open tells whether the lease stands.
func (g *Gate) Open() bool { return g.now() < g.Until() }

// AwaitFirst waits until the lease stands, or ctx ends.
func (g *Gate) AwaitFirst(ctx context.Context) bool {
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
func (g *Gate) Await(ctx context.Context) bool {
	if g.Open() {
		return true
	}
	left := g.Until() + g.length/gapParts - g.now()
	if left <= 0 || g.Until() == 0 {
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	return g.AwaitFirst(bounded)
}
