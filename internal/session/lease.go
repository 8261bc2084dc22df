package session

import (
	"slices"
	"time"
)

// clockDriftDivisor is the fraction of a lease that the holder gives up, because the clocks of the
// proxy and the core members may run at different speeds.
const clockDriftDivisor = 50

// Lease computes until when a proxy may decide calls. The lease needs grants from a majority of the
// core members. Each grant counts from the moment at which the proxy sent the request, not from when
// the reply came, so the proxy's lease never outlasts what the members granted.
//
// A Lease is not safe for concurrent use; LeaseGate guards one with a lock.
type Lease struct {
	usableDuration time.Duration            // the granted length less the allowance for clock drift
	memberCount    int                      // largest number of core members seen
	requestedAt    map[string]time.Duration // by member id: send time of the latest granted request
}

// NewLease makes a lease of the given length without any grant.
func NewLease(length time.Duration) *Lease {
	return &Lease{
		usableDuration: length - length/clockDriftDivisor,
		requestedAt:    map[string]time.Duration{},
	}
}

// RecordGrant records that one of memberCount core members granted the request sent at requestedAt.
// A grant for an older request than the latest one is ignored.
func (l *Lease) RecordGrant(memberID string, memberCount int, requestedAt time.Duration) {
	l.memberCount = max(l.memberCount, memberCount)
	if latest, recorded := l.requestedAt[memberID]; !recorded || requestedAt > latest {
		l.requestedAt[memberID] = requestedAt
	}
}

// ExpiresAt is when the lease runs out; 0 if no majority has granted it yet.
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
	// Of the latest majority of grants, the earliest one ends the lease.
	return requestTimes[len(requestTimes)-majority] + l.usableDuration
}

// IsValid reports whether the lease is valid at a time.
func (l *Lease) IsValid(now time.Duration) bool { return now < l.ExpiresAt() }
