package session

import (
	"slices"
	"time"
)

// clockDriftDivisor gives the part of a lease that the proxy does not use, because its clock and those of the
// core members may run at different speeds. That part is the length of the lease divided by this constant.
const clockDriftDivisor = 50

// Lease computes how long a proxy may route calls. The lease needs grants from a majority of the core members.
// Each grant counts from the time at which the proxy sent the request, not from when the reply arrived, so the
// proxy's lease never outlasts the members' grants.
//
// A Lease is not safe for concurrent use; LeaseGate guards one with a lock.
type Lease struct {
	usableDuration time.Duration            // granted length less the allowance for clock drift
	memberCount    int                      // largest number of core members reported so far
	requestedAt    map[string]time.Duration // send time of the latest granted request, by member id
}

// NewLease returns a lease of the given length without any grant.
func NewLease(length time.Duration) *Lease {
	return &Lease{
		usableDuration: length - length/clockDriftDivisor,
		requestedAt:    map[string]time.Duration{},
	}
}

// RecordGrant records that one of memberCount core members granted the request sent at requestedAt.
// Of the grants of one member, the one for the latest request counts.
func (l *Lease) RecordGrant(memberID string, memberCount int, requestedAt time.Duration) {
	l.memberCount = max(l.memberCount, memberCount)
	if latest, recorded := l.requestedAt[memberID]; !recorded || requestedAt > latest {
		l.requestedAt[memberID] = requestedAt
	}
}

// ExpiresAt returns the time at which the lease expires, 0 if no majority has granted it yet.
func (l *Lease) ExpiresAt() time.Duration {
	majority := quorumSize(l.memberCount)
	if l.memberCount == 0 || len(l.requestedAt) < majority {
		return 0
	}
	requestTimes := make([]time.Duration, 0, len(l.requestedAt))
	for _, requestedAt := range l.requestedAt {
		requestTimes = append(requestTimes, requestedAt)
	}
	slices.Sort(requestTimes)
	// The lease is bounded by the earliest request among the most recent majority.
	return requestTimes[len(requestTimes)-majority] + l.usableDuration
}

// IsValid reports whether the lease is valid at the time now.
func (l *Lease) IsValid(now time.Duration) bool { return now < l.ExpiresAt() }
