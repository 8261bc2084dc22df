// Package session is a proxy's side of its ties to the registries: the lease under which it
// may decide, and the sessions that feed it.
package session

import (
	"sort"
	"time"
)

// clockDriftDivisor is the part of a lease given away for clocks that run at different speeds.
const clockDriftDivisor = 50

// Lease tells whether a proxy may decide calls. A grant counts from when it was asked for.
type Lease struct {
	usableDuration time.Duration
	memberCount    int
	requestedAt    map[string]time.Duration
}

// NewLease makes a lease that needs a majority of the core's seats.
func NewLease(length time.Duration) *Lease {
	return &Lease{usableDuration: length - length/clockDriftDivisor, requestedAt: map[string]time.Duration{}}
}

// RecordGrant notes that one of a number of seats granted what was asked for at a time.
func (l *Lease) RecordGrant(memberID string, memberCount int, requestedAt time.Duration) {
	l.memberCount = max(l.memberCount, memberCount)
	if latest, recorded := l.requestedAt[memberID]; !recorded || requestedAt > latest {
		l.requestedAt[memberID] = requestedAt
	}
}

// ExpiresAt is when the lease runs out; 0 if it never stood.
func (l *Lease) ExpiresAt() time.Duration {
	requestTimes := make([]time.Duration, 0, len(l.requestedAt))
	for _, requestedAt := range l.requestedAt {
		requestTimes = append(requestTimes, requestedAt)
	}
	majority := l.memberCount/2 + 1
	if l.memberCount == 0 || len(requestTimes) < majority {
		return 0
	}
	// The majority-th latest grant is the one that ends the lease.
	sort.Slice(requestTimes, func(i, j int) bool { return requestTimes[i] > requestTimes[j] })
	return requestTimes[majority-1] + l.usableDuration
}

// IsValid tells whether the lease holds at a time.
func (l *Lease) IsValid(now time.Duration) bool { return now < l.ExpiresAt() }
