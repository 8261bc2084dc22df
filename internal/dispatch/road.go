package dispatch

import (
	"sync"
	"time"
)

// Road is the link that a machine has to the others, as far as this process fills it. What is
// written to a socket only joins a queue there, in which everything waits behind everything
// else; so how long that is, is reckoned from what was written and from the link's rate. Nil is
// a link that need not be thought of.
type Road struct {
	now  func() time.Duration
	rate float64 // bytes a second

	lock  sync.Mutex
	clear time.Duration // when all that was written has left
}

// What a link carries besides what is written, in bytes.
const (
	segment     = 1460 // of what is written goes into one packet
	segmentHead = 40   // that each packet has before it
)

// NewRoad is a link of so many bytes a second; none where the rate is not known.
func NewRoad(rate int64, now func() time.Duration) *Road {
	if rate <= 0 {
		return nil
	}
	return &Road{now: now, rate: float64(rate)}
}

// Span is how long the link takes for so many bytes that are written at once.
func (r *Road) Span(bytes int) time.Duration {
	if r == nil || bytes <= 0 {
		return 0
	}
	packets := (bytes + segment - 1) / segment
	return time.Duration(float64(bytes+packets*segmentHead) / r.rate * float64(time.Second))
}

// Carry notes that so many bytes were written.
func (r *Road) Carry(bytes int) {
	if r == nil || bytes <= 0 {
		return
	}
	now := r.now()
	r.lock.Lock()
	r.clear = max(r.clear, now) + r.Span(bytes)
	r.lock.Unlock()
}

// Wait is how long what is written now waits before it leaves.
func (r *Road) Wait() time.Duration {
	if r == nil {
		return 0
	}
	now := r.now()
	r.lock.Lock()
	defer r.lock.Unlock()
	return max(0, r.clear-now)
}
