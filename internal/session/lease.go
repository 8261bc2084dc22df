// Package session is a proxy's side of its ties to the registries: the lease under which it
// may decide, and the sessions that feed it.
package session

import (
	"sort"
	"time"
)

// slackParts is the part of a lease given away for clocks that run at different speeds.
const slackParts = 50

// Lease tells whether a proxy may decide calls. A grant counts from when it was asked for.
type Lease struct {
	length time.Duration
	seats  int
	asked  map[string]time.Duration
}

// NewLease makes a lease that needs a majority of the core's seats.
func NewLease(length time.Duration) *Lease {
	return &Lease{length: length - length/slackParts, asked: map[string]time.Duration{}}
}

// Granted notes that one of a number of seats granted what was asked for at a time.
func (l *Lease) Granted(seat string, seats int, askedAt time.Duration) {
	l.seats = max(l.seats, seats)
	if held, known := l.asked[seat]; !known || askedAt > held {
		l.asked[seat] = askedAt
	}
}

// Until is when the lease runs out; 0 if it never stood.
func (l *Lease) Until() time.Duration {
	times := make([]time.Duration, 0, len(l.asked))
	for _, at := range l.asked {
		times = append(times, at)
	}
	majority := l.seats/2 + 1
	if l.seats == 0 || len(times) < majority {
		return 0
	}
	// The majority-th latest grant is the one that ends the lease.
	sort.Slice(times, func(i, j int) bool { return times[i] > times[j] })
	return times[majority-1] + l.length
}

// Stands tells whether the lease holds at a time.
func (l *Lease) Stands(now time.Duration) bool { return now < l.Until() }
