package dispatch

import (
	"math"
	"time"
)

// callRecord is how many calls a worker had of late, and how many of them failed. Both fade, to a
// third in a span: so who failed gets calls back by and by, not all at once.
type callRecord struct {
	calls, failed float64
	updatedAt     time.Duration
}

// decayed is what is left of both at a moment.
func (r *callRecord) decayed(now, window time.Duration) (calls, failed float64) {
	if now <= r.updatedAt || r.calls == 0 {
		return r.calls, r.failed
	}
	decay := math.Exp(-float64(now-r.updatedAt) / float64(window))
	return r.calls * decay, r.failed * decay
}

// add adds a call.
func (r *callRecord) add(now, window time.Duration, failed bool) {
	r.calls, r.failed = r.decayed(now, window)
	r.updatedAt = max(r.updatedAt, now)
	if r.calls++; failed {
		r.failed++
	}
}
